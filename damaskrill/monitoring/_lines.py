"""Schema of the log lines: one JSON object per line, with stable names.

Notes
-----
Each line has ``event``, ``at_ms``, ``time`` and ``router``; other fields are omitted
if they are empty. No line contains a body, a permit or an idempotency key.
"""

from collections.abc import Iterable
from datetime import UTC, datetime
from enum import Enum
from typing import Any

import attrs

from damaskrill.messages import Cause, LoggedEvent

__all__ = [
    "ProcessEventName",
    "cause_to_fields",
    "causes_to_fields",
    "event_to_line",
    "process_event_to_line",
]

MS_PER_S = 1_000


class ProcessEventName(Enum):
    """Names of the process events, which are logged in addition to kernel events."""

    PROCESS_STARTED = "process_started"
    PROCESS_STOPPING = "process_stopping"
    PROCESS_STOPPED = "process_stopped"
    INTERNAL_ERROR = "internal_error"
    PEER_CONNECTED = "peer_connected"
    PEER_LOST = "peer_lost"
    PEER_UNREACHABLE = "peer_unreachable"
    PLATFORM_READ_FAILED = "platform_read_failed"
    CALLER_REFUSED = "caller_refused"
    QUEUE_OVERFLOW = "queue_overflow"
    ORDER_FAILED = "order_failed"
    TEXT_FAULTS = "text_faults"


def cause_to_fields(cause: Cause) -> dict[str, Any]:
    """Convert a cause to the fields used in log lines and answers.

    Parameters
    ----------
    cause : Cause
        One link of a chain of causes.

    Returns
    -------
    dict
        ``code`` and ``sentence``, and those of ``subject``, ``detail``,
        ``text_version`` and ``at_ms`` that are not empty.
    """
    fields: dict[str, Any] = {"code": cause.code.value, "sentence": cause.sentence}
    for name in ("subject", "detail", "text_version", "at_ms"):
        value = getattr(cause, name)
        if value:
            fields[name] = value
    return fields


def causes_to_fields(causes: Iterable[Cause]) -> list[dict[str, Any]]:
    """Convert a chain of causes to fields, from the nearest cause to the root."""
    return [cause_to_fields(cause) for cause in causes]


def event_to_line(event: LoggedEvent, *, router: str, at_ms: int) -> dict[str, Any]:
    """Convert a kernel event to a log line.

    Parameters
    ----------
    event : LoggedEvent
        Event to log.
    router : str
        Peer address of the router that logs the event.
    at_ms : int
        Time of the event, in milliseconds since the Unix epoch.

    Returns
    -------
    dict
        Line with the fields of ``LoggedEvent`` that are not empty. ``causes`` is a
        list of dictionaries as returned by ``cause_to_fields``.
    """
    line = _common_fields(event.name.value, router=router, at_ms=at_ms)
    for attribute in attrs.fields(LoggedEvent):
        value = getattr(event, attribute.name)
        if attribute.name == "causes":
            if value:
                line["causes"] = causes_to_fields(value)
        elif attribute.name != "name" and value:
            line[attribute.name] = value
    return line


def process_event_to_line(
    name: ProcessEventName, *, router: str, at_ms: int, **fields: Any
) -> dict[str, Any]:
    """Convert a process event to a log line.

    Parameters
    ----------
    name : ProcessEventName
        Name of the event.
    router : str
        Peer address of the router that logs the event.
    at_ms : int
        Time of the event, in milliseconds since the Unix epoch.
    **fields : object
        Additional fields; empty ones are omitted.

    Returns
    -------
    dict
        Line with the additional fields that are not empty.
    """
    line = _common_fields(name.value, router=router, at_ms=at_ms)
    line.update({key: value for key, value in fields.items() if value})
    return line


def _common_fields(event: str, *, router: str, at_ms: int) -> dict[str, Any]:
    moment = datetime.fromtimestamp(at_ms / MS_PER_S, tz=UTC)
    return {
        "event": event,
        "at_ms": at_ms,
        "time": moment.isoformat(timespec="milliseconds"),
        "router": router,
    }
