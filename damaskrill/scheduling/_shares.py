"""Division of a service's capacity over teams and priorities."""

import heapq
import math
from collections.abc import Mapping
from enum import IntEnum

from attrs import define, frozen

from damaskrill.scheduling._status import TeamStatus

__all__ = [
    "MAX_PRIORITY",
    "Share",
    "TeamShares",
    "divide_by_priority",
    "fill_by_weight",
]

# Part of a team's allowance that its less urgent requests keep. Issue 50, part 1: the
# least urgent never starve.
FLOOR_FRACTION = 0.05
# Fraction of a class's demand from which it counts as served in full; below it, the
# difference is an error of the measured rates.
FULL_FRACTION = 0.99
# Utilization from which serving one late makes the next one late too.
FULL_UTILIZATION = 0.9
# Teams whose demand and allowance are shown to operators.
N_LARGEST = 3
# Priorities are 0 to 9 on the platform; others count as the least urgent.
MAX_PRIORITY = 9

ClassKey = tuple[str, int]


class Share(IntEnum):
    """How a request relates to the allowance of its team; lower goes first.

    Notes
    -----
    INSIDE: all that the team demands fits. FITTING: all that it demands at this
    priority and more urgent ones does. PART and BEYOND: at this priority the allowance
    ends, before or after this request.
    """

    INSIDE = 0
    FITTING = 1
    PART = 2
    BEYOND = 3


