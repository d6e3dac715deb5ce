"""Log of events as JSON lines, written through ``loguru``."""

import json
import sys
from typing import Any, TextIO

from loguru import logger

from damaskrill.messages import LoggedEvent
from damaskrill.monitoring._lines import (
    ProcessEventName,
    event_to_line,
    process_event_to_line,
)
from damaskrill.utils import Clock

__all__ = ["EventLog", "configure_logging"]

DEFAULT_LEVEL = "INFO"
# Extra fields of log records that are copied to the line.
LINE_FIELDS = ("router", "code", "peer", "request_id")


def configure_logging(
    *, level: str = DEFAULT_LEVEL, stream: TextIO | None = None
) -> None:
    """Write all log records of the process to one stream, one JSON object per line.

    Parameters
    ----------
    level : str, default="INFO"
        Lowest level that is written.
    stream : file, default=None
        Stream to write to; standard error if None.
    """
    logger.remove()
    target = sys.stderr if stream is None else stream

    def write(message: Any) -> None:
        line = _record_to_line(message.record)
        target.write(json.dumps(line, ensure_ascii=False, default=str) + "\n")
        target.flush()

    logger.add(write, level=level, format="{message}", backtrace=False)


class EventLog:
    """Event log of one router.

    Parameters
    ----------
    router : str
        Peer address of the router.
    clock : Clock
        Clock for the times of process events.
    """

    def __init__(self, *, router: str, clock: Clock) -> None:
        self._router = router
        self._clock = clock

    def write_event(self, event: LoggedEvent, at_ms: int) -> None:
        """Write a kernel event."""
        line = event_to_line(event, router=self._router, at_ms=at_ms)
        logger.bind(line=line).info(event.name.value)

    def write(
        self, name: ProcessEventName, *, level: str = "INFO", **fields: Any
    ) -> None:
        """Write a process event.

        Parameters
        ----------
        name : ProcessEventName
            Name of the event.
        level : str, default="INFO"
            Level of the log record.
        **fields : object
            Additional fields of the line.
        """
        line = process_event_to_line(
            name, router=self._router, at_ms=self._clock.now_ms, **fields
        )
        logger.bind(line=line).log(level, name.value)


def _record_to_line(record: Any) -> dict[str, Any]:
    extra = record["extra"]
    level = record["level"].name.lower()
    line = extra.get("line")
    if line is not None:
        return {**line, "level": level}
    moment = record["time"]
    fields = {name: extra[name] for name in LINE_FIELDS if extra.get(name)}
    return {
        "event": extra.get("event", "message"),
        "at_ms": int(moment.timestamp() * 1_000),
        "time": moment.astimezone().isoformat(timespec="milliseconds"),
        **fields,
        "sentence": record["message"],
        "level": level,
    }
