"""Overload of cold servers during joins, cold starts and flapping."""

from collections.abc import Iterator

from benchmarks._load import LoadPattern, send_pattern
from benchmarks._measurement import Measurement
from benchmarks._virtual import VirtualFleet, build_fleet_text
from damaskrill.configuration import FleetText
from damaskrill.messages import Completed, Member
from damaskrill.utils import check_random_state

CENTRES = ("bole", "kazanchis", "sarbet")
N_RUNS = 40
N_COLD_STARTS = 25
N_SERVERS = 6
N_ROUTERS = 5
END_MS = 30_000
DRAIN_MS = 25_000
# A ramp that starts at the full load is the baseline without ramp.
POLICIES = (("ramp", 2), ("no_ramp", 16))


def measure(seed: int) -> Iterator[Measurement]:
    """Run about a thousand cold starts with and without the ramp."""
    for policy, cold_load in POLICIES:
        n_crashes = n_cold_starts = n_requests = n_completed = 0
        for run in range(N_RUNS):
            fleet = run_cold_starts(seed * 1_000 + run, cold_load)
            n_crashes += sum(engine.n_crashes for engine in fleet.engines.values())
            n_cold_starts += N_COLD_STARTS + 1
            n_requests += len(fleet.outcomes)
            n_completed += sum(
                isinstance(e, Completed) for e in fleet.outcomes.values()
            )
        share = n_completed / n_requests
        yield _build_measurement("cold_turns", policy, n_cold_starts, "times", seed)
        yield _build_measurement(
            "servers_overwhelmed", policy, n_crashes, "times", seed
        )
        yield _build_measurement(
            "completed_among_cold_turns", policy, share, "ratio", seed
        )


def run_cold_starts(seed: int, cold_load: int) -> VirtualFleet:
    """Run servers that join, restart cold, flap, and all restart simultaneously."""
    random = check_random_state(seed)
    members = [
        Member(address=f"10.0.0.{n}:7000", data_centre=CENTRES[n % len(CENTRES)])
        for n in range(N_ROUTERS)
    ]
    joining = f"engine-{N_SERVERS - 1}"
    fleet = VirtualFleet(
        text=_build_text(1, cold_load, missing=(joining,)),
        members=members,
        random_state=seed,
        engine_parameters={
            "report_lag_ms": random.choice((0, 500, 2_000)),
            "cold_load": 2,
        },
    )
    pattern = LoadPattern(
        end_ms=END_MS, mean_interarrival_ms=random.choice((30.0, 80.0, 200.0))
    )
    send_pattern(fleet, pattern, seed)
    fleet.at(END_MS // 3, lambda: fleet.publish(_build_text(2, cold_load)))
    _schedule_restarts(fleet, seed)
    fleet.run_until(END_MS + DRAIN_MS)
    return fleet


def _build_text(
    version: int, cold_load: int, missing: tuple[str, ...] = ()
) -> FleetText:
    return build_fleet_text(
        n_servers=N_SERVERS,
        centres=CENTRES,
        version=version,
        missing=missing,
        cold_load=cold_load,
    )


def _schedule_restarts(fleet: VirtualFleet, seed: int) -> None:
    random = check_random_state(seed)
    flapping = f"engine-{random.randrange(N_SERVERS - 1)}"
    names = [f"engine-{n}" for n in range(N_SERVERS - 1)]
    all_restart_at_ms = random.randrange(END_MS)
    restarts = [(all_restart_at_ms, name) for name in names]
    restarts += [(random.randrange(END_MS), flapping) for _ in range(8)]
    n_remaining = N_COLD_STARTS - len(restarts)
    restarts += [
        (random.randrange(END_MS), random.choice(names)) for _ in range(n_remaining)
    ]
    for at_ms, name in restarts:
        fleet.at(at_ms, lambda name=name: fleet.restart_engine(name))  # type: ignore[misc]


def _build_measurement(
    measure: str, policy: str, value: float, unit: str, seed: int
) -> Measurement:
    return Measurement(
        measure=measure, policy=policy, value=round(value, 4), unit=unit, seed=seed
    )
