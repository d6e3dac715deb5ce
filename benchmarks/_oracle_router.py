"""All-knowing single router: the bound that cache reuse is measured against."""

import heapq
import math
from collections import deque
from itertools import count

from benchmarks._workloads import Arrival
from damaskrill.fakes import FakeEngine

__all__ = ["OracleRouter"]


class OracleRouter:
    """Sees every cache and load as it is, and is bound by the same multiple.

    Parameters
    ----------
    engines : dict of str to FakeEngine
        The engines.
    multiple : float
        Highest load as a multiple of the mean load.
    floor : int
        Load that is allowed however small the mean is.

    Notes
    -----
    It sends each request to the engine with the longest cached prefix among those
    with room, and lets it wait where none has room.
    """

    def __init__(
        self, *, engines: dict[str, FakeEngine], multiple: float, floor: int
    ) -> None:
        self._engines = engines
        self._multiple = multiple
        self._floor = floor
        self._in_service = set(engines)
        self._events: list[tuple[int, int, str, str]] = []
        self._numbers = count()
        self._queued: deque[Arrival] = deque()

    def set_in_service(self, names: set[str]) -> None:
        """Say which engines may get new work."""
        self._in_service = names

    def run_until(self, now_ms: int) -> None:
        """End the runs that are over."""
        while self._events and self._events[0][0] <= now_ms:
            at_ms, _, name, run_id = heapq.heappop(self._events)
            self._engines[name].finish(run_id, at_ms)
            while self._queued and self._try_start(self._queued[0], at_ms):
                self._queued.popleft()

    def send(self, arrival: Arrival) -> None:
        """Run a request now or as soon as there is room."""
        self.run_until(arrival.at_ms)
        if self._queued or not self._try_start(arrival, arrival.at_ms):
            self._queued.append(arrival)

    def _try_start(self, arrival: Arrival, now_ms: int) -> bool:
        engines = [self._engines[name] for name in sorted(self._in_service)]
        mean = sum(engine.load for engine in engines) / len(engines)
        bound = max(self._floor, math.ceil(self._multiple * mean))
        free = [e for e in engines if e.load < min(bound, e.current_capacity)]
        if not free:
            return False
        blocks = arrival.request.prefix_blocks
        engine = max(free, key=lambda e: (e.count_cached(blocks), -e.load, e.name))
        run = engine.begin(
            run_id=arrival.request.request_id,
            prefix_blocks=blocks,
            n_prompt_tokens=arrival.request.n_prompt_tokens,
            n_output_tokens=arrival.n_output_tokens,
            now_ms=now_ms,
        )
        if run is not None:
            event = (run.ends_at_ms, next(self._numbers), engine.name, run.run_id)
            heapq.heappush(self._events, event)
        return True
