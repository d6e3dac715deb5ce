"""Log lines of events that callers can cause without end."""

from collections import Counter

from attrs import define, field

__all__ = ["CauseLines"]

# One line for each cause in this time.
LINE_INTERVAL_MS = 1_000


@define(kw_only=True)
class CauseLines:
    """Decides which events get a line, and counts the others.

    Attributes
    ----------
    totals : Counter
        Events so far, by cause.

    Notes
    -----
    It answers the load of a crowd of thousands of connections, each of which would get
    a line: lines cost processor time.
    """

    totals: Counter[str] = field(factory=Counter, init=False)
    _last_ms: dict[str, float] = field(factory=dict, init=False)
    _n_unlogged: Counter[str] = field(factory=Counter, init=False)

    @property
    def has_unlogged(self) -> bool:
        """Whether events have happened for which no line stands."""
        return bool(self._n_unlogged)

    def record(self, cause: str, now_ms: float) -> int | None:
        """Return how many events a line stands for; None if it gets no line yet."""
        self.totals[cause] += 1
        self._n_unlogged[cause] += 1
        last_ms = self._last_ms.get(cause)
        if last_ms is not None and now_ms - last_ms < LINE_INTERVAL_MS:
            return None
        return self._take(cause, now_ms)

    def flush(self, now_ms: float) -> list[tuple[str, int]]:
        """Return causes with events that no line stands for, after their interval."""
        return [
            (cause, self._take(cause, now_ms))
            for cause in list(self._n_unlogged)
            if now_ms - self._last_ms.get(cause, now_ms) >= LINE_INTERVAL_MS
        ]

    def _take(self, cause: str, now_ms: float) -> int:
        self._last_ms[cause] = now_ms
        return self._n_unlogged.pop(cause, 0)
