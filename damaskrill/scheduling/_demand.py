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
# Pairs of team and priority that are counted on their own; smaller ones are inside any
# share and counted together.
MAX_CLASSES = 256

ClassKey = tuple[str, int]


@define
class _Count:
    """Count of requests that decays."""

    count: float
    at_ms: float

    def value(self, now_ms: float) -> float:
        """Return the count at a time."""
        return self.count * math.exp((self.at_ms - now_ms) / AVERAGING_MS)

    def add(self, now_ms: float) -> None:
        """Count one more."""
        self.count = self.value(now_ms) + 1
        self.at_ms = now_ms


class TeamDemand:
    """Requests a second by team and priority, over the last seconds.

    Parameters
    ----------
    started_at_ms : float
        Time from which requests are counted, in milliseconds.

    Notes
    -----
    Handles 44,000 teams of which few send much: at most `MAX_CLASSES` counts are
    retained, the largest ones; the others are known as one sum by priority.
    """

    def __init__(self, *, started_at_ms: float) -> None:
        self._started_at_ms = started_at_ms
        self._counts: dict[ClassKey, _Count] = {}
        # Counts of all teams, by priority.
        self._totals: dict[int, _Count] = {}

    def record(self, team: str, priority: int, now_ms: float) -> None:
        """Count a request."""
        if len(self._counts) >= MAX_CLASSES and (team, priority) not in self._counts:
            self._discard_small(now_ms)
        self._counts.setdefault((team, priority), _Count(0.0, now_ms)).add(now_ms)
        self._totals.setdefault(priority, _Count(0.0, now_ms)).add(now_ms)

    def rates(self, now_ms: float) -> dict[ClassKey, float]:
        """Return the requests a second of each class, and forget inactive ones."""
        values = {key: each.value(now_ms) for key, each in self._counts.items()}
        for key, value in values.items():
            if value < MIN_COUNT:
                del self._counts[key]
        per_s = 1_000 / self._span_ms(now_ms)
        return {key: per_s * each for key, each in values.items() if each >= MIN_COUNT}

    def other_rates(self, now_ms: float) -> dict[int, float]:
        """Return the requests a second of all other teams, by priority."""
        values = {key: each.value(now_ms) for key, each in self._totals.items()}
        for (_, priority), each in self._counts.items():
            values[priority] -= each.value(now_ms)
        per_s = 1_000 / self._span_ms(now_ms)
        return {key: per_s * each for key, each in values.items() if each >= 1}

    def _span_ms(self, now_ms: float) -> float:
        elapsed_ms = max(1.0, now_ms - self._started_at_ms)
        span_ms = AVERAGING_MS * -math.expm1(-elapsed_ms / AVERAGING_MS)
        # The requests of a few hundred milliseconds say little about a rate: those that
        # ask again after a takeover come together.
        return max(span_ms, AVERAGING_MS / 4)

    def _discard_small(self, now_ms: float) -> None:
        order = sorted(self._counts, key=lambda each: self._counts[each].value(now_ms))
        for key in order[: len(order) // 2]:
            del self._counts[key]
