"""Run all measures, or those named, and print one JSON object a line.

Usage: ``python -m benchmarks [--seed N] [MEASURE_MODULE ...]``. A measure module is a
``benchmarks/bench_*.py`` with ``measure(seed)``.
"""

import argparse
import importlib
import sys
from pathlib import Path

DEFAULT_SEED = 1


def find_modules() -> list[str]:
    """Return the names of all measure modules, sorted."""
    folder = Path(__file__).resolve().parent
    return sorted(path.stem for path in folder.glob("bench_*.py"))


def main() -> int:
    """Run the measures."""
    parser = argparse.ArgumentParser(description="Run the seeded measures.")
    parser.add_argument("modules", nargs="*", default=[])
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    options = parser.parse_args()
    for name in options.modules or find_modules():
        print(f"running {name}", file=sys.stderr, flush=True)
        module = importlib.import_module(f"benchmarks.{name}")
        for figure in module.measure(options.seed):
            print(figure.to_json(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
