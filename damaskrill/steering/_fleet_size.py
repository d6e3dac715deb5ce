"""Number of routers among which limits of the whole fleet are divided."""

from collections.abc import Collection
from math import ceil

__all__ = ["DISCOVERY_MS", "FleetSize"]

# Within this time, routers that start together have discovered each other.
DISCOVERY_MS = 2_500


class FleetSize:
    """Largest number of routers that are known to have been alive at a time.

    Parameters
    ----------
    own_address : str
        This router's address among the members.
    seeds : collection of str
        Addresses of routers that the settings name.
    started_at_ms : float
        When this router started, in milliseconds.
    has_predecessor : bool, default=True
        Whether another process of this router may just have ended.

    Notes
    -----
    Load pattern: routers are killed, or cut off from each other, while a service fails.
    Those that remain must not take the shares of the others, which may be alive on the
    other side, and whose requests of the last seconds still count. Nor may a router
    that has just started divide a limit among the few that it has met so far.

    The number never falls while the process lives: a fleet that shrinks leaves shares
    unused until its routers have been restarted.

    A part of the fleet that has started again while it is cut off knows nothing of the
    others. Of the routers that the settings name, it has met as many as fall to it by
    its size, on average: the parts together take what the whole fleet may take.
    """

    def __init__(
        self,
        *,
        own_address: str,
        seeds: Collection[str] = (),
        started_at_ms: float,
        has_predecessor: bool = True,
    ) -> None:
        self._seeds = frozenset(seeds)
        self._unmet_seeds = self._seeds - {own_address}
        self._started_at_ms = started_at_ms
        self._has_predecessor = has_predecessor
        self._members = frozenset({own_address})
        self._largest = 1

    @property
    def largest(self) -> int:
        """Largest number of routers known so far, this one included."""
        return self._largest

    @property
    def estimate(self) -> int:
        """Number of routers at the most, as far as this one can tell."""
        if not self._unmet_seeds:
            return self._largest
        n_seeds = len(self._seeds)
        n_met = max(1, n_seeds - len(self._unmet_seeds))
        return max(self._largest, ceil(len(self._members) * n_seeds / n_met))

    def observe(self, members: frozenset[str], *, n_told: int = 0) -> None:
        """Record which routers are alive.

        Parameters
        ----------
        members : frozenset of str
            Addresses of the live routers, including this one.
        n_told : int, default=0
            Largest number that one of them has known.
        """
        if members != self._members or n_told > self._largest:
            self._members = members
            self._unmet_seeds -= members
            self._largest = max(self._largest, len(members), n_told)

    def find_n_routers(self, now_ms: float) -> int | None:
        """Return among how many routers to divide a limit; None if it is not known.

        Notes
        -----
        It is not known to a router that has met none of those that its settings name,
        or that has started too recently to have met all routers that were alive before.
        """
        if self._seeds and self._unmet_seeds == self._seeds:
            return None
        has_discovered = now_ms - self._started_at_ms >= DISCOVERY_MS
        return self.estimate if has_discovered or not self._has_predecessor else None
