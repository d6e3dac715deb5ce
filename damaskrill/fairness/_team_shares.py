"""Slot usage of one backend server by team, and slots reserved for other teams."""

import math
from collections import OrderedDict

from attrs import define

from damaskrill.configuration import TeamSpec

__all__ = ["TeamShares"]

MAX_TEAMS = 64
HALF_LIFE_MS = 10_000
MIN_ACTIVE_PEAK = 0.25
# With few slots and many teams, exact shares would leave slots empty.
MIN_FAIR_SLOTS = 2
# A team surges if it holds more than this many times the slots of any other.
SURGE_FACTOR = 2


@define(kw_only=True)
class _TeamUsage:
    spec: TeamSpec
    n_running: int = 0
    peak: float = 0.0
    peak_at_ms: int = 0

    def peak_at(self, now_ms: int) -> float:
        decay = 0.5 ** ((now_ms - self.peak_at_ms) / HALF_LIFE_MS)
        return max(float(self.n_running), self.peak * decay)


class TeamShares:
    """Max-min fair shares of the slots of one server between teams.

    Notes
    -----
    A team that is within its fair share, or holds no more slots relative to its share
    than another team, may always acquire a free slot. The team with the most slots may
    only acquire slots that the other recently active teams do not need, judged by
    their recent usage. At most ``MAX_TEAMS`` idle teams are tracked.
    """

    def __init__(self) -> None:
        self._teams: OrderedDict[str, _TeamUsage] = OrderedDict()

    @property
    def n_tracked(self) -> int:
        """Number of teams that are tracked."""
        return len(self._teams)

    def n_running(self, team: str) -> int:
        """Return how many slots a team holds."""
        usage = self._teams.get(team)
        return usage.n_running if usage is not None else 0

    def begin(self, spec: TeamSpec, now_ms: int) -> None:
        """Count a slot that a team acquires."""
        usage = self._teams.get(spec.name)
        if usage is None:
            usage = self._teams[spec.name] = _TeamUsage(spec=spec)
        usage.spec = spec
        usage.n_running += 1
        usage.peak = usage.peak_at(now_ms)
        usage.peak_at_ms = now_ms
        self._teams.move_to_end(spec.name)
        self._evict_idle(now_ms)

    def end(self, team: str, now_ms: int) -> None:
        """Count a slot that a team releases."""
        usage = self._teams[team]
        usage.peak = usage.peak_at(now_ms)
        usage.peak_at_ms = now_ms
        usage.n_running -= 1

    def may_acquire(
        self,
        spec: TeamSpec,
        *,
        n_free: int,
        capacity: int,
        now_ms: int,
        has_alternatives: bool = False,
    ) -> bool:
        """Return whether a team may acquire one of the free slots.

        Parameters
        ----------
        spec : TeamSpec
            The team.
        n_free : int
            Number of free slots.
        capacity : int
            Number of all slots.
        now_ms : int
            Current time in milliseconds.
        has_alternatives : bool
            Whether other servers probably have free slots, so that only a surging
            team is limited.
        """
        others = [
            usage
            for name, usage in self._teams.items()
            if name != spec.name and usage.spec.priority <= spec.priority
        ]
        others = [usage for usage in others if usage.peak_at(now_ms) >= MIN_ACTIVE_PEAK]
        if not others:
            return n_free > 0
        weights = spec.share + sum(usage.spec.share for usage in others)
        largest = max(usage.n_running / usage.spec.share for usage in others)
        allowed = max(largest, capacity / weights) * spec.share
        n_wanted = self.n_running(spec.name) + 1
        if n_wanted <= max(MIN_FAIR_SLOTS, allowed):
            return n_free > 0
        if has_alternatives and n_wanted <= SURGE_FACTOR * max(1, largest):
            return n_free > 0
        n_reserved = sum(
            _n_reserved_slots(usage, capacity * usage.spec.share / weights, now_ms)
            for usage in others
        )
        return n_free > n_reserved

    def _evict_idle(self, now_ms: int) -> None:
        if len(self._teams) <= MAX_TEAMS:
            return
        for name, usage in list(self._teams.items()):
            if usage.n_running == 0:
                del self._teams[name]
                return


def _n_reserved_slots(usage: _TeamUsage, fair_share: float, now_ms: int) -> int:
    needed = min(math.ceil(usage.peak_at(now_ms) - MIN_ACTIVE_PEAK), int(fair_share))
    return max(0, needed - usage.n_running)
