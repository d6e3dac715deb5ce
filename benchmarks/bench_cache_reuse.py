"""Fraction of reusable prompt tokens that engines serve from their caches."""

from collections.abc import Callable, Iterator

from attrs import frozen

from benchmarks._measurement import Measurement
from benchmarks._oracle_router import OracleRouter
from benchmarks._virtual import VirtualFleet, build_fleet_text
from benchmarks._workloads import (
    Arrival,
    WorkloadSpec,
    build_workload,
    count_reusable_tokens,
)
from damaskrill.configuration import FleetText
from damaskrill.fakes import FakeEngine
from damaskrill.messages import Completed, Member

POLICIES = ("affinity", "rendezvous", "two_choices", "least_load", "random")
MULTIPLE = 1.25
FLOOR = 2
DRAIN_MS = 60_000
TICK_MS = 100
# Shorter than a real day, with pauses scaled alike: cache reuse depends on the number
# of requests between two turns of a chat, not on the time between them.
WORKLOAD_MS = 800_000


@frozen(kw_only=True)
class Scenario:
    """Workload with its fleet and the scheduled text updates."""

    name: str
    workload: WorkloadSpec
    centres: tuple[str, ...]
    n_routers: int
    texts: tuple[tuple[int, FleetText], ...]


def build_abay_scenario() -> Scenario:
    """Long dossiers; five engines in three data centres, one removed and one added."""
    centres = ("bole", "kazanchis", "sarbet")
    text = build_fleet_text(n_servers=6, centres=centres, missing=("engine-5",))
    second_text = build_fleet_text(
        version=2, n_servers=6, centres=centres, missing=("engine-0", "engine-5")
    )
    third_text = build_fleet_text(
        version=3, n_servers=6, centres=centres, missing=("engine-0",)
    )
    return Scenario(
        name="abay",
        workload=WorkloadSpec(
            n_dossiers=60,
            n_chats=500,
            n_requests=6_000,
            min_dossier_blocks=100,
            max_dossier_blocks=300,
            median_pause_ms=40_000,
            duration_ms=WORKLOAD_MS,
        ),
        centres=centres,
        n_routers=7,
        texts=(
            (0, text),
            (WORKLOAD_MS // 3, second_text),
            (WORKLOAD_MS * 2 // 3, third_text),
        ),
    )


def build_abzugsrein_scenario() -> Scenario:
    """Shorter dossiers; one of four data centres goes out of service and returns."""
    centres = ("augsburg", "muenchen", "nuernberg", "ulm")
    text = build_fleet_text(n_servers=5, centres=centres)
    outage_text = build_fleet_text(
        version=2, n_servers=5, centres=centres, out_of_service=("augsburg",)
    )
    restored_text = build_fleet_text(version=3, n_servers=5, centres=centres)
    return Scenario(
        name="abzugsrein",
        workload=WorkloadSpec(
            n_dossiers=200,
            n_chats=600,
            n_requests=6_000,
            min_dossier_blocks=20,
            max_dossier_blocks=80,
            median_pause_ms=30_000,
            duration_ms=WORKLOAD_MS,
        ),
        centres=centres,
        n_routers=8,
        texts=(
            (0, text),
            (WORKLOAD_MS // 3, outage_text),
            (WORKLOAD_MS // 2, restored_text),
        ),
    )


def measure(seed: int) -> Iterator[Measurement]:
    """Run both workloads with each policy and with the oracle router."""
    for scenario in (build_abay_scenario(), build_abzugsrein_scenario()):
        arrivals = build_workload(scenario.workload, seed)
        n_reusable = count_reusable_tokens(arrivals)
        bound = _run_oracle(scenario, arrivals, seed) / n_reusable
        yield _build_measurement(
            "cache_reuse", "all_knowing_router", bound, scenario, seed
        )
        for policy in POLICIES:
            fleet = _run_fleet(scenario, arrivals, seed, policy)
            reuse = _count_cached(fleet.engines) / n_reusable
            yield _build_measurement("cache_reuse", policy, reuse, scenario, seed)
            yield _build_measurement(
                "cache_reuse_of_bound", policy, reuse / bound, scenario, seed
            )
            n_completed = sum(isinstance(e, Completed) for e in fleet.outcomes.values())
            share = n_completed / len(arrivals)
            yield _build_measurement("completed", policy, share, scenario, seed)


def _build_measurement(
    measure: str, policy: str, value: float, scenario: Scenario, seed: int
) -> Measurement:
    return Measurement(
        measure=measure,
        policy=policy,
        value=round(value, 4),
        unit="ratio",
        seed=seed,
        parameters={"day": scenario.name},
    )


def _run_fleet(
    scenario: Scenario, arrivals: list[Arrival], seed: int, policy: str
) -> VirtualFleet:
    members = [
        Member(
            address=f"10.0.0.{n}:7000",
            data_centre=scenario.centres[n % len(scenario.centres)],
        )
        for n in range(scenario.n_routers)
    ]
    fleet = VirtualFleet(
        text=scenario.texts[0][1],
        members=members,
        random_state=seed,
        placement=policy,
        tick_ms=TICK_MS,
        report_interval_ms=1_000,
    )
    for at_ms, text in scenario.texts[1:]:
        fleet.at(at_ms, _build_publish(fleet, text))
    for arrival in arrivals:
        fleet.send(arrival.at_ms, arrival.request, arrival.n_output_tokens)
    fleet.run_until(scenario.workload.duration_ms + DRAIN_MS)
    return fleet


def _build_publish(fleet: VirtualFleet, text: FleetText) -> Callable[[], None]:
    return lambda: fleet.publish(text)


def _run_oracle(scenario: Scenario, arrivals: list[Arrival], seed: int) -> int:
    names = {name for _, text in scenario.texts for name in text.backend_servers}
    specs = {
        name: text.backend_servers[name]
        for _, text in scenario.texts
        for name in text.backend_servers
    }
    engines = {
        name: FakeEngine(
            name=name,
            random_state=seed,
            bearable_load=specs[name].bearable_load,
            cold_load=specs[name].cold_load,
        )
        for name in sorted(names)
    }
    router = OracleRouter(engines=engines, multiple=MULTIPLE, floor=FLOOR)
    changes = list(scenario.texts)
    for arrival in arrivals:
        while changes and changes[0][0] <= arrival.at_ms:
            router.run_until(changes[0][0])
            router.set_in_service(_in_service(changes.pop(0)[1]))
        router.send(arrival)
    router.run_until(scenario.workload.duration_ms + DRAIN_MS)
    return _count_cached(engines)


def _in_service(text: FleetText) -> set[str]:
    return {
        server.name
        for server in text.backend_servers.values()
        if text.data_centres[server.data_centre].in_service
    }


def _count_cached(engines: dict[str, FakeEngine]) -> int:
    return sum(engine.n_cached_tokens for engine in engines.values())
