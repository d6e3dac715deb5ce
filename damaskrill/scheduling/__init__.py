"""Scheduling of requests where the servers of a service have few slots."""

from damaskrill.scheduling._model import (
    ReleaseOutcome,
    SlotAssignment,
    SlotDecision,
    SlotQueued,
    SlotRefusal,
    SlotRefusalReason,
    SlotRelease,
    SlotRequest,
)
from damaskrill.scheduling._scheduler import SlotScheduler
from damaskrill.scheduling._shares import (
    Share,
    TeamShares,
    divide_by_priority,
    fill_by_weight,
)
from damaskrill.scheduling._status import (
    PriorityStatus,
    SchedulerStatus,
    TeamStatus,
    WaitDecile,
)

__all__ = [
    "PriorityStatus",
    "ReleaseOutcome",
    "SchedulerStatus",
    "Share",
    "SlotAssignment",
    "SlotDecision",
    "SlotQueued",
    "SlotRefusal",
    "SlotRefusalReason",
    "SlotRelease",
    "SlotRequest",
    "SlotScheduler",
    "TeamShares",
    "TeamStatus",
    "WaitDecile",
    "divide_by_priority",
    "fill_by_weight",
]
