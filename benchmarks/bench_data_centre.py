"""Goodput and latency during the outage of a data centre, against two baselines."""

from collections.abc import Iterator
from typing import Any

from benchmarks._load import LoadPattern, send_pattern
from benchmarks._measurement import Measurement
from benchmarks._virtual import VirtualFleet, build_fleet_text
from damaskrill.configuration import FleetText
from damaskrill.messages import Completed, EventName, Member

# Placement and cache_wait_us_per_token: the product's placement with two settings, then
# plain rendezvous hashing and least load as baselines.
PLACEMENTS = {
    "affinity": ("affinity", 200),
    "affinity_short_wait": ("affinity", 100),
    "rendezvous": ("rendezvous", 200),
    "least_load": ("least_load", 200),
}
CENTRES = ("bole", "kazanchis", "sarbet")
N_ROUTERS = 8
N_SERVERS = 12
MEAN_INTERARRIVAL_MS = 20
OUTAGE_START_MS = 30_000
OUTAGE_END_MS = 60_000
WINDOW_MS = (15_000, 75_000)
END_MS = 80_000
DRAIN_MS = 30_000
FIRST_TOKEN_OBJECTIVE_MS = 630
PERCENT = 100


def measure(seed: int) -> Iterator[Measurement]:
    """Take one of three data centres out of service for 30 s with each policy."""
    for policy in PLACEMENTS:
        yield from _build_measurements(_run(seed, policy), policy, seed)


def _run(seed: int, policy: str) -> VirtualFleet:
    members = [
        Member(address=f"10.0.0.{n}:7000", data_centre=CENTRES[n % len(CENTRES)])
        for n in range(N_ROUTERS)
    ]
    placement, cache_wait = PLACEMENTS[policy]
    fleet = VirtualFleet(
        text=_build_text(cache_wait),
        members=members,
        random_state=seed,
        placement=placement,
    )
    send_pattern(
        fleet,
        LoadPattern(end_ms=END_MS, mean_interarrival_ms=MEAN_INTERARRIVAL_MS),
        seed,
    )
    outage_text = _build_text(cache_wait, version=2, out_of_service=CENTRES[:1])
    restored_text = _build_text(cache_wait, version=3)
    fleet.at(OUTAGE_START_MS, lambda: fleet.publish(outage_text))
    fleet.at(OUTAGE_END_MS, lambda: fleet.publish(restored_text))
    fleet.run_until(END_MS + DRAIN_MS)
    return fleet


def _build_text(cache_wait: int, **fields: Any) -> FleetText:
    return build_fleet_text(
        n_servers=N_SERVERS,
        centres=CENTRES,
        cache_wait_us_per_token=cache_wait,
        **fields,
    )


def _build_measurements(
    fleet: VirtualFleet, policy: str, seed: int
) -> Iterator[Measurement]:
    first_ms, last_ms = WINDOW_MS
    sent = {
        request_id
        for request_id, at_ms in fleet.arrived_at_ms.items()
        if first_ms <= at_ms < last_ms
    }
    first_token_ms: dict[str, int] = {}
    for at_ms, event in fleet.logged:
        if event.name is EventName.FIRST_TOKEN and event.request_id in sent:
            latency_ms = at_ms - fleet.arrived_at_ms[event.request_id]
            first_token_ms.setdefault(event.request_id, latency_ms)
    completed = [
        each for each in sent if isinstance(fleet.outcomes.get(each), Completed)
    ]
    n_within_objective = sum(
        first_token_ms.get(each, END_MS) <= FIRST_TOKEN_OBJECTIVE_MS
        for each in completed
    )
    latencies = sorted(first_token_ms.values())
    values = {
        "data_centre_goodput": (n_within_objective / len(sent) * PERCENT, "percent"),
        "data_centre_completed": (len(completed) / len(sent) * PERCENT, "percent"),
        "data_centre_first_token_p95": (_p95(latencies), "ms"),
    }
    for name, (value, unit) in values.items():
        yield Measurement(
            measure=name,
            policy=policy,
            value=round(value, 2),
            unit=unit,
            seed=seed,
            parameters={"n_requests": len(sent), "window_ms": last_ms - first_ms},
        )


def _p95(latencies: list[int]) -> float:
    if not latencies:
        return 0.0
    return float(latencies[len(latencies) * 95 // PERCENT])
