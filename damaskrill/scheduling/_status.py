"""Figures of a scheduler for operators."""

import copy
import itertools
from collections import deque
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from damaskrill.scheduling._model import SlotRefusalReason

__all__ = [
    "PriorityFigures",
    "PriorityStatus",
    "SchedulerStatus",
    "TeamStatus",
    "WaitDecile",
    "WaitHistory",
]

# Waits over which deciles are formed.
N_WAITS = 500
N_DECILES = 10


@define(kw_only=True)
class PriorityStatus:
    """Figures of one priority.

    Parameters
    ----------
    n_waiting : int
        Requests that wait.
    n_assigned : int
        Slots assigned since the scheduling began.
    n_refused : dict of SlotRefusalReason to int
        Refusals since then, by reason.
    """

    n_waiting: int = 0
    n_assigned: int = 0
    n_refused: dict[SlotRefusalReason, int] = field(factory=dict)


@frozen(kw_only=True)
class TeamStatus:
    """Share of one team.

    Parameters
    ----------
    team : str
        The team.
    demand_per_s, allowance_per_s : float
        What it asks for, and what of it is inside its share, in requests a second.
    """

    team: str
    demand_per_s: float
    allowance_per_s: float


@frozen(kw_only=True)
class WaitDecile:
    """Mean predicted and real wait of a tenth of the last requests.

    Parameters
    ----------
    n_requests : int
        Number of requests.
    predicted_ms, waited_ms : float
        Mean waits, in milliseconds.
    """

    n_requests: int
    predicted_ms: float
    waited_ms: float


@frozen(kw_only=True)
class SchedulerStatus:
    """State of the scheduling of one service.

    Parameters
    ----------
    service : str
        The service.
    n_waiting, n_assigned : int
        Requests that wait, and slots that are assigned now.
    n_expired : int
        Slots that were never released.
    drain_per_s : float
        Requests a second that the servers complete if all are busy.
    work_ms : float
        Usual time of a request, in milliseconds.
    by_priority : mapping of int to PriorityStatus
        Figures by priority.
    largest_teams : list of TeamStatus
        Teams of the largest demand.
    waits : list of WaitDecile
        Waits by decile of the prediction.
    """

    service: str
    n_waiting: int
    n_assigned: int
    n_expired: int
    drain_per_s: float
    work_ms: float
    by_priority: Mapping[int, PriorityStatus]
    largest_teams: list[TeamStatus]
    waits: list[WaitDecile]


class WaitHistory:
    """Predicted and real waits of the last requests that waited."""

    def __init__(self) -> None:
        self._waits: deque[tuple[float, float]] = deque(maxlen=N_WAITS)

    def record(self, *, predicted_ms: float, waited_ms: float) -> None:
        """Record a wait that has ended with a slot."""
        self._waits.append((predicted_ms, waited_ms))

    def deciles(self) -> list[WaitDecile]:
        """Return the waits by decile of the prediction; fewer if there are few."""
        order = sorted(self._waits)
        edges = [len(order) * n // N_DECILES for n in range(N_DECILES + 1)]
        return [
            WaitDecile(
                n_requests=end - begin,
                predicted_ms=sum(each[0] for each in order[begin:end]) / (end - begin),
                waited_ms=sum(each[1] for each in order[begin:end]) / (end - begin),
            )
            for begin, end in itertools.pairwise(edges)
            if end > begin
        ]


class PriorityFigures:
    """Assignments and refusals by priority."""

    def __init__(self) -> None:
        self._figures: dict[int, PriorityStatus] = {}

    def count_assigned(self, priority: int) -> None:
        """Count an assigned slot."""
        self._figures.setdefault(priority, PriorityStatus()).n_assigned += 1

    def count_refused(self, priority: int, reason: SlotRefusalReason) -> None:
        """Count a refusal."""
        n_refused = self._figures.setdefault(priority, PriorityStatus()).n_refused
        n_refused[reason] = n_refused.get(reason, 0) + 1

    def by_priority(self, waiting: Iterable[int]) -> dict[int, PriorityStatus]:
        """Return the figures with the requests that wait, given by their priorities."""
        found = copy.deepcopy(self._figures)
        for each in waiting:
            found.setdefault(each, PriorityStatus()).n_waiting += 1
        return dict(sorted(found.items()))
