"""One timer for the bytes of all answers that wait to be sent on."""

import asyncio
from collections.abc import Callable

__all__ = ["Coalescer"]


class Coalescer:
    """Calls what was scheduled, all together, a fixed time after the first.

    Parameters
    ----------
    delay_ms : int
        Longest wait, in milliseconds.

    Notes
    -----
    Answers that are sent on in the same turn share a message to each router, so that
    the cost of a message is divided by the number of streams between two routers.
    """

    def __init__(self, *, delay_ms: int) -> None:
        self._delay_s = delay_ms / 1_000
        self._scheduled: dict[Callable[[], None], None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, flush: Callable[[], None]) -> None:
        """Call a function at the next turn; scheduling it twice changes nothing."""
        self._scheduled[flush] = None
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._delay_s, self._flush_all)

    def cancel(self, flush: Callable[[], None]) -> None:
        """Do not call a function."""
        self._scheduled.pop(flush, None)

    def _flush_all(self) -> None:
        self._timer = None
        scheduled, self._scheduled = self._scheduled, {}
        for flush in scheduled:
            flush()
