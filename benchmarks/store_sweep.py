"""Store the table of a sweep of the users' bench in the results.

Usage: ``python -m benchmarks.store_sweep DEPLOYMENT OUTPUT``. OUTPUT is a file with
what the sweep printed. Earlier results of the same deployment are replaced.
"""

import sys
from datetime import UTC, datetime
from pathlib import Path

from benchmarks._results import StoredMeasurement, read_results, write_results
from benchmarks._sweep import SWEEP_MODULE, SweepFormatError, read_sweep

N_ARGUMENTS = 2


def main(arguments: list[str]) -> int:
    """Store one sweep; return the exit status."""
    if len(arguments) != N_ARGUMENTS:
        print("usage: python -m benchmarks.store_sweep DEPLOYMENT OUTPUT")
        return 2
    deployment, path = arguments
    try:
        text = Path(path).read_text(encoding="utf-8")
        measurements = read_sweep(text, deployment)
    except (OSError, SweepFormatError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 2
    kept = [
        each
        for each in read_results()
        if each.module != SWEEP_MODULE
        or each.measurement.parameters["deployment"] != deployment
    ]
    stored = [
        StoredMeasurement(
            module=SWEEP_MODULE,
            command=f"sweep of {deployment} on the users' bench",
            date=datetime.now(tz=UTC).strftime("%Y-%m-%d"),
            measurement=each,
        )
        for each in measurements
    ]
    write_results([*kept, *stored])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
