"""Emulated engine with slots, sequential prefill and an LRU cache of prompt parts."""

import heapq
from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field, frozen

from damaskrill.catalog import BackendServer
from damaskrill.experiment._plan import EnginePlan
from damaskrill.steering import PromptPart

__all__ = ["EmulatedEngine", "EngineRun"]


@frozen(kw_only=True)
class EngineRun:
    """Times and prefill work of one served request.

    Parameters
    ----------
    first_at_ms, end_at_ms : float
        Times of its first and last event, in milliseconds.
    n_read, n_copied : int
        Tokens of shared parts that the engine prefilled itself, and that it copied
        from another engine.
    """

    first_at_ms: float
    end_at_ms: float
    n_read: int
    n_copied: int


@define(kw_only=True, eq=False)
class EmulatedEngine:
    """Model engine that serves requests in virtual time.

    Parameters
    ----------
    server : BackendServer
        The server incarnation that it emulates.
    plan : EnginePlan
        Its speed and capacity.
    """

    server: BackendServer
    plan: EnginePlan
    _end_times_ms: list[float] = field(factory=list, init=False)
    _prefill_until_ms: float = field(default=0.0, init=False)
    # Per part: when its prefill ends, and its tokens; least recently used first.
    _cache: OrderedDict[str, tuple[float, int]] = field(factory=OrderedDict, init=False)
    _n_cached: int = field(default=0, init=False)

    def n_requests(self, now_ms: float) -> int:
        """Return the number of running and waiting requests."""
        while self._end_times_ms and self._end_times_ms[0] <= now_ms:
            heapq.heappop(self._end_times_ms)
        return len(self._end_times_ms)

    def has_cached(self, part_id: str, now_ms: float) -> bool:
        """Return whether a part is in the cache and its prefill has ended."""
        cached = self._cache.get(part_id)
        return cached is not None and cached[0] <= now_ms

    def serve(
        self,
        prompt: Sequence[PromptPart],
        *,
        n_steps: int,
        source: "EmulatedEngine | None",
        now_ms: float,
    ) -> EngineRun:
        """Serve a request.

        Parameters
        ----------
        prompt : sequence of PromptPart
            Shared parts, followed by the part of this request alone.
        n_steps : int
            Output steps.
        source : EmulatedEngine or None
            Engine to copy missing parts from.
        now_ms : float
            Time of arrival, in milliseconds.

        Returns
        -------
        EngineRun
            Its times and prefill work.
        """
        plan = self.plan
        n_running = self.n_requests(now_ms)
        start_ms = now_ms
        if n_running >= plan.n_slots:
            start_ms = sorted(self._end_times_ms)[n_running - plan.n_slots]
        n_read, n_copied = self._count_missing(prompt[:-1], source, now_ms)
        start_ms = max(start_ms, self._prefill_until_ms)
        start_ms += n_copied / plan.copy_tokens_per_ms
        n_prompt = n_read + prompt[-1].n_tokens
        prefilled_at_ms = start_ms + n_prompt / plan.read_tokens_per_ms
        self._prefill_until_ms = prefilled_at_ms
        step_ms = plan.step_ms + plan.step_ms_per_request * n_running
        end_at_ms = prefilled_at_ms + n_steps * step_ms
        heapq.heappush(self._end_times_ms, end_at_ms)
        for part in prompt[:-1]:
            self._store_part(part, prefilled_at_ms)
        return EngineRun(
            first_at_ms=prefilled_at_ms + step_ms,
            end_at_ms=end_at_ms,
            n_read=n_read,
            n_copied=n_copied,
        )

    def _count_missing(
        self,
        shared: Sequence[PromptPart],
        source: "EmulatedEngine | None",
        now_ms: float,
    ) -> tuple[int, int]:
        n_read = n_copied = 0
        has_all = source_has_all = True
        for part in shared:
            has_all = has_all and self.has_cached(part.part_id, now_ms)
            if has_all:
                continue
            source_has_all = source_has_all and (
                source is not None and source.has_cached(part.part_id, now_ms)
            )
            if source_has_all:
                n_copied += part.n_tokens
            else:
                n_read += part.n_tokens
        return n_read, n_copied

    def _store_part(self, part: PromptPart, prefilled_at_ms: float) -> None:
        cached = self._cache.pop(part.part_id, None)
        if cached is None:
            self._n_cached += part.n_tokens
            cached = (prefilled_at_ms, part.n_tokens)
        self._cache[part.part_id] = cached
        while self._n_cached > self.plan.cache_tokens and len(self._cache) > 1:
            _, (_, n_tokens) = self._cache.popitem(last=False)
            self._n_cached -= n_tokens
