"""The rule that bounds the load of a backend server at each admission."""

from enum import Enum

from attrs import frozen

__all__ = ["BoundReason", "LoadBound", "multiple_of_mean", "reachable_share"]

PERCENT = 100


class BoundReason(Enum):
    """Which part of the rule gives the smallest value."""

    CAPACITY = "bearable"
    MULTIPLE_OF_MEAN = "multiple_of_mean"
    COLD = "cold"
    SLOW = "slow"


def multiple_of_mean(
    *, load_sum: int, n_servers: int, multiple_percent: int, floor: int
) -> int:
    """Return the load that the set multiple of the mean allows.

    Parameters
    ----------
    load_sum : int
        Sum of the loads of a service's backend servers.
    n_servers : int
        How many backend servers the sum is over.
    multiple_percent : int
        Multiple in hundredths.
    floor : int
        Load that is allowed however small the mean is.

    Returns
    -------
    int
        ``max(floor, ceil(multiple * mean))``, without rounding errors.
    """
    if n_servers <= 0:
        return floor
    rounded_up = -(-multiple_percent * load_sum // (PERCENT * n_servers))
    return max(floor, rounded_up)


def reachable_share(bound: int, *, n_reachable: int, n_listed: int) -> int:
    """Return the part of a bound that one side of a split fleet may use.

    Parameters
    ----------
    bound : int
        Bound for the whole fleet.
    n_reachable : int
        Routers on this side, this process included.
    n_listed : int
        Routers in the whole fleet.

    Returns
    -------
    int
        A share in proportion, rounded down; a side with more than half of the
        routers takes what the rounding of the others leaves.

    Notes
    -----
    The other sides of a majority have ``n_listed - n_reachable`` routers together
    and use at most ``bound * (n_listed - n_reachable) // n_listed``, so that the
    shares of all sides never add up to more than the bound.
    """
    n_elsewhere = n_listed - n_reachable
    if n_elsewhere <= 0:
        return bound
    if n_reachable > n_elsewhere:
        return bound - bound * n_elsewhere // n_listed
    return bound * n_reachable // n_listed


@frozen(kw_only=True)
class LoadBound:
    """Highest load that a backend server may have after an admission.

    Parameters
    ----------
    bearable_load : int
        What the operators' text says that it bears when warm.
    mean_bound : int
        Result of ``multiple_of_mean``.
    ramp_bound : int
        What its finished work shows that it bears since its start.
    concurrency_bound : int
        What its token times show that it serves within the objectives.
    """

    bearable_load: int
    mean_bound: int
    ramp_bound: int
    concurrency_bound: int

    @property
    def value(self) -> int:
        """The smallest of the parts."""
        return min(
            self.bearable_load,
            self.mean_bound,
            self.ramp_bound,
            self.concurrency_bound,
        )

    @property
    def reason(self) -> BoundReason:
        """Part that gives the value; of equal ones the most lasting."""
        value = self.value
        if self.bearable_load == value:
            return BoundReason.CAPACITY
        if self.ramp_bound == value:
            return BoundReason.COLD
        if self.concurrency_bound == value:
            return BoundReason.SLOW
        return BoundReason.MULTIPLE_OF_MEAN

    def admits(
        self, *, load: int, own_load: int, n_reachable: int, n_listed: int
    ) -> bool:
        """Whether one more request may be sent to the backend server.

        Parameters
        ----------
        load : int
            Its load, reported and own, without the request.
        own_load : int
            Requests that this router has running there.
        n_reachable, n_listed : int
            Routers on this side of a split, and in the whole fleet.

        Returns
        -------
        bool
            Whether ``load + 1`` is within the bound, and ``own_load + 1`` within
            the share of it that this side may use.
        """
        share = reachable_share(self.value, n_reachable=n_reachable, n_listed=n_listed)
        return load + 1 <= self.value and own_load + 1 <= share
