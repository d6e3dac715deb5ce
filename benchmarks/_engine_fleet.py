"""Replay of seeded requests: real decisions of routers, emulated engines."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from random import Random

from attrs import define, field, frozen

from benchmarks._engine_replay import EmulatedEngine, Engines, RequestKind, Run
from damaskrill.catalog import BackendServer
from damaskrill.mesh._frames import Update, encode
from damaskrill.steering import (
    RELAYED_BOUNDS,
    Candidate,
    EngineFigures,
    EngineRoom,
    HotKeys,
    PrefixIndex,
    PriorityRanks,
    PromptPart,
    ServerLoad,
    ServerLoads,
    ServerSelector,
    ServerSpeeds,
    map_urgency,
    short_server_id,
)

__all__ = ["Placement", "Replay", "ReplayPlan"]

N_DATA_CENTRES = 4
GOSSIP_MS = 200
N_BASES = 5
DEFAULT_URGENCY = 5
# After the start, caches are empty.
WARM_UP_MS = 8_000.0
MS_PER_S = 1_000


@frozen(kw_only=True)
class Placement:
    """Which of the decisions are taken.

    Parameters
    ----------
    states_urgency : bool
        Whether engines are told how urgent a request is.
    uses_figures : bool
        Whether engines are chosen by data centre, speed and room, or as before.
    knows_speeds, are_speeds_told : bool
        Whether speeds count, and whether routers tell them with loads.
    """

    states_urgency: bool = True
    uses_figures: bool = True
    knows_speeds: bool = True
    are_speeds_told: bool = True


@frozen(kw_only=True)
class ReplayPlan:
    """Engines, routers and load.

    Parameters
    ----------
    engines : Engines
        Their speed and memory.
    kinds : tuple of RequestKind
        Kinds of requests.
    n_routers : int
        Number of routers.
    duration_ms : float
        Time for which requests arrive.
    peak_from_ms, peak_to_ms, peak : float
        Time in which so many times as many arrive.
    slow_share, slowness : float
        Share of the engines that take so many times as long.
    skew : float
        Exponent of the frequency of dossiers by rank.
    """

    engines: Engines
    kinds: tuple[RequestKind, ...]
    n_routers: int
    duration_ms: float = 24_000.0
    peak_from_ms: float = 10_000.0
    peak_to_ms: float = 18_000.0
    peak: float = 1.0
    slow_share: float = 0.0
    slowness: float = 2.5
    skew: float = 1.0


@define(kw_only=True, eq=False)
class _Router:
    data_centre: str
    selector: ServerSelector
    loads: ServerLoads
    hot_keys: HotKeys
    prefixes: PrefixIndex = field(factory=PrefixIndex)
    speeds: ServerSpeeds = field(factory=ServerSpeeds)
    room: EngineRoom = field(factory=EngineRoom)
    told_speeds: dict[str, tuple[float, float]] = field(factory=dict)


class Replay:
    """Replays one seed of a plan with one way of placing requests.

    Parameters
    ----------
    plan : ReplayPlan
        Engines, routers and load.
    placement : Placement
        Which of the decisions are taken.
    seed : int
        Seed; the requests do not depend on the placement.

    Attributes
    ----------
    ended : list of Run
        Requests that have ended.
    counts : Counter of str
        Counts after the caches are warm.
    """

    def __init__(self, plan: ReplayPlan, placement: Placement, seed: int) -> None:
        self.plan = plan
        self.placement = placement
        self.seed = seed
        self.ended: list[Run] = []
        self.counts: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._sent: dict[tuple[int, int], tuple[int, int]] = {}
        self._n_rounds = 0
        choices = Random(self.seed + 1)
        self._engines = {
            f"e{number}": EmulatedEngine(
                server=BackendServer(
                    server_id=f"e{number}",
                    service="engines",
                    address=("", 0),
                    data_centre=f"dc{number % N_DATA_CENTRES}",
                    n_slots=self.plan.engines.n_slots,
                ),
                plan=self.plan.engines,
            )
            for number in range(self.plan.engines.n)
        }
        n_slow = int(self.plan.slow_share * len(self._engines))
        for name in choices.sample(list(self._engines), n_slow):
            self._engines[name].slowness = self.plan.slowness
        self._servers = [each.server for each in self._engines.values()]
        self._candidates = [Candidate(server=each) for each in self._servers]
        self._routers = [
            self._build_router(number, choices) for number in range(self.plan.n_routers)
        ]
        self._links = self._draw_links(choices)
        self._ranks = PriorityRanks(each.priority for each in self.plan.kinds)

    def _build_router(self, number: int, choices: Random) -> _Router:
        loads, hot_keys = ServerLoads(), HotKeys()
        for server in self._servers:
            loads.register_server(server.key)
        data_centre = f"dc{number % N_DATA_CENTRES}"
        selector = ServerSelector(
            loads=loads,
            own_data_centre=data_centre,
            random_state=Random(choices.random()),
            hot_keys=hot_keys,
        )
        return _Router(
            data_centre=data_centre, selector=selector, loads=loads, hot_keys=hot_keys
        )

    def _draw_links(self, random: Random) -> list[tuple[int, int]]:
        # Two links in the own data centre and one to another, as in the mesh.
        links: set[tuple[int, int]] = set()
        for number in range(self.plan.n_routers):
            others = [each for each in range(self.plan.n_routers) if each != number]
            here = [each for each in others if (each - number) % N_DATA_CENTRES == 0]
            there = [each for each in others if (each - number) % N_DATA_CENTRES]
            for other in (*random.sample(here, 2), random.choice(there)):
                links |= {(number, other), (other, number)}
        return sorted(links)

    def run(self) -> None:
        """Run until all requests have ended."""
        for at_ms, kind, dossier, router in self._draw_arrivals():
            self._push(at_ms, partial(self._handle_arrival, kind, dossier, router))
        self._push(float(GOSSIP_MS), self._exchange)
        while self._events:
            now_ms, _, handle = heapq.heappop(self._events)
            handle(now_ms)

    def _push(self, at_ms: float, handle: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), handle))

    def _draw_arrivals(self) -> Iterator[tuple[float, RequestKind, int, int]]:
        plan, random = self.plan, Random(self.seed)
        weights = {
            kind.name: list(
                itertools.accumulate(
                    1 / (rank + 1) ** plan.skew for rank in range(kind.n_dossiers)
                )
            )
            for kind in plan.kinds
        }
        rates = [kind.per_s for kind in plan.kinds]
        now_ms = 0.0
        while True:
            is_peak = plan.peak_from_ms <= now_ms < plan.peak_to_ms
            rate = sum(rates) * (plan.peak if is_peak else 1.0)
            now_ms += random.expovariate(rate) * MS_PER_S
            if now_ms >= plan.duration_ms:
                return
            kind = random.choices(plan.kinds, rates)[0]
            dossier = random.choices(
                range(kind.n_dossiers), cum_weights=weights[kind.name]
            )[0]
            yield now_ms, kind, dossier, random.randrange(plan.n_routers)

    def _handle_arrival(
        self, kind: RequestKind, dossier: int, number: int, now_ms: float
    ) -> None:
        router = self._routers[number]
        prompt = (
            PromptPart(
                part_id=f"{kind.name}-base-{dossier % N_BASES}",
                n_tokens=kind.base_tokens,
            ),
            PromptPart(part_id=f"{kind.name}-{dossier}", n_tokens=kind.dossier_tokens),
            PromptPart(part_id="own", n_tokens=kind.own_tokens),
        )
        n_output = kind.n_events * self.plan.engines.tokens_per_event
        n_tokens = sum(part.n_tokens for part in prompt) + n_output
        server = self._select(router, prompt, n_tokens, now_ms)
        n_cached = router.prefixes.count_cached_tokens(prompt, server.key, now_ms)
        source = router.prefixes.find(
            prompt, server, self._servers, now_ms, is_warm=True
        )
        router.prefixes.record_sent(prompt, server, now_ms)
        router.loads.start(server.key)
        urgency = DEFAULT_URGENCY
        if self.placement.states_urgency:
            rank = self._ranks.rank_of(kind.priority)
            urgency = map_urgency(rank, len(self._ranks))
        run = Run(
            number=next(self._numbers),
            kind=kind,
            router=number,
            prompt=prompt,
            urgency=urgency,
            sent_at_ms=now_ms,
        )
        n_unread = n_tokens - n_output - n_cached
        router.room.start(
            run.number, server.key, n_unread=n_unread, n_tokens=n_unread + n_output
        )
        engine = self._engines[server.server_id]
        before = Counter(engine.counts)
        engine.accept(run, self._engines[source.server_id] if source else None, now_ms)
        if now_ms >= WARM_UP_MS:
            self.counts += engine.counts - before
            self._count(engine, router, prompt)
        self._begin_step(engine, now_ms)

    def _count(
        self,
        engine: EmulatedEngine,
        router: _Router,
        prompt: tuple[PromptPart, ...],
    ) -> None:
        counts = self.counts
        counts["requests"] += 1
        counts["shared"] += sum(part.n_tokens for part in prompt[:-1])
        if engine.server.data_centre != router.data_centre:
            counts["crossing"] += 1
            counts["crossing_tokens"] += sum(part.n_tokens for part in prompt)
        n_requests = [len(each.runs) for each in self._engines.values()]
        mean = sum(n_requests) / len(n_requests)
        counts["above_rule"] += len(engine.runs) > 2 * mean + 3

    def _select(
        self,
        router: _Router,
        prompt: tuple[PromptPart, ...],
        n_tokens: int,
        now_ms: float,
    ) -> BackendServer:
        figures = None
        if self.placement.uses_figures:
            figures = EngineFigures(
                slowness=lambda each: (
                    router.speeds.slowness(short_server_id(each.key), now_ms)
                    if self.placement.knows_speeds
                    else 1.0
                ),
                n_unread=lambda each: router.room.n_unread(each.key),
                fits=lambda each, n_requests: router.room.fits(
                    each.key,
                    n_tokens=n_tokens,
                    n_requests=n_requests,
                    capacity=self.plan.engines.memory_tokens,
                ),
            )
        key = prompt[-2].part_id
        selected = router.selector.select(
            self._candidates,
            affinity_keys=tuple(part.part_id for part in prompt[:-1]),
            now_ms=now_ms,
            bounds=RELAYED_BOUNDS,
            has_prefix=lambda each: router.prefixes.has_cached(key, each.key, now_ms),
            figures=figures,
        )
        assert selected is not None
        return selected

    def _begin_step(self, engine: EmulatedEngine, now_ms: float) -> None:
        if engine.is_stepping or not engine.runs:
            return
        step = engine.step(now_ms)
        if step is None:
            at_ms = min(each.is_ready_at_ms for each in engine.runs)
            step = (at_ms, [])
        engine.is_stepping = True
        self._push(step[0], partial(self._finish_step, engine, step[1]))

    def _finish_step(
        self, engine: EmulatedEngine, runs: list[Run], now_ms: float
    ) -> None:
        engine.is_stepping = False
        key = engine.server.key
        for run in engine.finish_step(runs, now_ms):
            router = self._routers[run.router]
            router.loads.end(key)
            router.room.end(run.number)
            self.ended.append(run)
        for run in runs:
            if run.n_made == 1:
                # The head of the answer.
                router = self._routers[run.router]
                router.loads.observe_load(key, len(engine.runs), now_ms)
                router.room.record_begun(run.number)
                self._observe_speed(router, engine.server, engine.slowness, now_ms, 0.0)
        self._begin_step(engine, now_ms)

    def _observe_speed(
        self,
        router: _Router,
        server: BackendServer,
        slowness: float,
        now_ms: float,
        age_ms: float,
    ) -> None:
        load = ServerLoad(n_running=0, n_waiting=0, slowness=slowness)
        router.speeds.observe(short_server_id(server.key), load, now_ms, age_ms)
        router.told_speeds[server.server_id] = (now_ms - age_ms, slowness)

    def _exchange(self, now_ms: float) -> None:
        if self._events:
            self._push(now_ms + GOSSIP_MS, self._exchange)
        self._n_rounds += 1
        updates = []
        for sender, receiver in self._links:
            router = self._routers[sender]
            n_loads, n_prefixes = self._sent.get((sender, receiver), (0, 0))
            loads, n_loads = router.loads.reports_after(
                n_loads, now_ms=now_ms, exclude_link=str(receiver)
            )
            prefixes, n_prefixes = router.prefixes.reports_after(
                n_prefixes, now_ms=now_ms, exclude_link=str(receiver)
            )
            self._sent[sender, receiver] = (n_loads, n_prefixes)
            has_counts = self._n_rounds % 2 == 0
            update = Update(
                loads=tuple(loads),
                prefixes=tuple(prefixes),
                key_counts=router.hot_keys.local_counts(now_ms) if has_counts else None,
            )
            updates.append((sender, receiver, update, dict(router.told_speeds)))
        for sender, receiver, update, speeds in updates:
            self._apply(sender, receiver, update, speeds, now_ms)

    def _apply(
        self,
        sender: int,
        receiver: int,
        update: Update,
        speeds: dict[str, tuple[float, float]],
        now_ms: float,
    ) -> None:
        router, source = self._routers[receiver], str(sender)
        is_counted = WARM_UP_MS <= now_ms < self.plan.duration_ms
        if is_counted and router.data_centre != self._routers[sender].data_centre:
            self.counts["frame_bytes"] += len(encode(update))
        router.loads.apply_reports(update.loads, now_ms=now_ms, source=source)
        router.prefixes.apply_reports(update.prefixes, now_ms=now_ms, source=source)
        if update.key_counts is not None:
            router.hot_keys.apply_counts(source, update.key_counts, now_ms)
        if not self.placement.are_speeds_told:
            return
        for name, (at_ms, slowness) in speeds.items():
            if at_ms > router.told_speeds.get(name, (-1.0, 0.0))[0]:
                server = self._engines[name].server
                self._observe_speed(router, server, slowness, now_ms, now_ms - at_ms)
