"""Shared timer that flushes the pending bytes of all answers together."""

import asyncio
from collections.abc import Callable

__all__ = ["Coalescer"]


class Coalescer:
    """Run scheduled callbacks together, a fixed time after the first was scheduled.

    Parameters
    ----------
    delay_ms : int
        Longest delay of a callback, in milliseconds.

    Notes
    -----
    Answers that are flushed together share one message per router, so that the cost
    of a message is divided by the number of streams between two routers.
    """

    def __init__(self, *, delay_ms: int) -> None:
        self._delay_s = delay_ms / 1_000
        self._scheduled: dict[Callable[[], None], None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, flush: Callable[[], None]) -> None:
        """Run a callback at the next flush; scheduling it twice has no effect."""
        self._scheduled[flush] = None
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._delay_s, self._flush_all)

    def cancel(self, flush: Callable[[], None]) -> None:
        """Cancel a scheduled callback."""
        self._scheduled.pop(flush, None)

    def _flush_all(self) -> None:
        self._timer = None
        scheduled, self._scheduled = self._scheduled, {}
        for flush in scheduled:
            flush()
