"""Order, shares and uneven servers where a service has few slots.

The decision code itself decides on seeded arrivals; servers and links are emulated.
"""

from collections.abc import Callable, Iterable, Iterator

import attrs

from benchmarks._measurement import Measurement
from benchmarks._slot_fleet import Call, Router, SlotFleet, SlotLoad
from benchmarks._slot_policies import (
    CutRouter,
    LeastLoadedRouter,
    OracleRouter,
    TodayRouter,
    TwoChoicesRouter,
    build_mixed,
    build_scheduled,
    build_split,
)

__all__ = [
    "measure",
    "short_of_room",
    "suva_overload",
    "uneven_servers",
    "without_hot_team",
]

# One of six teams sends 64 in 100 requests.
TEAM_WEIGHTS = (64.0, 7.2, 7.2, 7.2, 7.2, 7.2)
WARM_UP_MS = 2_000.0

RouterBuilder = Callable[[SlotFleet, int], Router]
POLICIES: dict[str, RouterBuilder] = {
    "scheduler": build_scheduled,
    "today": TodayRouter,
    "common_cut": CutRouter,
}
# The scheduler in a view that is split, and beside routers of the build before.
HALVES: dict[str, RouterBuilder] = {
    "two_schedulers": build_split,
    "half_asks": build_mixed,
}
PLACEMENTS: dict[str, RouterBuilder] = {
    "scheduler": build_scheduled,
    "today": TodayRouter,
    "two_choices": TwoChoicesRouter,
    "least_loaded": LeastLoadedRouter,
    "all_knowing": OracleRouter,
}


def measure(seed: int) -> Iterator[Measurement]:
    """Compare the scheduler with other ways under each load."""
    for n_routers, n_servers, n_queue in (
        (3, 2, 0),
        (3, 2, 2),
        (76, 6, 2),
        (112, 6, 2),
        (330, 6, 2),
    ):
        load = short_of_room(n_routers, n_servers, n_queue)
        for policy, build in POLICIES.items():
            fleet = run_fleet(load, build, seed)
            yield from measure_order(fleet, policy, seed, "short_of_room")
    for n_routers, n_servers in ((3, 2), (76, 6)):
        load = without_hot_team(short_of_room(n_routers, n_servers, 2))
        fleet = run_fleet(load, build_scheduled, seed)
        yield from measure_order(fleet, "no_hot_team", seed, "short_of_room")
    for policy, build in HALVES.items():
        fleet = run_fleet(short_of_room(76, 6, 2), build, seed)
        yield from measure_order(fleet, policy, seed, "short_of_room")
    for n_routers in (3, 112):
        load = uneven_servers(n_routers)
        for policy, build in PLACEMENTS.items():
            fleet = run_fleet(load, build, seed)
            yield from measure_latency(fleet, policy, seed)
    for policy, build in POLICIES.items():
        fleet = run_fleet(suva_overload(), build, seed)
        yield from measure_order(fleet, policy, seed, "suva_overload")


def short_of_room(n_routers: int, n_servers: int = 2, n_queue: int = 0) -> SlotLoad:
    """Return 110 requests for each 80 that can be served, one team sending most."""
    return SlotLoad(
        n_routers=n_routers,
        n_servers=n_servers,
        n_slots=4,
        n_queue=n_queue,
        work_ms=100.0,
        target_ms=400.0,
        limit_ms=1_500.0,
        rate_per_s=55.0 * n_servers,
        team_weights=TEAM_WEIGHTS,
        priorities=(0, 1, 2),
    )


def without_hot_team(load: SlotLoad) -> SlotLoad:
    """Return the same load without the hot team."""
    hot, *others = load.team_weights
    return attrs.evolve(
        load,
        team_weights=(0.0, *others),
        rate_per_s=load.rate_per_s * sum(others) / (hot + sum(others)),
    )


def uneven_servers(n_routers: int) -> SlotLoad:
    """Return 70% load of servers that are slower for a seventh of the time."""
    mean_slowness = 1 + 1.5 / 7
    return SlotLoad(
        n_routers=n_routers,
        n_servers=4,
        n_slots=6,
        n_queue=12,
        work_ms=22.5,
        target_ms=160.0,
        limit_ms=1_100.0,
        rate_per_s=0.7 * 24_000 / (22.5 * mean_slowness),
        is_uneven=True,
    )


