"""Measurements of routers on the users' platform at growing numbers of hosts.

Notes
-----
The users' bench plays one day at 30, 100 and 300 routers and prints a table of load
and times. Their middle and largest values over the routers are stored here.
"""

import re
from collections.abc import Sequence

from benchmarks._measurement import Measurement
from benchmarks._results import StoredMeasurement, format_value

__all__ = ["SWEEP_MODULE", "SweepFormatError", "read_sweep", "render_sweeps"]

SWEEP_MODULE = "_sweep"
# The day is the same for all deployments and has a seed of its own.
SWEEP_SEED = 77
POLICY = "product"
UNITS = {"%": "percent of a core", "MB": "MB", "ms": "ms"}
HEADING = re.compile(r"^middle / busiest.* own machines$")
SIZES = re.compile(r"^\s+(\d+(?:\s+\d+)*)\s+power\s+at (\d+)$")
ROW = re.compile(r"^(.+?)\s{2,}((?:[\d.]+ / [\d.]+\s+)+)(-?[\d.]+)\s+([\d.]+)$")
PAIR = re.compile(r"([\d.]+) / ([\d.]+)")


class SweepFormatError(ValueError):
    """The output holds no table of a sweep."""


def read_sweep(text: str, deployment: str) -> list[Measurement]:
    """Return the measurements in the output of a sweep.

    Parameters
    ----------
    text : str
        Output of the sweep.
    deployment : str
        Name of the deployment.

    Returns
    -------
    list of Measurement
        The middle and the largest value of each quantity and number of routers, its
        growth as a power of that number, and where that leads.

    Raises
    ------
    SweepFormatError
        If the output holds no table.
    """
    lines = iter(text.splitlines())
    if not any(HEADING.match(line) for line in lines):
        raise SweepFormatError("no table of middle and busiest values")
    header = SIZES.match(next(lines, ""))
    if header is None:
        raise SweepFormatError("no line with the numbers of routers")
    sizes = [int(each) for each in header[1].split()]
    target = int(header[2])
    measurements: list[Measurement] = []
    for line in lines:
        row = ROW.match(line)
        if row is None:
            break
        name, values, power, at_target = row.groups()
        pairs = PAIR.findall(values)

        def build(
            measure: str, value: str, name: str = name, **parameters: int
        ) -> Measurement:
            return Measurement(
                measure=measure,
                policy=POLICY,
                value=float(value),
                unit=_find_unit(name),
                seed=SWEEP_SEED,
                parameters={"deployment": deployment, "quantity": name, **parameters},
            )

        for n_routers, (middle, largest) in zip(sizes, pairs, strict=True):
            measurements.append(build("sweep_middle", middle, n_routers=n_routers))
            measurements.append(build("sweep_largest", largest, n_routers=n_routers))
        measurements.append(build("sweep_power", power))
        measurements.append(build("sweep_at_target", at_target, n_routers=target))
    if not measurements:
        raise SweepFormatError("the table has no rows")
    return measurements


def _find_unit(quantity: str) -> str:
    return next(
        (unit for mark, unit in UNITS.items() if quantity.endswith(mark)), "a second"
    )


def render_sweeps(results: Sequence[StoredMeasurement]) -> str:
    """Return a table of all stored sweeps, or that there is none.

    Parameters
    ----------
    results : sequence of StoredMeasurement
        Stored measurements.
    """
    measurements = [each.measurement for each in results if each.module == SWEEP_MODULE]
    if not measurements:
        return "**not measured**"
    rows: dict[tuple[str, str], list[str]] = {}
    for each in measurements:
        parameters = each.parameters
        row = rows.setdefault((parameters["deployment"], parameters["quantity"]), [])
        match each.measure:
            case "sweep_largest":
                row.append(f"{format_value(each.value)} at {parameters['n_routers']}")
            case "sweep_power":
                row.append(f"power {format_value(each.value)}")
            case "sweep_at_target":
                row.append(
                    f"**{format_value(each.value)}** at {parameters['n_routers']}"
                )
    lines = ["| deployment | quantity | busiest router, growth |", "|---|---|---|"]
    lines += [
        f"| {deployment} | {quantity} | {', '.join(cells)} |"
        for (deployment, quantity), cells in rows.items()
    ]
    return "\n".join(lines)
