"""How much of the fleet this router has surely reached for some time."""

from collections import deque

from attrs import frozen

__all__ = ["Reachability", "ReachabilityWindow"]

WINDOW_MS = 2_000


@frozen(kw_only=True)
class Reachability:
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


class ReachabilityWindow:
    """Follows a fall of the reach at once, and a rise after a delay.

    Notes
    -----
    While a split heals, each side finds the routers of the other one before these
    have given up the backend servers that both sides own. Sides that counted the
    same routers at once would use more than the whole bound together.
    """

    def __init__(self) -> None:
        self._current = Reachability()
        self._previous: deque[tuple[int, Reachability]] = deque()

    def update(self, reachability: Reachability, now_ms: int) -> None:
        """Take the reach of a new view."""
        if reachability != self._current:
            self._previous.append((now_ms, self._current))
            self._current = reachability

    def minimum(self, now_ms: int) -> Reachability:
        """Return the smallest reach of the last ``WINDOW_MS``."""
        while self._previous and self._previous[0][0] <= now_ms - WINDOW_MS:
            self._previous.popleft()
        candidates = [
            self._current,
            *(reachability for _, reachability in self._previous),
        ]
        return min(candidates, key=lambda each: each.share)