def suva_overload() -> SlotLoad:
    """Return 2.6 times the usual requests while half of the servers are gone."""
    return SlotLoad(
        n_routers=112,
        n_servers=4,
        n_slots=6,
        n_queue=3,
        work_ms=90.0,
        target_ms=415.0,
        limit_ms=2_000.0,
        rate_per_s=87.0,
        duration_ms=30_000.0,
        team_weights=tuple(1 / (1 + n) for n in range(24)),
        priorities=(0, 1),
        is_uneven=True,
        burst_ms=(8_000.0, 20_000.0),
        burst_factor=2.6,
        lost_ms=(12_000.0, 17_000.0),
        n_retries=1,
        max_link_ms=3.0,
    )


def run_fleet(load: SlotLoad, build: RouterBuilder, seed: int) -> SlotFleet:
    """Play a load."""
    fleet = SlotFleet(load, build, seed)
    fleet.run()
    return fleet


def measure_order(
    fleet: SlotFleet, policy: str, seed: int, name: str
) -> Iterator[Measurement]:
    """Measure who was served."""
    parameters = {
        "load": name,
        "routers": fleet.load.n_routers,
        "queue": fleet.load.n_queue,
    }

    def build(measure: str, value: float, unit: str = "ratio") -> Measurement:
        return Measurement(
            measure=measure,
            policy=policy,
            value=round(value, 4),
            unit=unit,
            seed=seed,
            parameters=parameters,
        )

    calls = [each for each in fleet.calls if each.arrived_at_ms >= WARM_UP_MS]
    for priority in fleet.load.priorities:
        group = [each for each in calls if each.priority == priority]
        yield build(f"in_time_priority_{priority}", mean(map(is_in_time, group)))
    hot = [each for each in calls if each.is_hot]
    others = [each for each in calls if not each.is_hot]
    yield build("served_hot_team", mean(each.is_served for each in hot))
    yield build("served_inside_share", mean(each.is_served for each in others))
    yield build("in_time", mean(map(is_in_time, calls)))
    yield build("served", mean(each.is_served for each in calls))
    n_arrivals = sum(each.n_arrivals for each in fleet.servers)
    n_rejections = sum(each.n_rejections for each in fleet.servers)
    yield build("rejections_per_arrival", n_rejections / n_arrivals)
    refusals = [each for call in calls for each in call.refusals_ms]
    yield build("refusal_p95", quantile(refusals, 0.95), "ms")
    unsent = [each for call in calls for each in call.unsent_refusals_ms]
    yield build("unsent_refusal_max", max(unsent, default=0.0), "ms")
    served = [x for x in others if x.is_served]
    answers = [x.ended_at_ms - x.arrived_at_ms for x in served]
    yield build("answer_p95_inside_share", quantile(answers, 0.95), "ms")
    # What is left without the work: the wait, and the links.
    waits = [x.ended_at_ms - x.arrived_at_ms - x.work_ms for x in served]
    yield build("wait_p95_inside_share", quantile(waits, 0.95), "ms")


def measure_latency(fleet: SlotFleet, policy: str, seed: int) -> Iterator[Measurement]:
    """Measure the time until answers."""
    calls = [each for each in fleet.calls if each.arrived_at_ms >= WARM_UP_MS]
    times = [each.ended_at_ms - each.arrived_at_ms for each in calls if each.is_served]
    for name, value, unit in (
        ("answer_p50", quantile(times, 0.5), "ms"),
        ("answer_p99", quantile(times, 0.99), "ms"),
        ("served", len(times) / len(calls), "ratio"),
    ):
        yield Measurement(
            measure=name,
            policy=policy,
            value=round(value, 4),
            unit=unit,
            seed=seed,
            parameters={"load": "uneven_servers", "routers": fleet.load.n_routers},
        )


def is_in_time(call: Call) -> bool:
    """Return whether a caller got its answer within the target."""
    return call.is_served and call.ended_at_ms <= call.target_at_ms


def mean(values: Iterable[bool]) -> float:
    """Return the fraction of values that hold; 0 without values."""
    found = list(values)
    return sum(found) / len(found) if found else 0.0


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile; 0 without values."""
    order = sorted(values)
    return order[min(len(order) - 1, int(fraction * len(order)))] if order else 0.0
