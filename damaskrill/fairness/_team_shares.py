"""Occupancy of one backend server by team, and slots kept for other teams."""

import math
from collections import OrderedDict

from attrs import define

from damaskrill.configuration import TeamSpec

__all__ = ["TeamShares"]

MAX_TEAMS = 64
HALF_LIFE_MS = 10_000
FORGET_BELOW = 0.25
# With few slots and many teams, exact shares would leave slots empty.
MIN_FAIR_SLOTS = 2
# A team surges where it has this many times the slots of any other.
SURGE_FACTOR = 2


@define(kw_only=True)
class _TeamUse:
    spec: TeamSpec
    n_running: int = 0
    peak: float = 0.0
    peak_at_ms: int = 0

    def peak_at(self, now_ms: int) -> float:
        decay = 0.5 ** ((now_ms - self.peak_at_ms) / HALF_LIFE_MS)
        return max(float(self.n_running), self.peak * decay)


class TeamShares:
    """Max-min fair shares of one server's slots between teams.

    Notes
    -----
    A team that is within its fair share, or has no more slots for its share than
    another team, may always take a free slot. The team with the most slots may only
    take those that the other recently active teams do not need for what they used
    lately. At most ``MAX_TEAMS`` idle teams are remembered.
    """

    def __init__(self) -> None:
        self._teams: OrderedDict[str, _TeamUse] = OrderedDict()

    @property
    def n_known(self) -> int:
        """Teams that are remembered."""
        return len(self._teams)

    def n_running(self, team: str) -> int:
        """Return how many slots a team has."""
        use = self._teams.get(team)
        return use.n_running if use is not None else 0

    def begin(self, spec: TeamSpec, now_ms: int) -> None:
        """Count a slot that a team takes."""
        use = self._teams.get(spec.name)
        if use is None:
            use = self._teams[spec.name] = _TeamUse(spec=spec)
        use.spec = spec
        use.n_running += 1
        use.peak = use.peak_at(now_ms)
        use.peak_at_ms = now_ms
        self._teams.move_to_end(spec.name)
        self._forget_idle(now_ms)

    def end(self, team: str, now_ms: int) -> None:
        """Count a slot that a team leaves."""
        use = self._teams[team]
        use.peak = use.peak_at(now_ms)
        use.peak_at_ms = now_ms
        use.n_running -= 1

    def may_take(
        self,
        spec: TeamSpec,
        *,
        n_free: int,
        capacity: int,
        now_ms: int,
        has_alternatives: bool = False,
    ) -> bool:
        """Whether a team may take one of the free slots.

        Parameters
        ----------
        spec : TeamSpec
            The team.
        n_free : int
            Free slots.
        capacity : int
            All slots.
        now_ms : int
            Present time in milliseconds.
        has_alternatives : bool
            Whether other servers probably have room, so that only a surging team
            is held back.
        """
        others = [
            use
            for name, use in self._teams.items()
            if name != spec.name and use.spec.priority <= spec.priority
        ]
        others = [use for use in others if use.peak_at(now_ms) >= FORGET_BELOW]
        if not others:
            return n_free > 0
        weights = spec.share + sum(use.spec.share for use in others)
        largest = max(use.n_running / use.spec.share for use in others)
        allowed = max(largest, capacity / weights) * spec.share
        n_wanted = self.n_running(spec.name) + 1
        if n_wanted <= max(MIN_FAIR_SLOTS, allowed):
            return n_free > 0
        if has_alternatives and n_wanted <= SURGE_FACTOR * max(1, largest):
            return n_free > 0
        kept = sum(
            _slots_to_keep(use, capacity * use.spec.share / weights, now_ms)
            for use in others
        )
        return n_free > kept

    def _forget_idle(self, now_ms: int) -> None:
        if len(self._teams) <= MAX_TEAMS:
            return
        for name, use in list(self._teams.items()):
            if use.n_running == 0:
                del self._teams[name]
                return


def _slots_to_keep(use: _TeamUse, fair_share: float, now_ms: int) -> int:
    needed = min(math.ceil(use.peak_at(now_ms) - FORGET_BELOW), int(fair_share))
    return max(0, needed - use.n_running)