def fill_by_weight(
    demands: Mapping[str, float],
    capacity: float,
    weights: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Divide a capacity max-min by weight and return the allowance of each team.

    Parameters
    ----------
    demands : mapping of str to float
        Demand of each team, in requests a second.
    capacity : float
        Capacity to divide, in requests a second.
    weights : mapping of str to float, default=None
        Weights; 1 for a team without one.

    Notes
    -----
    What a team does not demand goes to the others. If all demands fit, each team gets
    its demand.
    """
    weights = weights or {}

    def level(team: str) -> float:
        return demands[team] / weights.get(team, 1.0)

    allowances: dict[str, float] = {}
    left = capacity
    weight_left = sum(weights.get(each, 1.0) for each in demands)
    for team in sorted(demands, key=lambda each: (level(each), each)):
        weight = weights.get(team, 1.0)
        allowances[team] = min(demands[team], max(0.0, left * weight / weight_left))
        left -= allowances[team]
        weight_left -= weight
    return allowances


@frozen
class PriorityPart:
    """Part of a team's allowance that one of its priorities gets.

    Parameters
    ----------
    rate : float
        Requests a second.
    floor : float
        What of it the less urgent keep whatever the more urgent demand.
    """

    rate: float
    floor: float = 0.0


def divide_by_priority(
    demands: Mapping[int, float], allowance: float
) -> dict[int, PriorityPart]:
    """Divide a team's allowance over its priorities, the most urgent first.

    Parameters
    ----------
    demands : mapping of int to float
        Demand by priority, in requests a second.
    allowance : float
        Allowance of the team, in requests a second.

    Notes
    -----
    The less urgent priorities together keep `FLOOR_FRACTION` of it if they want it.
    """
    order = sorted(demands)
    floor = FLOOR_FRACTION * allowance / max(1, len(order) - 1)
    floors = {each: min(demands[each], floor) for each in order[1:]}
    left = allowance - sum(floors.values())
    parts: dict[int, PriorityPart] = {}
    for each in order:
        kept = floors.get(each, 0.0)
        more = min(demands[each] - kept, max(0.0, left))
        left -= more
        parts[each] = PriorityPart(rate=kept + more, floor=kept)
    return parts


@define
class _ClassShare:
    """Fractions of a class's demand that fit into the allowance and its floor."""

    fraction: float
    floor_fraction: float
    is_team_inside: bool
    # Sums of the fractions of the requests so far, less the requests that fitted.
    credit: float = 0.5
    floor_credit: float = 0.5


class TeamShares:
    """Decides which requests are inside the allowance of their teams.

    Notes
    -----
    Handles a team that sends many times its usual requests to a service with few slots:
    it takes what others leave and no more once they want it. Priorities of a team that
    fit into its allowance as a whole go before those that fit in part, so that a team
    inside its share does not wait behind what a hot team sends up to its limit. The
    floor of what is less urgent is inside too.
    """

    def __init__(self) -> None:
        self._classes: dict[ClassKey, _ClassShare] = {}
        self._rates: dict[tuple[Share, int], float] = {}
        self._rate_beyond = 0.0
        self._capacity = math.inf
        self._teams: dict[str, TeamStatus] = {}

    @property
    def largest_teams(self) -> list[TeamStatus]:
        """Teams of the largest demand, the largest first."""
        return list(self._teams.values())

    def is_short(self, share: Share) -> bool:
        """Return whether requests of a share and those before it exceed the capacity.

        Notes
        -----
        Above `FULL_UTILIZATION`, a queue grows faster than it empties.
        """
        rate = self._rate_beyond if share is Share.BEYOND else 0.0
        rate += self.rate_before(share, MAX_PRIORITY + 1)
        return rate > FULL_UTILIZATION * self._capacity

    def update(
        self,
        demands: Mapping[ClassKey, float],
        capacity: float,
        others: Mapping[int, float] | None = None,
    ) -> None:
        """Divide the capacity anew.

        Parameters
        ----------
        demands : mapping of (str, int) to float
            Demand by team and priority, in requests a second.
        capacity : float
            What the servers complete, in requests a second.
        others : mapping of int to float, default=None
            Demand of all other teams by priority, each of them small. They are inside
            their shares, but as a whole get no more than their part of the demand.
        """
        by_team: dict[str, dict[int, float]] = {}
        for (team, priority), rate in demands.items():
            if rate > 0:
                by_team.setdefault(team, {})[priority] = rate
        totals = {team: sum(rates.values()) for team, rates in by_team.items()}
        self._capacity = capacity
        other_total = sum((others or {}).values())
        total = other_total + sum(totals.values())
        other_part = min(1.0, capacity / total) if total > 0 else 1.0
        allowances = fill_by_weight(totals, capacity - other_part * other_total)
        self._rate_beyond = sum(totals.values()) - sum(allowances.values())
        self._teams = {
            team: TeamStatus(
                team=team, demand_per_s=totals[team], allowance_per_s=allowances[team]
            )
            for team in heapq.nlargest(N_LARGEST, totals, key=lambda x: totals[x])
        }
        previous, self._classes, self._rates = self._classes, {}, {}
        for team, rates in by_team.items():
            is_inside = allowances[team] >= FULL_FRACTION * totals[team]
            parts = divide_by_priority(rates, allowances[team])
            for priority, part in parts.items():
                share = _ClassShare(
                    fraction=min(1.0, part.rate / rates[priority]),
                    floor_fraction=part.floor / rates[priority],
                    is_team_inside=is_inside,
                )
                self._set_class((team, priority), share, part, previous)
        for priority, rate in (others or {}).items():
            self._add_rate((Share.INSIDE, priority), other_part * rate)

    def _set_class(
        self,
        key: ClassKey,
        share: _ClassShare,
        part: PriorityPart,
        previous: Mapping[ClassKey, _ClassShare],
    ) -> None:
        if key in previous:
            share.credit = previous[key].credit
            share.floor_credit = previous[key].floor_credit
        self._classes[key] = share
        floor = part.floor
        if share.fraction < FULL_FRACTION:
            rest = Share.PART
        elif share.is_team_inside:
            rest = Share.INSIDE
        else:
            rest, floor = Share.FITTING, 0.0
        self._add_rate((Share.INSIDE, key[1]), floor)
        self._add_rate((rest, key[1]), part.rate - floor)

    def _add_rate(self, rank: tuple[Share, int], rate: float) -> None:
        self._rates[rank] = self._rates.get(rank, 0.0) + rate

    def classify(self, team: str, priority: int) -> Share:
        """Classify a request that has arrived, and count it."""
        share = self._classes.get((team, priority))
        if share is None or share.is_team_inside:
            return Share.INSIDE
        if share.fraction >= FULL_FRACTION:
            return Share.FITTING
        share.floor_credit += share.floor_fraction
        share.credit += share.fraction - share.floor_fraction
        if share.floor_credit >= 1:
            share.floor_credit -= 1
            return Share.INSIDE
        if share.credit >= 1:
            share.credit -= 1
            return Share.PART
        return Share.BEYOND

    def rate_before(self, share: Share, priority: int) -> float:
        """Return the requests a second that come later and go before one."""
        return sum(
            rate for rank, rate in self._rates.items() if rank < (share, priority)
        )
