"""Emulated engines that read prompts in chunks between the tokens of streams."""

from collections import Counter, OrderedDict
from collections.abc import Sequence

from attrs import define, field, frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering import PromptPart

__all__ = ["EmulatedEngine", "Engines", "RequestKind", "Run"]

# Prompt tokens that an engine reads between two tokens of its streams.
CHUNK_TOKENS = 2_048
# Throughput of copies between engines; between data centres they take twice as long.
COPY_TOKENS_PER_MS = 420.0


@frozen(kw_only=True)
class RequestKind:
    """Requests of one kind.

    Parameters
    ----------
    name : str
        Name of the kind.
    priority : int
        Priority; 0 is the highest.
    per_s : float
        Mean rate per second.
    base_tokens, dossier_tokens, own_tokens : int
        Tokens of the part that many dossiers share, of a dossier and of the rest.
    n_dossiers : int
        Number of dossiers.
    n_events : int
        Events of the answer.
    target_ms, pause_ms : float
        Targets for the first event and for the longest pause, in milliseconds.
    """

    name: str
    priority: int
    per_s: float
    base_tokens: int
    dossier_tokens: int
    own_tokens: int
    n_dossiers: int
    n_events: int
    target_ms: float
    pause_ms: float


@define(kw_only=True, eq=False)
class Run:
    """One request at an engine."""

    number: int
    kind: RequestKind
    router: int
    prompt: tuple[PromptPart, ...]
    urgency: int
    sent_at_ms: float
    n_unread: int = 0
    n_made: int = 0
    n_tokens: int = 0
    is_ready_at_ms: float = 0.0
    has_begun: bool = False
    first_at_ms: float | None = None
    event_at_ms: float = 0.0
    longest_pause_ms: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """Order in which engines read prompts."""
        return (self.urgency, self.number)


@frozen(kw_only=True)
class Engines:
    """Speed and memory of the engines."""

    n: int
    read_per_ms: float
    step_ms: float
    tokens_per_event: int
    memory_tokens: int
    n_slots: int = 64


@define(kw_only=True, eq=False)
class EmulatedEngine:
    """Engine that reads prompts in chunks between the tokens of its streams."""

    server: BackendServer
    plan: Engines
    slowness: float = 1.0
    runs: list[Run] = field(factory=list)
    cache: OrderedDict[str, int] = field(factory=OrderedDict)
    n_cached: int = 0
    is_stepping: bool = False
    counts: Counter[str] = field(factory=Counter)

    @property
    def n_in_use(self) -> int:
        """Tokens of the running requests that are their own."""
        return sum(each.n_tokens for each in self.runs if each.has_begun)

    def holds(self, prompt: Sequence[PromptPart]) -> int:
        """Return the leading shared parts' tokens that are cached."""
        n_tokens = 0
        for part in prompt[:-1]:
            if part.part_id not in self.cache:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def accept(self, run: Run, source: "EmulatedEngine | None", now_ms: float) -> None:
        """Take a request."""
        n_shared = sum(part.n_tokens for part in run.prompt[:-1])
        n_here = self.holds(run.prompt)
        n_there = source.holds(run.prompt) if source is not None else 0
        n_copied = max(0, n_there - n_here)
        run.is_ready_at_ms = now_ms
        if n_copied and source is not None:
            is_far = source.server.data_centre != self.server.data_centre
            run.is_ready_at_ms += n_copied / COPY_TOKENS_PER_MS * (1 + is_far)
            self.counts["copied"] += n_copied
            self.counts["copied_far"] += n_copied * is_far
        run.n_unread = n_shared - max(n_here, n_there) + run.prompt[-1].n_tokens
        self.counts["read"] += n_shared - max(n_here, n_there)
        run.n_tokens = run.prompt[-1].n_tokens
        self.runs.append(run)
        for part in run.prompt[:-1]:
            if part.part_id not in self.cache:
                self.n_cached += part.n_tokens
            self.cache[part.part_id] = part.n_tokens
            self.cache.move_to_end(part.part_id)
        self._evict()

    def _evict(self) -> None:
        room = self.plan.memory_tokens - self.n_in_use
        while self.n_cached > room and self.cache:
            _, n_tokens = self.cache.popitem(last=False)
            self.n_cached -= n_tokens

    def step(self, now_ms: float) -> tuple[float, list[Run]] | None:
        """Run one step; return its end and the runs that get a token, None if idle."""
        ready = [each for each in self.runs if each.is_ready_at_ms <= now_ms]
        if not ready:
            return None
        ready.sort(key=lambda each: each.order)
        n_running = sum(each.has_begun for each in ready)
        budget, tokens = CHUNK_TOKENS, []
        for run in ready:
            if not run.has_begun:
                if n_running >= self.plan.n_slots:
                    continue
                run.has_begun = True
                n_running += 1
            if run.n_unread:
                n_read = min(run.n_unread, budget)
                run.n_unread -= n_read
                budget -= n_read
                if run.n_unread:
                    continue
            tokens.append(run)
        n_read = CHUNK_TOKENS - budget
        duration = self.plan.step_ms + n_read / self.plan.read_per_ms
        return now_ms + duration * self.slowness, tokens

    def finish_step(self, tokens: list[Run], now_ms: float) -> list[Run]:
        """Give runs their tokens; return those that ended."""
        ended = []
        for run in tokens:
            run.n_made += 1
            run.n_tokens += 1
            if run.n_made % self.plan.tokens_per_event:
                continue
            if run.first_at_ms is None:
                run.first_at_ms = now_ms
            else:
                pause_ms = now_ms - run.event_at_ms
                run.longest_pause_ms = max(run.longest_pause_ms, pause_ms)
            run.event_at_ms = now_ms
            if run.n_made >= run.kind.n_events * self.plan.tokens_per_event:
                ended.append(run)
                self.runs.remove(run)
        return ended
