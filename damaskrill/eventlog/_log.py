"""Structured log of the decisions of one router."""

from typing import Any

from loguru import logger

from damaskrill.eventlog._sink import LineSink
from damaskrill.utils import Clock

__all__ = ["DecisionLog", "configure_decision_log"]

IMPORTANT_LEVEL_NO = 30


def configure_decision_log(sink: LineSink) -> None:
    """Route all log records of the process to a sink."""

    def write(message: Any) -> None:
        record = message.record
        line = record["extra"].get("line")
        if line is None:
            line = {"event": "message", "sentence": record["message"]}
        important = record["level"].no >= IMPORTANT_LEVEL_NO
        content = {**line, "level": record["level"].name.lower()}
        sink.write(content, is_important=important)

    logger.remove()
    logger.add(write, level="INFO", format="{message}", backtrace=False, catch=False)


class DecisionLog:
    """Logs the decisions of a router and the state on which they are based.

    Parameters
    ----------
    router : str
        Name of the router in each line.
    clock : Clock
        Source of the time stamps.
    """

    def __init__(self, *, router: str, clock: Clock) -> None:
        self._router = router
        self._clock = clock

    def write(self, event: str, **fields: Any) -> None:
        """Log a decision."""
        self._write("INFO", event, fields)

    def warn(self, event: str, **fields: Any) -> None:
        """Log a failure. Such lines have priority when the line rate is limited."""
        self._write("WARNING", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        line = {
            "event": event,
            "at_ms": self._clock.now_ms,
            "router": self._router,
            **fields,
        }
        logger.bind(line=line).log(level, event)
