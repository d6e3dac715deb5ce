"""Decision log of one router."""

from typing import Any

from loguru import logger

from damaskrill.eventlog._sink import LineSink
from damaskrill.utils import Clock

__all__ = ["DecisionLog", "configure_decision_log"]

IMPORTANT_LEVEL_NO = 30


def configure_decision_log(sink: LineSink) -> None:
    """Send all records of the process to a sink."""

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
    """Writes what the router decides and what it believes.

    Parameters
    ----------
    router : str
        Name of the router in each line.
    clock : Clock
        Time.
    """

    def __init__(self, *, router: str, clock: Clock) -> None:
        self._router = router
        self._clock = clock

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about a decision."""
        self._write("INFO", event, fields)

    def warn(self, event: str, **fields: Any) -> None:
        """Write a line about a failure; it goes before others when lines are many."""
        self._write("WARNING", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        line = {
            "event": event,
            "at_ms": self._clock.now_ms,
            "router": self._router,
            **fields,
        }
        logger.bind(line=line).log(level, event)
