"""Parsing of many small parts in turns, so that other connections are served."""

from collections import deque
from collections.abc import Callable

__all__ = ["EVENTS_PER_TURN", "ParsingTurns"]

# Parsed parts of one turn; 64 chunks take some 3 ms on a slow host.
EVENTS_PER_TURN = 64


class ParsingTurns:
    """Runs one turn of one connection in each iteration of the event loop.

    Parameters
    ----------
    call_soon : callable
        Schedules a call in the next iteration.

    Notes
    -----
    It answers the load of many connections that send chunks of one byte: what a single
    read holds takes 0.4 s to parse, and each of them has a read in each iteration.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._queue: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def add(self, turn: Callable[[], None], *, is_first: bool = False) -> None:
        """Queue a turn behind those of other connections, or before them."""
        if is_first:
            self._queue.appendleft(turn)
        else:
            self._queue.append(turn)
        self._schedule()

    def _schedule(self) -> None:
        if self._queue and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        turn = self._queue.popleft()
        try:
            turn()
        finally:
            self._schedule()
