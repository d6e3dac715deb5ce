"""Measured demand of teams and priorities."""

import math

from attrs import define

__all__ = ["MAX_CLASSES", "TeamDemand"]

# Time over which demand is averaged. A hot team is known within a few hundred
# milliseconds; a team of 8 requests a second is still counted with an error under a
# third.
AVERAGING_MS = 2_000
# Classes of fewer requests than this within the averaging time are forgotten.
MIN_COUNT = 0.05
# Pairs of team and priority that are retained; the smallest ones are inside any share.
MAX_CLASSES = 1_024

ClassKey = tuple[str, int]


@define
class _Count:
    """Count of requests that decays."""

    count: float
    at_ms: float

    def value(self, now_ms: float) -> float:
        """Return the count at a time."""
        return self.count * math.exp((self.at_ms - now_ms) / AVERAGING_MS)


class TeamDemand:
    """Requests a second by team and priority, over the last seconds.

    Parameters
    ----------
    started_at_ms : float
        Time from which requests are counted, in milliseconds.

    Notes
    -----
    Handles 44,000 teams of which few are active at a time: at most `MAX_CLASSES` counts
    are retained, the largest ones.
    """

    def __init__(self, *, started_at_ms: float) -> None:
        self._started_at_ms = started_at_ms
        self._counts: dict[ClassKey, _Count] = {}

    def record(self, team: str, priority: int, now_ms: float) -> None:
        """Count a request."""
        count = self._counts.get((team, priority))
        if count is None:
            if len(self._counts) >= MAX_CLASSES:
                self._discard_small(now_ms)
            self._counts[team, priority] = _Count(1.0, now_ms)
        else:
            count.count = count.value(now_ms) + 1
            count.at_ms = now_ms

    def rates(self, now_ms: float) -> dict[ClassKey, float]:
        """Return the requests a second of each class, and forget inactive ones."""
        values = {key: each.value(now_ms) for key, each in self._counts.items()}
        for key, value in values.items():
            if value < MIN_COUNT:
                del self._counts[key]
        elapsed_ms = max(1.0, now_ms - self._started_at_ms)
        span_ms = AVERAGING_MS * -math.expm1(-elapsed_ms / AVERAGING_MS)
        # The first request says nothing about a rate.
        span_ms = max(span_ms, AVERAGING_MS / 10)
        return {
            key: 1_000 * value / span_ms
            for key, value in values.items()
            if value >= MIN_COUNT
        }

    def _discard_small(self, now_ms: float) -> None:
        order = sorted(self._counts, key=lambda each: self._counts[each].value(now_ms))
        for key in order[: len(order) // 2]:
            del self._counts[key]
