"""Fraction of the fleet that this router has reached throughout a time window."""

from collections import deque

from attrs import frozen

__all__ = ["Reachability", "ReachabilityWindow"]

WINDOW_MS = 2_000


@frozen(kw_only=True)
class Reachability:
    """Number of routers that respond, out of those that are listed.

    Parameters
    ----------
    n_reachable, n_listed : int
        Counts, each including this process.
    """

    n_reachable: int = 1
    n_listed: int = 1

    @property
    def fraction(self) -> float:
        """Fraction of the listed routers that respond."""
        return self.n_reachable / max(1, self.n_listed)


class ReachabilityWindow:
    """Minimum of the reachability over a sliding window.

    Notes
    -----
    A decrease takes effect immediately, an increase after ``WINDOW_MS``. While a
    network partition heals, each side discovers the routers of the other side before
    these have released the backend servers that both sides own. If both sides counted
    the same routers immediately, they would exceed the bound together.
    """

    def __init__(self) -> None:
        self._current = Reachability()
        self._previous: deque[tuple[int, Reachability]] = deque()

    def update(self, reachability: Reachability, now_ms: int) -> None:
        """Store the reachability of a new view."""
        if reachability != self._current:
            self._previous.append((now_ms, self._current))
            self._current = reachability

    def minimum(self, now_ms: int) -> Reachability:
        """Return the lowest reachability of the last ``WINDOW_MS``."""
        while self._previous and self._previous[0][0] <= now_ms - WINDOW_MS:
            self._previous.popleft()
        candidates = [
            self._current,
            *(reachability for _, reachability in self._previous),
        ]
        return min(candidates, key=lambda each: each.fraction)
