"""Oracle router: the reference that cache reuse is compared with."""

import heapq
import math
from collections import deque
from itertools import count

from benchmarks._workloads import Arrival
from damaskrill.fakes import FakeEngine

__all__ = ["OracleRouter"]


class OracleRouter:
    """Single router that knows the exact cache and load of every engine.

    It applies the same bound on load as the product.

    Parameters
    ----------
    engines : dict of str to FakeEngine
        Engines by name.
    multiple : float
        Maximum load as a multiple of the mean load.
    floor : int
        Load that is allowed independent of the mean.

    Notes
    -----
    Each request goes to the engine with the longest cached prefix among those with
    free capacity. Requests are queued while no engine has free capacity.
    """

    def __init__(
        self, *, engines: dict[str, FakeEngine], multiple: float, floor: int
    ) -> None:
        self._engines = engines
        self._multiple = multiple
        self._floor = floor
        self._in_service = set(engines)
        self._events: list[tuple[int, int, str, str]] = []
        self._event_numbers = count()
        self._queued: deque[Arrival] = deque()

    def set_in_service(self, names: set[str]) -> None:
        """Set the engines that accept new requests."""
        self._in_service = names

    def run_until(self, now_ms: int) -> None:
        """Finish the runs that have ended by this time."""
        while self._events and self._events[0][0] <= now_ms:
            at_ms, _, name, run_id = heapq.heappop(self._events)
            self._engines[name].finish(run_id, at_ms)
            while self._queued and self._try_start(self._queued[0], at_ms):
                self._queued.popleft()

    def send(self, arrival: Arrival) -> None:
        """Start a request, or queue it until an engine has free capacity."""
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
            event = (run.ends_at_ms, next(self._event_numbers), engine.name, run.run_id)
            heapq.heappush(self._events, event)
        return True
