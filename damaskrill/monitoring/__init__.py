"""Logs, metrics and the status of one router."""

from damaskrill.monitoring._lines import (
    ProcessEventName,
    cause_to_fields,
    causes_to_fields,
    event_to_line,
    process_event_to_line,
)

__all__ = [
    "ProcessEventName",
    "cause_to_fields",
    "causes_to_fields",
    "event_to_line",
    "process_event_to_line",
]
