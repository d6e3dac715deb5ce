"""Runs of the fault matrix: one or two faults in a fleet under load."""

import itertools
import sys

from damaskrill.utils import check_random_state
from features.support.faults import (
    DELAYING_FAULTS,
    END_MS,
    FAULT_MS,
    FAULTS,
    HEAL_MS,
    LAST_FAULT_MS,
    WORK_END_MS,
    WORK_START_MS,
    build_fleet_members,
    build_fleet_text,
    heal_everything,
)
from features.support.invariants import all_violations
from features.support.pump import Pump
from features.support.workload import Workload

N_SEEDS_ALONE = 3
N_SEEDS_TWICE = 2


def run_faults(names, seed):
    """Run the fleet with faults and return the pump after the run.

    Parameters
    ----------
    names : sequence of str
        Faults of ``FAULTS``; each is injected once, at a time drawn from the seed.
    seed : int
        Seed of the run.
    """
    random = check_random_state(seed)
    pump = Pump(
        text=build_fleet_text(),
        members=build_fleet_members(),
        random_state=random.getrandbits(32),
    )
    workload = Workload(
        pump=pump, random_state=random.getrandbits(32), end_ms=WORK_END_MS
    )
    workload.start(start_ms=WORK_START_MS)
    for name in names:
        at_ms = random.randint(FAULT_MS, LAST_FAULT_MS)
        fault = FAULTS[name]
        pump.at(at_ms, lambda fault=fault: fault(pump, workload, random))
    pump.at(HEAL_MS, lambda: heal_everything(pump))
    pump.run_until(END_MS)
    return pump


def violations_of(names, seed):
    """Return the violations of one run, each with the faults and seed to repeat it."""
    pump = run_faults(names, seed)
    excused = DELAYING_FAULTS.intersection(names)
    where = f"faults {', '.join(names) or 'none'}; seed {seed}"
    return [f"{where}: {each}" for each in all_violations(pump, excused=excused)]


def plan_alone():
    """Return (faults, seed) of the runs with a single kind of fault.

    Each fault is injected once, with three seeds, and twice, with two seeds.
    """
    alone = [(name,) for name in sorted(FAULTS) for _ in range(N_SEEDS_ALONE)]
    twice = [(name, name) for name in sorted(FAULTS) for _ in range(N_SEEDS_TWICE)]
    return [(names, 1_000 + n) for n, names in enumerate(alone + twice)]


def plan_pairs():
    """Return (faults, seed) of the runs with two different faults."""
    pairs = itertools.combinations(sorted(FAULTS), 2)
    return [(names, 2_000 + n) for n, names in enumerate(pairs)]


def main(arguments):
    """Print the violations of the run ``SEED [FAULT ...]``, one per line."""
    for line in violations_of(arguments[1:], int(arguments[0])):
        print(line)


if __name__ == "__main__":
    main(sys.argv[1:])
