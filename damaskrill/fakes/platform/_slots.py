"""Slots of a fake backend server that runs few requests concurrently."""

import asyncio
from collections import deque

__all__ = ["ServerSlots"]


class ServerSlots:
    """Slots, the queue for them, and the load that states both.

    Parameters
    ----------
    n_slots : int
        Requests that run concurrently.
    n_places : int, default=0
        Requests that may wait for a slot; others are rejected.

    Attributes
    ----------
    slowness : float
        How long work takes relative to the usual time.
    states_slowness : bool
        Whether the load has this figure.
    n_rejected : int
        Number of rejected requests.
    most_running : int
        Largest number of requests that ran at one moment.
    """

    def __init__(self, n_slots: int, n_places: int = 0) -> None:
        self._n_slots = n_slots
        self._n_places = n_places
        self._n_running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self.slowness = 1.0
        self.states_slowness = True
        self.n_rejected = 0
        self.most_running = 0

    @property
    def is_full(self) -> bool:
        """Whether a further request is rejected."""
        n_requests = self._n_running + len(self._waiting)
        return n_requests >= self._n_slots + self._n_places

    def state_load(self, *, is_answer: bool = False) -> bytes:
        """Return the header's value; an answer does not count its own request."""
        n_running = self._n_running - is_answer
        load = b"%d,%d,%d" % (n_running, len(self._waiting), self._n_slots)
        if not self.states_slowness:
            return load
        return load + b",%d" % round(self.slowness * 100)

    async def acquire(self) -> None:
        """Wait for a slot."""
        if self._n_running < self._n_slots:
            self._take()
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            elif turn in self._waiting:
                self._waiting.remove(turn)
            raise

    def release(self) -> None:
        """Free a slot, which the first waiting request takes."""
        self._n_running -= 1
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                self._take()
                turn.set_result(None)
                return

    def _take(self) -> None:
        self._n_running += 1
        self.most_running = max(self.most_running, self._n_running)
