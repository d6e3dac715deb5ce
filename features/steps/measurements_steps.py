"""Steps for stored measurements and the pages rendered from them."""

import tempfile
from pathlib import Path

from behave import given, then, when

from benchmarks._capacity import compute_values, render_capacity
from benchmarks._measurement import Measurement
from benchmarks._plots import plot_measures
from benchmarks._results import (
    StoredMeasurement,
    read_results,
    replace_modules,
    write_results,
)
from benchmarks._sweep import (
    SWEEP_MODULE,
    SweepFormatError,
    read_sweep,
    render_sweeps,
)
from benchmarks.write_measurements import (
    CAPACITY_PATH,
    MEASUREMENTS_PATH,
    render_measurements,
)


def build_stored(module="bench_a", measure="time", value=1.5, **parameters):
    measurement = Measurement(
        measure=measure,
        policy="product",
        value=value,
        unit="us",
        seed=1,
        parameters=parameters,
    )
    command = f"python -m benchmarks --seed 1 {module}"
    return StoredMeasurement(
        module=module, command=command, date="2026-12-03", measurement=measurement
    )


@then("docs/MEASUREMENTS.md equals the page rendered from the stored measurements")
def step_measurements_equal(context):
    page = MEASUREMENTS_PATH.read_text(encoding="utf-8")
    assert page == render_measurements(read_results())


@then("docs/CAPACITY.md equals the page rendered from the stored measurements")
def step_capacity_equal(context):
    page = CAPACITY_PATH.read_text(encoding="utf-8")
    assert page == render_capacity(read_results())


@then("two renderings of the plots are equal")
def step_plots_equal(context):
    results = read_results()
    assert plot_measures(results)
    assert plot_measures(results) == plot_measures(results)


@when("the capacity is computed without stored measurements")
def step_capacity_without(context):
    context.values = compute_values([])


@when("the capacity is computed with {us:d} microseconds per request of an entry")
def step_capacity_with(context, us):
    stored = build_stored(
        measure="entry_time_per_request", value=us, n_servers=11_000, n_routers=333
    )
    context.values = compute_values([stored])


@then('the entry\'s processor time is "{text}"')
def step_entry_core(context, text):
    assert context.values["entry_core"] == text, context.values["entry_core"]


@then("a node owns {n} servers")
def step_owned(context, n):
    assert context.values["servers_per_node"] == n


@given('stored measurements of modules "{first}" and "{second}"')
def step_stored(context, first, second):
    context.stored = [build_stored(first), build_stored(second, n_engines=5)]


@when('new measurements of "{module}" are stored')
def step_store_new(context, module):
    new = [build_stored(module, value=2.5), build_stored(module, measure="bytes")]
    context.stored = replace_modules(context.stored, new)


@then('the measurement of "{module}" is retained')
def step_retained(context, module):
    modules = [each.module for each in context.stored]
    assert modules.count(module) == 1 and len(modules) == 3, modules


@then("stored measurements are unchanged after writing and reading")
def step_written_and_read(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "results.jsonl"
        write_results(context.stored, path)
        restored = read_results(path)
    assert sorted(restored, key=repr) == sorted(context.stored, key=repr)


SWEEP_OUTPUT = """\
sweep-30              31/300   0.79  0.794  0.937   0.000  0.053  worst windows 0.75

middle / busiest or longest, by own machines
                                         30           100           300  power  at 332
router: processor %               4.0 / 5.6     4.0 / 6.0    7.1 / 15.7   0.44  16.4
router: memory MB               30.2 / 30.7   32.2 / 33.6   38.5 / 44.7   0.16  45.4
serving after all were killed, ms 1000 / 1000 1500 / 1500 30000 / 30000   1.46  34781
power: the busiest grows as machines to this power
"""


@given("the output of a sweep at 30, 100 and 300 routers")
def step_sweep_output(context):
    context.output = SWEEP_OUTPUT


@when('it is read for deployment "{deployment}"')
def step_read_sweep(context, deployment):
    context.sweep = read_sweep(context.output, deployment)


@then(
    "the busiest router's memory is {small:g}, {middle:g} and {large:g} MB, "
    "and {at_target:g} MB at 332"
)
def step_sweep_memory(context, small, middle, large, at_target):
    values = [
        each.value
        for each in context.sweep
        if each.parameters["quantity"] == "router: memory MB"
        and each.measure in ("sweep_largest", "sweep_at_target")
    ]
    assert values == [small, middle, large, at_target], values


@then("the page shows it with its power {power:g}")
def step_sweep_page(context, power):
    stored = [
        StoredMeasurement(
            module=SWEEP_MODULE, command="c", date="2026-01-01", measurement=each
        )
        for each in context.sweep
    ]
    assert f"44.7 at 300, power {power:g}, **45.4** at 332" in render_sweeps(stored)


@when('the output "{output}" of a sweep is read')
def step_read_bad_sweep(context, output):
    try:
        read_sweep(output, "one")
    except SweepFormatError as error:
        context.error = str(error)


@then('it is refused because of "{reason}"')
def step_sweep_refused(context, reason):
    assert reason in context.error, context.error
