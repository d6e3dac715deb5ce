"""Share of the reusable prompt tokens that are found in the engines' caches."""

from collections.abc import Callable, Iterator

from attrs import frozen

from benchmarks._days import Arrival, Day, build_day, count_reusable_tokens
from benchmarks._figure import Figure
from benchmarks._single_router import SingleRouter
from benchmarks._virtual import VirtualFleet, build_fleet_text
from damaskrill.configuration import FleetText
from damaskrill.fakes import FakeEngine
from damaskrill.messages import Completed, Member

POLICIES = ("affinity", "rendezvous", "two_choices", "least_load", "random")
MULTIPLE = 1.25
FLOOR = 2
DRAIN_MS = 60_000
TICK_MS = 100
# A day is shortened to this, pauses included; what counts is the requests between.
DAY_MS = 800_000


@frozen(kw_only=True)
class Scenario:
    """A user's day with its fleet and the changes of its text."""

    name: str
    day: Day
    centres: tuple[str, ...]
    n_routers: int
    texts: tuple[tuple[int, FleetText], ...]


def abay() -> Scenario:
    """Long dossiers, five engines in three data centres, one lost and one new."""
    centres = ("bole", "kazanchis", "sarbet")
    text = build_fleet_text(n_servers=6, centres=centres, missing=("engine-5",))
    later = build_fleet_text(
        version=2, n_servers=6, centres=centres, missing=("engine-0", "engine-5")
    )
    last = build_fleet_text(
        version=3, n_servers=6, centres=centres, missing=("engine-0",)
    )
    return Scenario(
        name="abay",
        day=Day(
            n_dossiers=60,
            n_chats=500,
            n_requests=6_000,
            min_dossier_blocks=100,
            max_dossier_blocks=300,
            median_pause_ms=40_000,
            length_ms=DAY_MS,
        ),
        centres=centres,
        n_routers=7,
        texts=((0, text), (DAY_MS // 3, later), (DAY_MS * 2 // 3, last)),
    )


def abzugsrein() -> Scenario:
    """Shorter reports, four data centres of which one is taken out and returns."""
    centres = ("augsburg", "muenchen", "nuernberg", "ulm")
    text = build_fleet_text(n_servers=5, centres=centres)
    out = build_fleet_text(version=2, n_servers=5, centres=centres, out=("augsburg",))
    back = build_fleet_text(version=3, n_servers=5, centres=centres)
    return Scenario(
        name="abzugsrein",
        day=Day(
            n_dossiers=200,
            n_chats=600,
            n_requests=6_000,
            min_dossier_blocks=20,
            max_dossier_blocks=80,
            median_pause_ms=30_000,
            length_ms=DAY_MS,
        ),
        centres=centres,
        n_routers=8,
        texts=((0, text), (DAY_MS // 3, out), (DAY_MS // 2, back)),
    )


def measure(seed: int) -> Iterator[Figure]:
    """Run both days under each policy and under the all-knowing router."""
    for scenario in (abay(), abzugsrein()):
        arrivals = build_day(scenario.day, seed)
        n_reusable = count_reusable_tokens(arrivals)
        bound = _run_single(scenario, arrivals, seed) / n_reusable
        yield _figure("cache_reuse", "all_knowing_router", bound, scenario, seed)
        for policy in POLICIES:
            fleet = _run_fleet(scenario, arrivals, seed, policy)
            reuse = _count_cached(fleet.engines) / n_reusable
            yield _figure("cache_reuse", policy, reuse, scenario, seed)
            yield _figure("cache_reuse_of_bound", policy, reuse / bound, scenario, seed)
            n_completed = sum(isinstance(e, Completed) for e in fleet.outcomes.values())
            share = n_completed / len(arrivals)
            yield _figure("completed", policy, share, scenario, seed)


def _figure(
    measure: str, policy: str, value: float, scenario: Scenario, seed: int
) -> Figure:
    return Figure(
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
        fleet.at(at_ms, _publisher(fleet, text))
    for arrival in arrivals:
        fleet.send(arrival.at_ms, arrival.request, arrival.n_output_tokens)
    fleet.run_until(scenario.day.length_ms + DRAIN_MS)
    return fleet


def _publisher(fleet: VirtualFleet, text: FleetText) -> Callable[[], None]:
    return lambda: fleet.publish(text)


def _run_single(scenario: Scenario, arrivals: list[Arrival], seed: int) -> int:
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
    router = SingleRouter(engines=engines, multiple=MULTIPLE, floor=FLOOR)
    changes = list(scenario.texts)
    for arrival in arrivals:
        while changes and changes[0][0] <= arrival.at_ms:
            router.run_until(changes[0][0])
            router.set_in_service(_in_service(changes.pop(0)[1]))
        router.send(arrival)
    router.run_until(scenario.day.length_ms + DRAIN_MS)
    return _count_cached(engines)


def _in_service(text: FleetText) -> set[str]:
    return {
        server.name
        for server in text.backend_servers.values()
        if text.data_centres[server.data_centre].in_service
    }


def _count_cached(engines: dict[str, FakeEngine]) -> int:
    return sum(engine.n_cached_tokens for engine in engines.values())
