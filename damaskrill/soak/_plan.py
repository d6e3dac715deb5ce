"""Seeded plan of faults and planned work, with series and overlapping entries."""

from enum import Enum
from random import Random

from attrs import frozen

__all__ = ["Fault", "FaultKind", "build_plan"]


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
}
MEAN_SEPARATE_INTERVAL_S = 5.0


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


def build_plan(seed: int, duration_s: float) -> list[Fault]:
    """Return the plan of a seed, ordered by start."""
    random = Random(seed)
    plan = []
    separate = {kind for kinds in SEPARATELY_DRAWN_KINDS.values() for kind in kinds}
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
        plan += _build_separate_faults(Random(f"{seed}-{name}"), kinds, duration_s)
    return sorted(plan, key=lambda fault: fault.at_s)


def _build_separate_faults(
    random: Random, kinds: tuple[FaultKind, ...], duration_s: float
) -> list[Fault]:
    plan, at_s = [], FIRST_FAULT_AT_S + random.expovariate(1 / MEAN_SEPARATE_INTERVAL_S)
    while at_s < duration_s - 1:
        plan.append(
            Fault(
                at_s=at_s,
                kind=random.choice(kinds),
                target=random.randrange(1_000),
                duration_s=random.uniform(0.5, 2.5),
            )
        )
        at_s += random.expovariate(1 / MEAN_SEPARATE_INTERVAL_S)
    return plan
