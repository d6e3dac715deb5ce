"""Simulation of a load pattern against a fleet, in virtual time."""

from collections.abc import Iterator
from random import Random

from attrs import define, field

from damaskrill.catalog import BackendServer
from damaskrill.experiment._engine import EmulatedEngine
from damaskrill.experiment._fleet import EmulatedFleet, EmulatedRouter, Policy
from damaskrill.experiment._measures import Measures
from damaskrill.experiment._plan import ExperimentPlan, RequestPlan
from damaskrill.steering import PromptPart

__all__ = ["simulate"]

# The same as in the gateway: an engine known for longer has cached the prefixes of
# its keys.
WARM_AFTER_MS = 10_000
MS_PER_S = 1_000


@define(kw_only=True, eq=False)
class _Simulation:
    plan: ExperimentPlan
    fleet: EmulatedFleet
    random: Random
    measures: Measures
    engines: dict[str, EmulatedEngine] = field(factory=dict)
    added_at_ms: dict[str, float] = field(factory=dict)
    end_times: list[tuple[float, int, EmulatedRouter, BackendServer]] = field(
        factory=list
    )

    def add_engine(self, now_ms: float) -> None:
        server = BackendServer(
            server_id=f"engine-{len(self.added_at_ms)}",
            service="engines",
            address=("", 0),
            data_centre="",
            n_slots=self.plan.engines.n_slots,
        )
        self.engines[server.server_id] = EmulatedEngine(
            server=server, plan=self.plan.engines
        )
        self.added_at_ms[server.server_id] = now_ms
        self.fleet.register_server(server)

    def remove_engine(self) -> None:
        if len(self.engines) > 1:
            oldest = min(self.engines, key=lambda each: self.added_at_ms[each])
            del self.engines[oldest]


def simulate(plan: ExperimentPlan, *, policy: Policy, random_state: int) -> Measures:
    """Simulate a plan once.

    Parameters
    ----------
    plan : ExperimentPlan
        The load pattern and the fleet.
    policy : Policy
        How routers select engines.
    random_state : int
        Seed of all random choices; the requests do not depend on the policy.

    Returns
    -------
    Measures
        Metrics of the simulation.
    """
    arrivals, choices = Random(random_state), Random(random_state + 1)
    fleet = EmulatedFleet(plan=plan, policy=policy, random_state=choices)
    simulation = _Simulation(
        plan=plan, fleet=fleet, random=choices, measures=Measures()
    )
    for _ in range(plan.engines.n):
        simulation.add_engine(-WARM_AFTER_MS)
    changes = sorted(
        (change.at_ms + number * change.gap_ms, change.is_coming)
        for change in plan.changes
        for number in range(change.n)
    )
    exchanged_at_ms = 0.0
    for now_ms, kind, key in _generate_arrivals(plan, arrivals):
        while changes and changes[0][0] <= now_ms:
            at_ms, is_coming = changes.pop(0)
            if is_coming:
                simulation.add_engine(at_ms)
            else:
                simulation.remove_engine()
        while now_ms - exchanged_at_ms >= plan.news_ms:
            exchanged_at_ms += plan.news_ms
            fleet.exchange_reports(exchanged_at_ms)
        _simulate_request(simulation, kind, key, now_ms)
    return simulation.measures


def _generate_arrivals(
    plan: ExperimentPlan, random: Random
) -> Iterator[tuple[float, RequestPlan, int]]:
    rates = [kind.per_s for kind in plan.requests]
    now_ms = 0.0
    while True:
        now_ms += random.expovariate(sum(rates)) * MS_PER_S
        if now_ms >= plan.duration_ms:
            return
        kind = random.choices(plan.requests, rates)[0]
        is_hot = random.random() < kind.hot_part
        yield now_ms, kind, 0 if is_hot else random.randrange(kind.n_keys)


def _simulate_request(
    simulation: _Simulation, kind: RequestPlan, key: int, now_ms: float
) -> None:
    prompt = (
        PromptPart(
            part_id=f"{kind.name}-base-{key % kind.n_bases}",
            n_tokens=kind.base_tokens,
        ),
        PromptPart(part_id=f"{kind.name}-{key}", n_tokens=kind.key_tokens),
        PromptPart(part_id="own", n_tokens=kind.own_tokens),
    )
    router = simulation.random.choice(simulation.fleet.routers)
    servers = [each.server for each in simulation.engines.values()]
    server = router.select(servers, prompt, now_ms)
    added_at_ms = simulation.added_at_ms[server.server_id]
    source = router.find_source(
        prompt,
        server,
        servers,
        now_ms,
        is_warm=now_ms - added_at_ms > WARM_AFTER_MS,
    )
    engine = simulation.engines[server.server_id]
    n_reusable = _count_reusable(simulation, prompt, now_ms)
    run = engine.serve(
        prompt,
        n_steps=kind.n_steps,
        source=simulation.engines[source.server_id] if source else None,
        now_ms=now_ms,
    )
    n_requests = engine.n_requests(now_ms)
    # The head of the answer reports the load as soon as the request has arrived.
    router.loads.observe_load(server.key, n_requests, now_ms)
    simulation.measures.record_request(
        run,
        sent_at_ms=now_ms,
        target_ms=kind.target_ms,
        n_shared=kind.base_tokens + kind.key_tokens,
        n_reusable=n_reusable,
        loads=[each.n_requests(now_ms) for each in simulation.engines.values()],
        load=n_requests,
    )


def _count_reusable(
    simulation: _Simulation, prompt: tuple[PromptPart, ...], now_ms: float
) -> int:
    # Tokens that routers with full information could reuse: some live engine has
    # cached them.
    n_reusable, engines = 0, list(simulation.engines.values())
    for part in prompt[:-1]:
        engines = [each for each in engines if each.has_cached(part.part_id, now_ms)]
        if not engines:
            break
        n_reusable += part.n_tokens
    return n_reusable
