"""Log, metrics and status page of one router."""

from damaskrill.monitoring._lines import (
    ProcessEventName,
    cause_to_fields,
    causes_to_fields,
    event_to_line,
    process_event_to_line,
)
from damaskrill.monitoring._log import EventLog, configure_logging
from damaskrill.monitoring._metrics import RouterMetrics
from damaskrill.monitoring._status import StatusPage

__all__ = [
    "EventLog",
    "ProcessEventName",
    "RouterMetrics",
    "StatusPage",
    "cause_to_fields",
    "causes_to_fields",
    "configure_logging",
    "event_to_line",
    "process_event_to_line",
]
