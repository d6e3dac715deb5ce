"""Seeded runs of real kernels in virtual time, and a check of their loads."""

import math

from benchmarks._load import LoadPattern, send_pattern
from benchmarks._virtual import SERVICE, VirtualFleet, build_fleet_text
from damaskrill.messages import CallerGone, Member, Request
from damaskrill.utils import check_random_state

END_MS = 4_000
DRAIN_MS = 17_000
MEAN_WINDOW_MS = 1_000
IN_FLIGHT_MS = 2
CENTRES = ("bole", "kazanchis", "sarbet")
N_SERVERS = 5


def build_fleet(seed, *, random):
    members = [
        Member(address=f"10.0.0.{n}:7000", data_centre=CENTRES[n % 3], incarnation="a")
        for n in range(4)
    ]
    return VirtualFleet(
        text=build_fleet_text(n_servers=N_SERVERS, centres=CENTRES, bearable_load=8),
        members=members,
        random_state=seed,
        engine_parameters={"report_lag_ms": random.choice((0, 500, 1_000, 2_000))},
    )


def run_chats(seed, *, records_effects=False):
    """Run chats with a surge, engine restarts and callers that disconnect."""
    random = check_random_state(seed)
    fleet = build_fleet(seed, random=random)
    if records_effects:
        fleet.effects = []
    gap_ms = random.choice((20.0, 60.0, 150.0))
    base_load = LoadPattern(
        start_ms=500, end_ms=END_MS, mean_interarrival_ms=gap_ms, deadline_ms=15_000
    )
    send_pattern(fleet, base_load, seed)
    surge = LoadPattern(
        start_ms=2_000,
        end_ms=3_000,
        mean_interarrival_ms=15.0,
        n_teams=1,
        n_dossiers=2,
        prefix="surge",
        deadline_ms=5_000,
    )
    if random.random() < 0.5:
        send_pattern(fleet, surge, seed + 1)
    schedule_restarts(fleet, random, n_restarts=random.randrange(5))
    for name in random.sample(sorted(fleet.arrived_at_ms), 5):
        at_ms = fleet.arrived_at_ms[name] + random.randrange(2_000)
        fleet.at(at_ms, lambda name=name: close_caller(fleet, name))
    fleet.run_until(END_MS + DRAIN_MS)
    return fleet


def close_caller(fleet, request_id):
    """Close the connection of the caller of a request."""
    for address in fleet.kernels:
        fleet.decide(address, CallerGone(request_id=request_id))


def schedule_restarts(fleet, random, *, n_restarts):
    for _ in range(n_restarts):
        name = f"engine-{random.randrange(N_SERVERS)}"
        at_ms = random.randrange(END_MS)
        fleet.at(at_ms, lambda name=name: fleet.restart_engine(name))


def run_actions(seed):
    """Run non-repeatable actions while servers fail and restart."""
    random = check_random_state(seed)
    fleet = build_fleet(seed, random=random)
    for n in range(40):
        at_ms = 500 + random.randrange(END_MS)
        request = Request(
            request_id=f"action-{n}",
            service=SERVICE,
            team="team-1",
            deadline_ms=at_ms + random.choice((500, 5_000)),
            idempotency_key=f"key-{n}",
            repeatable=False,
        )
        fleet.send(at_ms, request, random.randint(5, 100))
    schedule_restarts(fleet, random, n_restarts=6)
    failing = f"engine-{random.randrange(N_SERVERS)}"
    fleet.at(1_000, lambda: fleet.failing.add(failing))
    fleet.at(3_000, fleet.failing.clear)
    fleet.run_until(END_MS + DRAIN_MS)
    return fleet


def loads_above_multiple(fleet):
    """Return the dispatches above the multiple of the highest mean of the last second.

    The owner counts a request from its admission, the engine from its arrival. Means up
    to ``IN_FLIGHT_MS`` after a dispatch therefore count as well.
    """
    limits = fleet.text.limits
    found = []
    for each in fleet.dispatches:
        mean = max(
            other.mean_load
            for other in fleet.dispatches
            if -MEAN_WINDOW_MS <= other.at_ms - each.at_ms <= IN_FLIGHT_MS
        )
        multiple = math.ceil(limits.load_multiple_percent * mean / 100)
        if each.load > max(limits.load_floor, multiple):
            found.append(each)
    return found
