"""Seeded plan of faults and planned work, with series and overlapping entries."""

from enum import Enum
from random import Random

from attrs import frozen

__all__ = [
    "Fault",
    "FaultKind",
    "build_plan",
    "draw_mean_interval_s",
    "draw_n_versions",
]


class FaultKind(Enum):
    """Kind of a fault or of planned work."""

    STOP_ROUTER = "stop_router"
    KILL_ROUTER = "kill_router"
    KILL_ALL_ROUTERS = "kill_all_routers"
    PAUSE_ROUTER = "pause_router"
    SIGNAL_RELOAD = "signal_reload"
    CHANGE_CONFIGURATION = "change_configuration"
    REVOKE_KEY = "revoke_key"
    LEAVE_SERVER = "leave_server"
    CRASH_SERVER = "crash_server"
    DATA_CENTRE_OUT = "data_centre_out"
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_CUT = "store_cut"
    LINK_DELAY = "link_delay"
    LINK_RESET = "link_reset"
    LINK_SILENCE = "link_silence"
    LINK_ONE_WAY = "link_one_way"
    SERVER_MISBEHAVES = "server_misbehaves"
    REUSE_ADDRESS = "reuse_address"
    RESTORE_STORE = "restore_store"
    ANNOUNCE_LEAVING = "announce_leaving"
    ASK_FOR_PAUSE = "ask_for_pause"
    MOVE_ROUTES = "move_routes"
    SILENT_SERVER = "silent_server"
    UNFRAMED_ANSWERS = "unframed_answers"
    BROKEN_UNFRAMED_ANSWERS = "broken_unframed_answers"
    ENDLESS_ANSWERS = "endless_answers"
    FATAL_PART = "fatal_part"
    STATE_LIMIT = "state_limit"
    FATAL_REQUEST = "fatal_request"
    CUT_PATH = "cut_path"
    FAILING_SERVICE = "failing_service"


# Start of the first fault, in seconds, so that all routers are ready before it.
FIRST_FAULT_AT_S = 2.5
SERIES_PROBABILITY = 0.35
MAX_SERIES = 3
# Kinds that were added later, by the name of a separate generator, so that the plans of
# former seeds keep their entries.
SEPARATELY_DRAWN_KINDS = {
    "later": (FaultKind.REUSE_ADDRESS,),
    "notices": (
        FaultKind.RESTORE_STORE,
        FaultKind.ANNOUNCE_LEAVING,
        FaultKind.ASK_FOR_PAUSE,
    ),
    "answers": (FaultKind.BROKEN_UNFRAMED_ANSWERS, FaultKind.ENDLESS_ANSWERS),
    "limits": (FaultKind.STATE_LIMIT,),
    "paths": (FaultKind.CUT_PATH,),
    "services": (FaultKind.FAILING_SERVICE,),
}
# Faults of which a plan has at most one, and only if the caller says so.
FATAL_KINDS = (FaultKind.FATAL_PART, FaultKind.FATAL_REQUEST)
# Latest start of that fault after the first one, in seconds.
MAX_FATAL_DELAY_S = 1.0
MEAN_SEPARATE_INTERVAL_S = 5.0
# So that services work for most of the time.
MEAN_SERVICE_INTERVAL_S = 15.0
# A router finds out after a second or so that it is cut off.
MIN_DURATIONS_S = {FaultKind.CUT_PATH: 3.0, FaultKind.FAILING_SERVICE: 6.0}
# Peculiarities of sound servers, which excuse nothing; planned work overlaps with them.
PECULIARITIES = (FaultKind.SILENT_SERVER, FaultKind.UNFRAMED_ANSWERS)
OVERLAPPING_WORK = (
    FaultKind.CHANGE_CONFIGURATION,
    FaultKind.MOVE_ROUTES,
    FaultKind.STOP_ROUTER,
    FaultKind.SIGNAL_RELOAD,
    FaultKind.LEAVE_SERVER,
    FaultKind.DATA_CENTRE_OUT,
)
# What happens to one router after the other, or to all, while a service fails.
ROUTER_SERIES = (
    FaultKind.KILL_ROUTER,
    FaultKind.KILL_ROUTER,
    FaultKind.STOP_ROUTER,
    FaultKind.PAUSE_ROUTER,
    FaultKind.KILL_ALL_ROUTERS,
)
MIN_SERIES_INTERVALS_S = {FaultKind.KILL_ALL_ROUTERS: 2.0}
SERIES_INTERVALS_S = (0.5, 1.2)
# In half of the runs with another number of routers than the former ones, routers come
# and go and services fail, and nothing else excuses anything.
FOCUS_PROBABILITY = 0.5
FOCUSED_KINDS = (
    *ROUTER_SERIES,
    *PECULIARITIES,
    *OVERLAPPING_WORK,
    FaultKind.CHANGE_CONFIGURATION,
    FaultKind.CRASH_SERVER,
    FaultKind.FAILING_SERVICE,
)
# Share of the runs in which two versions of the servers' software serve.
MIXED_VERSIONS_PROBABILITY = 0.5
# Mean times between two requests of a caller, in seconds. With few requests the fixed
# part of the budget of repeats weighs most.
MEAN_INTERVALS_S = (0.05, 0.3)
# All former seeds ran with this number of routers; they keep their load.
FORMER_N_ROUTERS = 3
MEAN_PECULIARITY_INTERVAL_S = 2.5
# How often other servers refuse requests meanwhile, and how many.
OTHERS_FULL_PROBABILITY = 0.3
N_OTHERS_FULL = 4
# In some runs all routers lose power shortly before the end, during a change of the
# configuration.
POWER_LOSS_PROBABILITY = 0.4
POWER_LOSS_BEFORE_END_S = (1.2, 2.5)


