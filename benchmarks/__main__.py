"""Run all or selected benchmarks and print one JSON object per line.

Usage: ``python -m benchmarks [--seed N] [--table] [--store] [MODULE ...]``. A benchmark
module is a ``benchmarks/bench_*.py`` with ``measure(seed)``. With ``--store``, the
measurements replace those of the same modules in ``benchmarks/results.jsonl``. With
``--table``, they are printed as an aligned table instead of JSON.
"""

import argparse
import importlib
import sys
import traceback
from datetime import UTC, datetime
from pathlib import Path

from benchmarks._measurement import Measurement
from benchmarks._results import (
    RESULTS_PATH,
    StoredMeasurement,
    format_table,
    read_results,
    replace_modules,
    write_results,
)

DEFAULT_SEED = 1


def find_modules() -> list[str]:
    """Return the names of all benchmark modules, sorted."""
    folder = Path(__file__).resolve().parent
    return sorted(path.stem for path in folder.glob("bench_*.py"))


def run_module(
    name: str, seed: int, *, is_table: bool
) -> list[StoredMeasurement] | None:
    """Run one module and print its measurements; return None if it failed."""
    print(f"running {name}", file=sys.stderr, flush=True)
    date = datetime.now(tz=UTC).strftime("%Y-%m-%d")
    command = f"python -m benchmarks --seed {seed} {name}"
    stored: list[StoredMeasurement] = []
    try:
        module = importlib.import_module(f"benchmarks.{name}")
        for measurement in module.measure(seed):
            stored.append(
                StoredMeasurement(
                    module=name, command=command, date=date, measurement=measurement
                )
            )
            if not is_table:
                print(measurement.to_json(), flush=True)
    except Exception:
        traceback.print_exc()
        return None
    return stored


def main() -> int:
    """Run the benchmarks."""
    parser = argparse.ArgumentParser(description="Run the seeded benchmarks.")
    parser.add_argument("modules", nargs="*", default=[])
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--table", action="store_true", help="print an aligned table")
    parser.add_argument("--store", action="store_true", help=f"store in {RESULTS_PATH}")
    options = parser.parse_args()
    available = find_modules()
    unknown = [name for name in options.modules if name not in available]
    if unknown:
        parser.error(f"unknown benchmark module: {', '.join(unknown)}")
    results: list[StoredMeasurement] = []
    failed: list[str] = []
    for name in options.modules or available:
        stored = run_module(name, options.seed, is_table=options.table)
        if stored is None:
            failed.append(name)
            continue
        results += stored
        if options.store:
            write_results(replace_modules(read_results(), stored))
    if options.table:
        measurements: list[Measurement] = [each.measurement for each in results]
        print(format_table(measurements))
    if failed:
        print(f"failed: {', '.join(failed)}", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
