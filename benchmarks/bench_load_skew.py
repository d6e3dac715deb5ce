"""Ratio of a server's load to the mean load, at each admission."""

import math
from collections.abc import Iterator

from benchmarks._load import LoadPattern, send_pattern
from benchmarks._measurement import Measurement
from benchmarks._virtual import VirtualFleet, build_fleet_text
from damaskrill.messages import EventName, Member
from damaskrill.utils import check_random_state

POLICIES = ("affinity", "rendezvous", "two_choices", "least_load", "random")
CENTRES = ("bole", "kazanchis", "sarbet")
N_ROUTERS = 8
MULTIPLE_PERCENT = 125
NO_MULTIPLE_PERCENT = 100_000
FLOOR = 2
REPORT_LAG_MS = 2_000
END_MS = 60_000
PERCENT = 100


def measure(seed: int) -> Iterator[Measurement]:
    """Run a surge and server restarts with each policy, with and without the bound."""
    for policy in POLICIES:
        fleet = run_skew(seed, policy, MULTIPLE_PERCENT)
        yield from _build_measurements(fleet, policy, seed)
    for policy in POLICIES[1:]:
        fleet = run_skew(seed, policy, NO_MULTIPLE_PERCENT)
        yield from _build_measurements(fleet, f"{policy}_without_bound", seed)


def run_skew(seed: int, policy: str, multiple_percent: int) -> VirtualFleet:
    """Run ten servers with a surge, restarts and load reports that are 2 s old."""
    text = build_fleet_text(
        n_servers=10,
        centres=CENTRES,
        load_multiple_percent=multiple_percent,
        load_floor=FLOOR,
    )
    members = [
        Member(address=f"10.0.0.{n}:7000", data_centre=CENTRES[n % len(CENTRES)])
        for n in range(N_ROUTERS)
    ]
    fleet = VirtualFleet(
        text=text,
        members=members,
        random_state=seed,
        placement=policy,
        engine_parameters={"report_lag_ms": REPORT_LAG_MS},
    )
    steady = LoadPattern(end_ms=END_MS, mean_interarrival_ms=60, n_teams=10)
    surge = LoadPattern(
        start_ms=END_MS // 3,
        end_ms=END_MS // 2,
        mean_interarrival_ms=20,
        n_teams=1,
        n_dossiers=2,
        prefix="surge",
    )
    send_pattern(fleet, steady, seed)
    send_pattern(fleet, surge, seed + 1)
    random = check_random_state(seed)
    for _ in range(6):
        name = f"engine-{random.randrange(10)}"
        at_ms = random.randrange(END_MS)
        fleet.at(at_ms, lambda name=name: fleet.restart_engine(name))  # type: ignore[misc]
    fleet.run_until(END_MS + 30_000)
    return fleet


def _build_measurements(
    fleet: VirtualFleet, policy: str, seed: int
) -> Iterator[Measurement]:
    above_floor = [each for each in fleet.dispatches if each.load > FLOOR]
    ratios = sorted(each.load / max(each.mean_load, 0.1) for each in above_floor)
    n_above = sum(
        each.load > max(FLOOR, math.ceil(MULTIPLE_PERCENT * each.mean_load / PERCENT))
        for each in above_floor
    )
    n_above_known = sum(
        event.load > event.load_bound
        for _, event in fleet.logged
        if event.name is EventName.ATTEMPT_DISPATCHED
    )
    yield _build_measurement(
        "load_over_known_bound", policy, n_above_known, "admissions", seed
    )
    yield _build_measurement(
        "load_over_true_bound", policy, n_above, "admissions", seed
    )
    yield _build_measurement(
        "admissions", policy, len(fleet.dispatches), "admissions", seed
    )
    if ratios:
        yield _build_measurement(
            "load_over_mean_max", policy, ratios[-1], "ratio", seed
        )
        p99 = ratios[int(len(ratios) * 0.99)]
        yield _build_measurement("load_over_mean_p99", policy, p99, "ratio", seed)
    n_crashes = sum(engine.n_crashes for engine in fleet.engines.values())
    yield _build_measurement("servers_overwhelmed", policy, n_crashes, "times", seed)


def _build_measurement(
    measure: str, policy: str, value: float, unit: str, seed: int
) -> Measurement:
    return Measurement(
        measure=measure, policy=policy, value=round(value, 3), unit=unit, seed=seed
    )
