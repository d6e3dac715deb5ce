"""Parsing of many small parts in turns, so that other connections are served."""

from collections import OrderedDict
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
    read holds takes 0.4 s to parse, and each of them has a read in each iteration. A
    connection that ends leaves the queue: it would keep what it has received until its
    turn came, which takes longer the more connections come after it.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._queue: OrderedDict[Callable[[], None], None] = OrderedDict()
        self._is_scheduled = False

    @property
    def n_queued(self) -> int:
        """Number of turns that wait."""
        return len(self._queue)

    def add(self, turn: Callable[[], None], *, is_first: bool = False) -> None:
        """Queue a turn behind those of other connections, or before them."""
        self._queue[turn] = None
        if is_first:
            self._queue.move_to_end(turn, last=False)
        self._schedule()

    def discard(self, turn: Callable[[], None]) -> None:
        """Remove a turn, if it is queued."""
        self._queue.pop(turn, None)

    def _schedule(self) -> None:
        if self._queue and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        if not self._queue:
            return
        turn, _ = self._queue.popitem(last=False)
        try:
            turn()
        finally:
            self._schedule()
