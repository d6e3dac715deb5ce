"""Storage of the latest measurements, one JSON object per line."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from attrs import frozen

from benchmarks._measurement import Measurement

__all__ = [
    "RESULTS_PATH",
    "StoredMeasurement",
    "format_parameters",
    "format_table",
    "format_value",
    "read_results",
    "replace_modules",
    "write_results",
]

RESULTS_PATH = Path(__file__).resolve().parent / "results.jsonl"
MEASUREMENT_FIELDS = ("measure", "policy", "value", "unit", "seed")
RUN_FIELDS = ("module", "command", "date")


@frozen(kw_only=True)
class StoredMeasurement:
    """Measurement and the run that produced it.

    Parameters
    ----------
    module : str
        Benchmark module.
    command : str
        Command that reproduces it.
    date : str
        Date of the run, in UTC.
    measurement : Measurement
        The measurement.
    """

    module: str
    command: str
    date: str
    measurement: Measurement

    def to_map(self) -> dict[str, Any]:
        """Return the content of the line in the results file."""
        content = json.loads(self.measurement.to_json())
        return {
            **content,
            "module": self.module,
            "command": self.command,
            "date": self.date,
        }


def _from_map(content: dict[str, Any]) -> StoredMeasurement:
    run = {name: content.pop(name) for name in RUN_FIELDS}
    fields = {name: content.pop(name) for name in MEASUREMENT_FIELDS}
    return StoredMeasurement(
        measurement=Measurement(**fields, parameters=content), **run
    )


def read_results(path: Path = RESULTS_PATH) -> list[StoredMeasurement]:
    """Read the stored measurements; return an empty list if there is no file."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [_from_map(json.loads(line)) for line in lines if line.strip()]


def write_results(
    results: Sequence[StoredMeasurement], path: Path = RESULTS_PATH
) -> None:
    """Write measurements, grouped by module."""
    ordered = sorted(results, key=lambda each: each.module)
    lines = [json.dumps(each.to_map(), sort_keys=True) for each in ordered]
    path.write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")


def replace_modules(
    previous: Sequence[StoredMeasurement], new: Sequence[StoredMeasurement]
) -> list[StoredMeasurement]:
    """Replace the previous measurements of all modules that have new ones."""
    modules = {each.module for each in new}
    return [each for each in previous if each.module not in modules] + list(new)


def format_value(value: float) -> str:
    """Format a value for display."""
    if isinstance(value, int) or float(value).is_integer():
        return f"{int(value):,}"
    return f"{value:,.4g}" if abs(value) < 1_000 else f"{value:,.0f}"


def format_parameters(measurement: Measurement) -> str:
    """Format the parameters of a measurement for display."""
    parameters = sorted(measurement.parameters.items())
    return ", ".join(f"{name} {value}" for name, value in parameters)


def format_table(measurements: Sequence[Measurement]) -> str:
    """Return an aligned table."""
    rows = [("measure", "parameters", "policy", "value", "unit", "seed")]
    rows += [
        (
            each.measure,
            format_parameters(each),
            each.policy,
            format_value(each.value),
            each.unit,
            str(each.seed),
        )
        for each in measurements
    ]
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    lines = ["  ".join(map(str.ljust, row, widths)).rstrip() for row in rows]
    return "\n".join(lines)
