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

__all__ = [
    "ReleaseOutcome",
    "SlotAssignment",
    "SlotDecision",
    "SlotQueued",
    "SlotRefusal",
    "SlotRefusalReason",
    "SlotRelease",
    "SlotRequest",
]
