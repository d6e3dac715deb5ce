"""Queue wait of other teams while one team sends 20 times its share."""

from collections.abc import Iterator

from benchmarks._load import LoadPattern, send_pattern
from benchmarks._measurement import Measurement
from benchmarks._virtual import VirtualFleet, build_fleet_text
from damaskrill.messages import EventName, Member, NotRun

CENTRES = ("bole", "kazanchis", "sarbet")
N_ROUTERS = 7
N_TEAMS = 10
N_SERVERS = 5
MEAN_INTERARRIVAL_MS = 36.0
SURGE_FACTOR = 20
START_MS = 20_000
END_MS = 60_000
DRAIN_MS = 30_000


def measure(seed: int) -> Iterator[Measurement]:
    """Run with and without the surge, with team shares and with a shared queue."""
    for policy, has_teams in (("team_shares", True), ("one_queue", False)):
        baseline = run_surge(seed, has_teams=has_teams, has_surge=False)
        surge = run_surge(seed, has_teams=has_teams, has_surge=True)
        baseline_ms = p95_wait_ms(baseline)
        surge_ms = p95_wait_ms(surge)
        ratio = surge_ms / max(1, baseline_ms)
        yield _build_measurement(
            "others_wait_p95_calm", policy, baseline_ms, "ms", seed
        )
        yield _build_measurement("others_wait_p95_surge", policy, surge_ms, "ms", seed)
        yield _build_measurement("others_wait_p95_ratio", policy, ratio, "ratio", seed)
        for name, fleet in (("calm", baseline), ("surge", surge)):
            refused = refused_share(fleet)
            yield _build_measurement(
                f"others_refused_{name}", policy, refused, "ratio", seed
            )


def run_surge(seed: int, *, has_teams: bool, has_surge: bool) -> VirtualFleet:
    """Run ten teams, one of which sends a surge if ``has_surge``."""
    members = [
        Member(address=f"10.0.0.{n}:7000", data_centre=CENTRES[n % len(CENTRES)])
        for n in range(N_ROUTERS)
    ]
    fleet = VirtualFleet(
        text=build_fleet_text(n_servers=N_SERVERS, centres=CENTRES),
        members=members,
        random_state=seed,
    )
    n_teams = N_TEAMS - 1 if has_teams else 1
    baseline = LoadPattern(
        end_ms=END_MS, mean_interarrival_ms=MEAN_INTERARRIVAL_MS, n_teams=n_teams
    )
    send_pattern(fleet, baseline, seed)
    if has_surge:
        surge = LoadPattern(
            start_ms=START_MS,
            end_ms=END_MS,
            mean_interarrival_ms=MEAN_INTERARRIVAL_MS * N_TEAMS / SURGE_FACTOR,
            n_teams=1,
            prefix="surge" if has_teams else "steady",
            name="surge",
        )
        send_pattern(fleet, surge, seed + 1)
    fleet.run_until(END_MS + DRAIN_MS)
    return fleet


def p95_wait_ms(fleet: VirtualFleet) -> int:
    """Return the 95th percentile of the other teams' queue wait, in milliseconds."""
    waits = sorted(
        event.wait_ms
        for at_ms, event in fleet.logged
        if event.name is EventName.REQUEST_ENDED
        and event.request_id.startswith("steady")
        and START_MS <= at_ms <= END_MS
    )
    return waits[int(len(waits) * 0.95)]


def refused_share(fleet: VirtualFleet) -> float:
    """Return the fraction of the other teams' requests that were not run."""
    outcomes = [o for name, o in fleet.outcomes.items() if name.startswith("steady")]
    return sum(isinstance(each, NotRun) for each in outcomes) / len(outcomes)


def _build_measurement(
    measure: str, policy: str, value: float, unit: str, seed: int
) -> Measurement:
    return Measurement(
        measure=measure, policy=policy, value=round(value, 3), unit=unit, seed=seed
    )
