"""How much of the fleet this router has surely reached for some time."""

from collections import deque

from attrs import frozen

__all__ = ["Reach", "SettledReach"]

SETTLE_MS = 2_000


@frozen(kw_only=True)
class Reach:
    """Routers that answer, out of those that are listed.

    Parameters
    ----------
    n_reachable, n_listed : int
        Both with this process.
    """

    n_reachable: int = 1
    n_listed: int = 1

    @property
    def share(self) -> float:
        """Part of the listed routers that answer."""
        return self.n_reachable / max(1, self.n_listed)


class SettledReach:
    """Follows a fall of the reach at once, and a rise after a delay.

    Notes
    -----
    While a split heals, each side finds the routers of the other one before these
    have given up the backend servers that both sides own. Sides that counted the
    same routers at once would use more than the whole bound together.
    """

    def __init__(self) -> None:
        self._present = Reach()
        self._earlier: deque[tuple[int, Reach]] = deque()

    def take(self, reach: Reach, now_ms: int) -> None:
        """Take the reach of a new view."""
        if reach != self._present:
            self._earlier.append((now_ms, self._present))
            self._present = reach

    def settled(self, now_ms: int) -> Reach:
        """Return the smallest reach of the last ``SETTLE_MS``."""
        while self._earlier and self._earlier[0][0] <= now_ms - SETTLE_MS:
            self._earlier.popleft()
        candidates = [self._present, *(reach for _, reach in self._earlier)]
        return min(candidates, key=lambda each: each.share)
