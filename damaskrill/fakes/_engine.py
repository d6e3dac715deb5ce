"""Fake model engine with a bounded prefix cache and a cold start."""

from collections import OrderedDict, deque

from attrs import define, field, frozen

from damaskrill.messages import CacheEvents, LoadReported
from damaskrill.utils import check_random_state

__all__ = ["EngineRun", "FakeEngine"]


@frozen(kw_only=True)
class EngineRun:
    """A running request of an engine.

    Parameters
    ----------
    run_id : str
        ID chosen by the caller.
    started_at_ms, first_token_at_ms, ends_at_ms : int
        Times in milliseconds.
    n_cached_tokens : int
        Prompt tokens found in the prefix cache.
    """

    run_id: str
    started_at_ms: int
    first_token_at_ms: int
    ends_at_ms: int
    n_cached_tokens: int


@define(kw_only=True, slots=False)
class FakeEngine:
    """Model engine whose behaviour depends only on its calls and their times.

    Parameters
    ----------
    name : str
        Name of the backend server.
    random_state : int
        Seed of start IDs and of gaps in cache events.
    bearable_load : int
        Maximum number of concurrent requests when warm.
    cold_load : int
        Maximum number of concurrent requests directly after a start.
    n_runs_to_warm : int
        Finished requests after which the maximum grows by one.
    cache_capacity_blocks : int
        Capacity of the prefix cache, in blocks.
    block_tokens : int
        Tokens per block.
    report_lag_ms : int
        Age of the load reports, in milliseconds.
    event_lag_ms : int
        Delay before cache events are published, in milliseconds.
    event_loss_permille : int
        Fraction of cache events that are lost, in thousandths.
    prefill_us_per_token : int
        Processing time of an uncached prompt token, in microseconds.
    token_interval_ms : int
        Time between the tokens of a single request, in milliseconds.
    """

    name: str
    random_state: int = 0
    bearable_load: int = 16
    cold_load: int = 2
    n_runs_to_warm: int = 2
    cache_capacity_blocks: int = 4096
    block_tokens: int = 64
    report_lag_ms: int = 500
    event_lag_ms: int = 1_000
    event_loss_permille: int = 20
    prefill_us_per_token: int = 100
    token_interval_ms: int = 12
    n_crashes: int = field(default=0, init=False)
    n_started: int = field(default=0, init=False)
    n_cached_tokens: int = field(default=0, init=False)
    n_prompt_tokens: int = field(default=0, init=False)
    max_load: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = check_random_state(self.random_state)
        self._sequence = 0
        self._restart_state()

    def _restart_state(self) -> None:
        self._start_id = f"{self.name}-{self._random.getrandbits(32):08x}"
        self._running: dict[str, EngineRun] = {}
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._n_finished = 0
        self._loads: deque[tuple[int, int]] = deque([(0, 0)])
        self._events: deque[tuple[int, CacheEvents]] = deque()

    @property
    def start_id(self) -> str:
        """ID of the current process; changes with each restart."""
        return self._start_id

    @property
    def load(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def running(self) -> tuple[EngineRun, ...]:
        """Runs that are neither finished nor cancelled."""
        return tuple(self._running.values())

    @property
    def current_capacity(self) -> int:
        """Maximum number of concurrent requests in the current warm-up state."""
        warm = self.cold_load + self._n_finished // self.n_runs_to_warm
        return min(self.bearable_load, warm)

    def count_cached(self, prefix_blocks: tuple[int, ...]) -> int:
        """Return the length of the cached prefix, in blocks."""
        n_hits = 0
        for block in prefix_blocks:
            if block not in self._cache:
                break
            n_hits += 1
        return n_hits

    def restart(self, now_ms: int) -> tuple[EngineRun, ...]:
        """Restart cold, with an empty cache and a new start ID.

        Returns
        -------
        tuple of EngineRun
            Runs that were lost.
        """
        lost = self.running
        self._restart_state()
        self._loads.append((now_ms, 0))
        return lost

    def begin(
        self,
        *,
        run_id: str,
        prefix_blocks: tuple[int, ...] = (),
        n_prompt_tokens: int = 0,
        n_output_tokens: int = 64,
        now_ms: int,
    ) -> EngineRun | None:
        """Start a run, or crash if the engine has no capacity left.

        Returns
        -------
        EngineRun or None
            The run; None if the engine crashed and lost all its runs.
        """
        self.n_started += 1
        if self.load + 1 > self.current_capacity:
            self.n_crashes += 1
            self.restart(now_ms)
            return None
        n_cached = self._update_cache(prefix_blocks, now_ms)
        n_cached = min(n_cached, n_prompt_tokens)
        uncached_us = (n_prompt_tokens - n_cached) * self.prefill_us_per_token
        first = now_ms + 10 + uncached_us // 1_000
        interval = self.token_interval_ms * (1 + self.load / self.bearable_load)
        run = EngineRun(
            run_id=run_id,
            started_at_ms=now_ms,
            first_token_at_ms=first,
            ends_at_ms=first + int(n_output_tokens * interval),
            n_cached_tokens=n_cached,
        )
        self.n_cached_tokens += n_cached
        self.n_prompt_tokens += n_prompt_tokens
        self._running[run_id] = run
        self._record_load(now_ms)
        return run

    def finish(self, run_id: str, now_ms: int) -> bool:
        """Finish a run and return whether it was still running."""
        if self._running.pop(run_id, None) is None:
            return False
        self._n_finished += 1
        self._record_load(now_ms)
        return True

    def cancel(self, run_id: str, now_ms: int) -> bool:
        """Cancel a run and return whether it was still running."""
        if self._running.pop(run_id, None) is None:
            return False
        self._record_load(now_ms)
        return True

    def report(self, now_ms: int) -> LoadReported:
        """Return a report of the load of ``report_lag_ms`` ago."""
        at_ms = now_ms - self.report_lag_ms
        while len(self._loads) > 1 and self._loads[1][0] <= at_ms:
            self._loads.popleft()
        return LoadReported(
            backend_server=self.name,
            start_id=self._start_id,
            load=self._loads[0][1],
            measured_at_ms=at_ms,
            n_finished=self._n_finished,
        )

    def published_events(self, now_ms: int) -> list[CacheEvents]:
        """Return and remove the cache events whose delay has passed."""
        ready = []
        while self._events and self._events[0][0] + self.event_lag_ms <= now_ms:
            ready.append(self._events.popleft()[1])
        return ready

    def _record_load(self, now_ms: int) -> None:
        self._loads.append((now_ms, self.load))
        self.max_load = max(self.max_load, self.load)

    def _update_cache(self, prefix_blocks: tuple[int, ...], now_ms: int) -> int:
        n_hits = self.count_cached(prefix_blocks)
        stored = tuple(each for each in prefix_blocks if each not in self._cache)
        for block in prefix_blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        removed = []
        while len(self._cache) > self.cache_capacity_blocks:
            removed.append(self._cache.popitem(last=False)[0])
        self._record_event(stored, tuple(removed), now_ms)
        return n_hits * self.block_tokens

    def _record_event(
        self, stored: tuple[int, ...], removed: tuple[int, ...], now_ms: int
    ) -> None:
        if not stored and not removed:
            return
        self._sequence += 1
        if self._random.randrange(1_000) < self.event_loss_permille:
            return
        event = CacheEvents(
            backend_server=self.name,
            sequence=self._sequence,
            stored=stored,
            removed=removed,
        )
        self._events.append((now_ms, event))
