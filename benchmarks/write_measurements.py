"""Write docs/MEASUREMENTS.md, docs/CAPACITY.md and the plots.

Usage: ``python -m benchmarks.write_measurements``
"""

import ast
import sys
from collections.abc import Sequence
from pathlib import Path

from benchmarks._capacity import render_capacity
from benchmarks._plots import PLOTS_FOLDER, plot_measures
from benchmarks._results import (
    StoredMeasurement,
    format_parameters,
    format_value,
    read_results,
)

__all__ = ["render_measurements", "write_pages"]

ROOT = Path(__file__).resolve().parent.parent
MEASUREMENTS_PATH = ROOT / "docs" / "MEASUREMENTS.md"
CAPACITY_PATH = ROOT / "docs" / "CAPACITY.md"
PAGE_HEADER = """\
# Measurements

Written by `python -m benchmarks.write_measurements` from `benchmarks/results.jsonl`;
`make measurements` runs all benchmarks and regenerates this page. Each section gives
the command that reproduces its values and the date of the run. Values of processor or
wall time depend on the machine; values in virtual time depend on the seed only.
"""


def render_measurements(results: Sequence[StoredMeasurement]) -> str:
    """Return the page with all stored measurements.

    Parameters
    ----------
    results : sequence of StoredMeasurement
        Stored measurements.

    Returns
    -------
    str
        Markdown.
    """
    plots = plot_measures(results)
    by_module: dict[str, list[StoredMeasurement]] = {}
    for each in results:
        by_module.setdefault(each.module, []).append(each)
    sections = [
        _render_module(module, measurements, set(plots))
        for module, measurements in sorted(by_module.items())
    ]
    return "\n".join([PAGE_HEADER, *sections])


def _render_module(
    module: str, results: Sequence[StoredMeasurement], plots: set[str]
) -> str:
    lines = [f"## {_read_title(module)}", ""]
    for command, date in sorted({(each.command, each.date) for each in results}):
        lines.append(f"`{command}`, run on {date}")
    lines += ["", "| measure | parameters | policy | value | unit | seed |"]
    lines += ["|---|---|---|---:|---|---:|"]
    for each in results:
        measurement = each.measurement
        cells = (
            measurement.measure,
            format_parameters(measurement),
            measurement.policy,
            format_value(measurement.value),
            measurement.unit,
            str(measurement.seed),
        )
        lines.append(f"| {' | '.join(cells)} |")
    names = sorted({f"{each.measurement.measure}.svg" for each in results} & plots)
    for name in names:
        title = name.removesuffix(".svg").replace("_", " ")
        lines += ["", f"![{title}](../benchmarks/plots/{name})"]
    return "\n".join([*lines, ""])


def _read_title(module: str) -> str:
    """Return the first line of a module's docstring without importing the module."""
    path = ROOT / "benchmarks" / f"{module}.py"
    if not path.exists():
        return module
    docstring = ast.get_docstring(ast.parse(path.read_text(encoding="utf-8"))) or module
    return docstring.splitlines()[0].rstrip(".")


def write_pages() -> None:
    """Write both pages and the plots."""
    results = read_results()
    MEASUREMENTS_PATH.parent.mkdir(exist_ok=True)
    MEASUREMENTS_PATH.write_text(render_measurements(results), encoding="utf-8")
    CAPACITY_PATH.write_text(render_capacity(results), encoding="utf-8")
    PLOTS_FOLDER.mkdir(exist_ok=True)
    plots = plot_measures(results)
    for path in PLOTS_FOLDER.glob("*.svg"):
        if path.name not in plots:
            path.unlink()
    for name, content in plots.items():
        (PLOTS_FOLDER / name).write_text(content, encoding="utf-8")


def main() -> int:
    """Write the pages."""
    write_pages()
    return 0


if __name__ == "__main__":
    sys.exit(main())
