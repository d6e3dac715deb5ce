"""Attempts per request and goodput while a third of the servers fail."""

from collections.abc import Iterator

from benchmarks._load import LoadPattern, send_pattern
from benchmarks._measurement import Measurement
from benchmarks._virtual import VirtualFleet, build_fleet_text
from damaskrill.messages import Completed, Member

CENTRES = ("bole", "kazanchis", "sarbet")
N_ROUTERS = 7
N_SERVERS = 9
N_FAILING = 3
START_MS = 15_000
END_MS = 60_000
DRAIN_MS = 30_000
# With this retry budget, every failed attempt is retried.
RETRY_ALWAYS_PERCENT = 100_000


def measure(seed: int) -> Iterator[Measurement]:
    """Run with the retry budget, without retries, and with unlimited retries."""
    for policy, percent in (
        ("budget", 10),
        ("no_retries", 0),
        ("retry_always", RETRY_ALWAYS_PERCENT),
    ):
        fleet = run_retries(seed, percent)
        n_requests = sum(
            _arrived_during_failure(fleet, each) for each in fleet.outcomes
        )
        n_attempts = sum(
            _arrived_during_failure(fleet, each.attempt.request.request_id)
            for each in fleet.dispatches
        )
        n_completed = sum(
            isinstance(outcome, Completed) and _arrived_during_failure(fleet, name)
            for name, outcome in fleet.outcomes.items()
        )
        attempts_per_request = n_attempts / n_requests
        goodput = n_completed / n_requests
        yield _build_measurement(
            "tries_per_request", policy, attempts_per_request, "ratio", seed
        )
        yield _build_measurement("goodput", policy, goodput, "ratio", seed)


def run_retries(seed: int, retry_budget_percent: int) -> VirtualFleet:
    """Run a fleet in which a third of the servers fail all requests from a time on."""
    members = [
        Member(address=f"10.0.0.{n}:7000", data_centre=CENTRES[n % len(CENTRES)])
        for n in range(N_ROUTERS)
    ]
    text = build_fleet_text(
        n_servers=N_SERVERS,
        centres=CENTRES,
        retry_budget_percent=retry_budget_percent,
    )
    fleet = VirtualFleet(text=text, members=members, random_state=seed)
    send_pattern(fleet, LoadPattern(end_ms=END_MS, mean_interarrival_ms=40), seed)
    failing = {f"engine-{n}" for n in range(N_FAILING)}
    fleet.at(START_MS, lambda: fleet.failing.update(failing))
    fleet.run_until(END_MS + DRAIN_MS)
    return fleet


def _arrived_during_failure(fleet: VirtualFleet, request_id: str) -> bool:
    return fleet.arrived_at_ms[request_id] >= START_MS


def _build_measurement(
    measure: str, policy: str, value: float, unit: str, seed: int
) -> Measurement:
    return Measurement(
        measure=measure, policy=policy, value=round(value, 4), unit=unit, seed=seed
    )