@frozen(kw_only=True)
class Fault:
    """Fault or planned work at a given time.

    Parameters
    ----------
    at_s : float
        Start, in seconds from the start of the soak.
    kind : FaultKind
        Kind of the fault.
    target : int
        Number that selects the router, server or link.
    duration_s : float
        Duration, in seconds; a fault without an end counts as active for this time.
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float


def build_plan(
    seed: int,
    duration_s: float,
    *,
    fatal_kind: FaultKind | None = None,
    n_routers: int = FORMER_N_ROUTERS,
) -> list[Fault]:
    """Return the plan of a seed, ordered by start.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    duration_s : float
        Time for which requests are sent, in seconds.
    fatal_kind : FaultKind or None, default=None
        What crashes servers, from near the start to the end.
    n_routers : int, default=3
        Number of routers.
    """
    random = Random(seed)
    plan = []
    separate = {kind for kinds in SEPARATELY_DRAWN_KINDS.values() for kind in kinds}
    separate |= {*PECULIARITIES, FaultKind.MOVE_ROUTES, *FATAL_KINDS}
    at_s = FIRST_FAULT_AT_S
    while at_s < duration_s - 1:
        kind = random.choice([each for each in FaultKind if each not in separate])
        n_times = 1
        if random.random() < SERIES_PROBABILITY:
            n_times = random.randint(2, MAX_SERIES)
        for number in range(n_times):
            plan.append(
                Fault(
                    at_s=at_s + number * random.uniform(0.1, 0.6),
                    kind=kind,
                    target=random.randrange(1_000),
                    duration_s=random.uniform(0.5, 3.0),
                )
            )
        at_s += random.expovariate(1.0)
    for name, kinds in SEPARATELY_DRAWN_KINDS.items():
        faults = _build_separate_faults(Random(f"{seed}-{name}"), kinds, duration_s)
        plan += faults
        random = Random(f"{seed}-{name}-routers")
        for fault in faults:
            if fault.kind is FaultKind.FAILING_SERVICE:
                plan += _build_router_series(random, fault)
    plan += _build_peculiarities(Random(f"{seed}-peculiarities"), duration_s)
    if fatal_kind is not None:
        random = Random(f"{seed}-fatal-part")
        plan.append(_build_fatal_fault(fatal_kind, random, duration_s))
    plan += _build_power_loss(Random(f"{seed}-power"), duration_s)
    is_former = n_routers == FORMER_N_ROUTERS
    if not is_former and Random(f"{seed}-focus").random() < FOCUS_PROBABILITY:
        plan = [each for each in plan if each.kind in (*FOCUSED_KINDS, fatal_kind)]
    return sorted(plan, key=lambda fault: fault.at_s)


def draw_n_versions(seed: int, n_routers: int) -> int:
    """Return how many versions of their software the servers of a run have."""
    if n_routers == FORMER_N_ROUTERS:
        return 1
    random = Random(f"{seed}-software")
    return 2 if random.random() < MIXED_VERSIONS_PROBABILITY else 1


def draw_mean_interval_s(seed: int, n_routers: int) -> float:
    """Return the mean time between two requests of a caller, in seconds."""
    if n_routers == FORMER_N_ROUTERS:
        return MEAN_INTERVALS_S[0]
    return Random(f"{seed}-load").choice(MEAN_INTERVALS_S)


def _build_router_series(random: Random, fault: Fault) -> list[Fault]:
    kind, first = random.choice(ROUTER_SERIES), random.randrange(1_000)
    interval_s = random.uniform(*SERIES_INTERVALS_S)
    interval_s += MIN_SERIES_INTERVALS_S.get(kind, 0.0)
    return [
        Fault(
            at_s=fault.at_s + number * interval_s,
            kind=kind,
            target=first + number,
            duration_s=random.uniform(0.5, 2.0),
        )
        for number in range(1, int(fault.duration_s / interval_s) + 1)
    ]


def _build_peculiarities(random: Random, duration_s: float) -> list[Fault]:
    plan, at_s = [], FIRST_FAULT_AT_S
    while at_s < duration_s - 1:
        kind = random.choice(PECULIARITIES)
        for number in range(random.randint(1, MAX_SERIES)):
            fault = Fault(
                at_s=at_s + number * random.uniform(0.1, 0.6),
                kind=kind,
                target=random.randrange(1_000),
                duration_s=random.uniform(0.5, 3.0),
            )
            plan += [fault, _build_overlapping_work(random, fault)]
            if random.random() < OTHERS_FULL_PROBABILITY:
                plan += _build_others_full(fault)
        at_s += random.expovariate(1 / MEAN_PECULIARITY_INTERVAL_S)
    return plan


def _build_overlapping_work(random: Random, fault: Fault) -> Fault:
    return Fault(
        at_s=fault.at_s + random.uniform(0, fault.duration_s),
        kind=random.choice(OVERLAPPING_WORK),
        target=random.randrange(1_000),
        duration_s=random.uniform(0.5, 2.0),
    )


def _build_others_full(fault: Fault) -> list[Fault]:
    # Targets select servers in turn, so that these are others than that of the fault.
    return [
        Fault(
            at_s=fault.at_s,
            kind=FaultKind.ASK_FOR_PAUSE,
            target=fault.target + number,
            duration_s=fault.duration_s,
        )
        for number in range(1, N_OTHERS_FULL + 1)
    ]


def _build_fatal_fault(kind: FaultKind, random: Random, duration_s: float) -> Fault:
    at_s = FIRST_FAULT_AT_S + random.uniform(0, MAX_FATAL_DELAY_S)
    return Fault(
        at_s=at_s,
        kind=kind,
        target=random.randrange(1_000),
        duration_s=max(0.0, duration_s - at_s),
    )


def _build_power_loss(random: Random, duration_s: float) -> list[Fault]:
    at_s = duration_s - random.uniform(*POWER_LOSS_BEFORE_END_S)
    if at_s < FIRST_FAULT_AT_S or random.random() > POWER_LOSS_PROBABILITY:
        return []
    return [
        Fault(at_s=each_at_s, kind=kind, target=0, duration_s=0.5)
        for each_at_s, kind in (
            (at_s - random.uniform(0, 0.5), FaultKind.CHANGE_CONFIGURATION),
            (at_s, FaultKind.KILL_ALL_ROUTERS),
        )
    ]


def _build_separate_faults(
    random: Random, kinds: tuple[FaultKind, ...], duration_s: float
) -> list[Fault]:
    mean_interval_s = MEAN_SEPARATE_INTERVAL_S
    if FaultKind.FAILING_SERVICE in kinds:
        mean_interval_s = MEAN_SERVICE_INTERVAL_S
    plan, at_s = [], FIRST_FAULT_AT_S + random.expovariate(1 / mean_interval_s)
    while at_s < duration_s - 1:
        kind = random.choice(kinds)
        plan.append(
            Fault(
                at_s=at_s,
                kind=kind,
                target=random.randrange(1_000),
                duration_s=MIN_DURATIONS_S.get(kind, 0.0) + random.uniform(0.5, 2.5),
            )
        )
        at_s += random.expovariate(1 / mean_interval_s)
    return plan
