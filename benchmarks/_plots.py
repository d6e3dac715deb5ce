"""Plots of stored measurements, one SVG file per measure."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pygal

from benchmarks._measurement import Measurement
from benchmarks._results import StoredMeasurement, format_parameters, format_value
from benchmarks._sweep import SWEEP_MODULE
from damaskrill.report import STYLE, render_chart

__all__ = ["PLOTS_FOLDER", "plot_measures"]

PLOTS_FOLDER = Path(__file__).resolve().parent / "plots"
MIN_POINTS = 2
# Parameters with this prefix give the size of a run; others may be results of it.
SIZE_PREFIX = "n_"
RESULT_PARAMETERS = frozenset(("n_completed",))
PLOT_WIDTH = 800
PLOT_HEIGHT = 360


def plot_measures(results: Sequence[StoredMeasurement]) -> dict[str, str]:
    """Return plots of all measures with at least two measurements.

    Parameters
    ----------
    results : sequence of StoredMeasurement
        Stored measurements.

    Returns
    -------
    dict
        SVG by file name.
    """
    by_measure: dict[str, list[Measurement]] = {}
    for each in results:
        if each.module == SWEEP_MODULE:
            # Its quantities have several units; the capacity page has them in a table.
            continue
        by_measure.setdefault(each.measurement.measure, []).append(each.measurement)
    plots = {}
    for measure, measurements in sorted(by_measure.items()):
        if len(measurements) >= MIN_POINTS:
            plots[f"{measure}.svg"] = _plot_measure(measure, measurements)
    return plots


def _plot_measure(measure: str, measurements: Sequence[Measurement]) -> str:
    parameter = _varied_parameter(measurements)
    chart = (
        _plot_lines(measurements, parameter) if parameter else _plot_bars(measurements)
    )
    return render_chart(chart, f"plot-{measure}") + "\n"


def _varied_parameter(measurements: Sequence[Measurement]) -> str:
    """Return the numeric parameter with the most values; empty if none varies."""
    names = sorted({name for each in measurements for name in each.parameters})
    names = [name for name in names if name.startswith(SIZE_PREFIX)]
    names = [name for name in names if name not in RESULT_PARAMETERS]
    best, n_best = "", 1
    for name in names:
        values = [each.parameters.get(name) for each in measurements]
        if not all(isinstance(value, int | float) for value in values):
            continue
        if len(set(values)) > n_best:
            best, n_best = name, len(set(values))
    return best


def _plot_lines(measurements: Sequence[Measurement], parameter: str) -> pygal.Graph:
    chart = pygal.XY(**_options(measurements[0]), x_title=parameter, dots_size=4)
    lines: dict[str, list[tuple[Any, float]]] = {}
    names = _independent_parameters(measurements, parameter)
    for each in measurements:
        varied = ", ".join(
            f"{name} {each.parameters[name]}"
            for name in names
            if name in each.parameters
        )
        label = f"{each.policy} ({varied})" if varied else each.policy
        lines.setdefault(label, []).append((each.parameters[parameter], each.value))
    for label, points in sorted(lines.items()):
        chart.add(label, sorted(points))
    return chart


def _independent_parameters(
    measurements: Sequence[Measurement], parameter: str
) -> list[str]:
    """Return the parameters that vary among measurements with equal ``parameter``."""
    names = sorted({name for each in measurements for name in each.parameters})
    values: dict[tuple[str, Any], set[str]] = {}
    for each in measurements:
        for name in names:
            key = (name, each.parameters[parameter])
            values.setdefault(key, set()).add(str(each.parameters.get(name)))
    return [
        name
        for name in names
        if name != parameter
        and name not in RESULT_PARAMETERS
        and any(len(seen) > 1 for (other, _), seen in values.items() if other == name)
    ]


def _plot_bars(measurements: Sequence[Measurement]) -> pygal.Graph:
    chart = pygal.HorizontalBar(
        **_options(measurements[0]),
        show_legend=False,
        print_values=True,
        truncate_label=-1,
    )
    ordered = list(reversed(measurements))
    chart.x_labels = [
        f"{each.policy} {format_parameters(each)}".strip() for each in ordered
    ]
    chart.value_formatter = format_value
    chart.add("", [each.value for each in ordered])
    return chart


def _options(measurement: Measurement) -> dict[str, Any]:
    return {
        "title": f"{measurement.measure.replace('_', ' ')} in {measurement.unit}",
        "style": STYLE,
        "width": PLOT_WIDTH,
        "height": PLOT_HEIGHT,
        "js": [],
        "disable_xml_declaration": True,
        "legend_at_bottom": True,
        "truncate_legend": -1,
    }
