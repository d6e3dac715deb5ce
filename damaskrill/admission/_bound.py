"""Bound on the load of a backend server, checked at each admission."""

from enum import Enum

from attrs import frozen

__all__ = ["BoundReason", "LoadBound", "multiple_of_mean", "reachable_share"]

PERCENT = 100


class BoundReason(Enum):
    """Part of the rule that gives the lowest bound."""

    CAPACITY = "bearable"
    MULTIPLE_OF_MEAN = "multiple_of_mean"
    COLD = "cold"
    SLOW = "slow"


def multiple_of_mean(
    *, load_sum: int, n_servers: int, multiple_percent: int, floor: int
) -> int:
    """Return the load allowed by the configured multiple of the mean load.

    Parameters
    ----------
    load_sum : int
        Sum of the loads of the backend servers of a service.
    n_servers : int
        Number of backend servers in the sum.
    multiple_percent : int
        Multiple in percent.
    floor : int
        Load that is allowed however low the mean is.

    Returns
    -------
    int
        ``max(floor, ceil(multiple * mean))``, in integer arithmetic without rounding
        errors.
    """
    if n_servers <= 0:
        return floor
    rounded_up = -(-multiple_percent * load_sum // (PERCENT * n_servers))
    return max(floor, rounded_up)


def reachable_share(bound: int, *, n_reachable: int, n_listed: int) -> int:
    """Return the share of a bound that one side of a network partition may use.

    Parameters
    ----------
    bound : int
        Bound for the fleet.
    n_reachable : int
        Routers on this side of the partition, including this process.
    n_listed : int
        Routers in the fleet.

    Returns
    -------
    int
        The proportional share, rounded down; a side with more than half of the
        routers also gets the remainder.

    Notes
    -----
    If one side has the majority, the other sides have ``n_listed - n_reachable``
    routers together and use at most
    ``bound * (n_listed - n_reachable) // n_listed``. The shares of all sides thus
    never add up to more than the bound.
    """
    n_unreachable = n_listed - n_reachable
    if n_unreachable <= 0:
        return bound
    if n_reachable > n_unreachable:
        return bound - bound * n_unreachable // n_listed
    return bound * n_reachable // n_listed


@frozen(kw_only=True)
class LoadBound:
    """Highest load that a backend server may have after an admission.

    Parameters
    ----------
    capacity : int
        Sustainable load of the warm server, set in the operators' text.
    mean_bound : int
        Result of ``multiple_of_mean``.
    ramp_bound : int
        Load that the cold-start ramp allows for the work finished since the start.
    concurrency_bound : int
        Concurrency at which the token times meet their objectives.
    """

    capacity: int
    mean_bound: int
    ramp_bound: int
    concurrency_bound: int

    @property
    def value(self) -> int:
        """Lowest of the parts."""
        return min(
            self.capacity,
            self.mean_bound,
            self.ramp_bound,
            self.concurrency_bound,
        )

    @property
    def reason(self) -> BoundReason:
        """Part that gives the value; of equal parts, the most permanent one."""
        value = self.value
        if self.capacity == value:
            return BoundReason.CAPACITY
        if self.ramp_bound == value:
            return BoundReason.COLD
        if self.concurrency_bound == value:
            return BoundReason.SLOW
        return BoundReason.MULTIPLE_OF_MEAN

    def admits(
        self, *, load: int, own_load: int, n_reachable: int, n_listed: int
    ) -> bool:
        """Return whether one more request may be sent to the backend server.

        Parameters
        ----------
        load : int
            Load of the server, from its reports and the count of this router, without
            the request.
        own_load : int
            Requests of this router that run on the server.
        n_reachable, n_listed : int
            Routers on this side of a network partition, and in the fleet.

        Returns
        -------
        bool
            Whether ``load + 1`` is within the bound, and ``own_load + 1`` within
            the share of the bound that this side may use.
        """
        share = reachable_share(self.value, n_reachable=n_reachable, n_listed=n_listed)
        return load + 1 <= self.value and own_load + 1 <= share
