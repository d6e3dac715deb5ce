"""Steps for experiments in virtual time."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from attrs import evolve
from behave import given, then, when

from damaskrill.cli._main import run_command_line
from damaskrill.experiment import (
    EmulatedEngine,
    EnginePlan,
    Policy,
    read_plan,
    simulate,
)
from damaskrill.steering import PromptPart
from features.support.builders import build_engine

EXAMPLES = Path("examples/experiments")
RATE = "[requests review]\nper_s = 50\nn_keys = 20\n"
SHORT = f"[fleet]\nn_routers = 5\nduration_ms = 1500\n[engines]\nn = 4\n{RATE}"
CONTENTS = {
    "no section": "",
    "an unknown section": f"[fleets]\nn_routers = 2\n{RATE}",
    "an unknown field": f"[engines]\nspeed = 2\n{RATE}",
    "a rate that is not a number": RATE.replace("50", "many"),
    "a number below 0": RATE.replace("20", "-1"),
    "too many requests": RATE.replace("50", "9000000"),
}


def build_emulated(name="e-1", **plan):
    return EmulatedEngine(server=build_engine(name), plan=EnginePlan(**plan))


def build_prompt(number=0):
    return (
        PromptPart(part_id=f"base-{number}", n_tokens=300),
        PromptPart(part_id=f"dossier-{number}", n_tokens=2_000),
        PromptPart(part_id="own", n_tokens=100),
    )


def serve(engine, now_ms, *, number=0, source=None, n_steps=10):
    return engine.serve(
        build_prompt(number), n_steps=n_steps, source=source, now_ms=now_ms
    )


@given("two emulated engines with a prefix cache of 5000 tokens")
def step_two_emulated(context):
    context.one = build_emulated(cache_tokens=5_000)
    context.other = build_emulated("e-2", cache_tokens=5_000)


@when("the first one serves a prompt with shared parts of 300 and 2000 tokens twice")
def step_serve_twice(context):
    context.runs = [serve(context.one, 0.0), serve(context.one, 1_000.0)]


@then("it prefills 2300 tokens and then none")
def step_prefills_once(context):
    assert [each.n_read for each in context.runs] == [2_300, 0]


@when("the second one serves it with the first one as the copy source")
def step_serve_copy(context):
    context.run = serve(context.other, 2_000.0, source=context.one)


@then("it copies 2300 tokens and prefills none")
def step_copies(context):
    assert (context.run.n_copied, context.run.n_read) == (2_300, 0)


@when("the first one serves two other prompts of this size")
def step_serve_others(context):
    for number in (1, 2):
        serve(context.one, 2_000.0 + 1_000 * number, number=number)


@then("the first prompt is prefilled again")
def step_prefills_again(context):
    assert serve(context.one, 9_000.0).n_read == 2_300


@given("an emulated engine with 2 slots")
def step_two_slots(context):
    context.one = build_emulated(n_slots=2, step_ms_per_request=0.0)


@when("it serves 3 requests at the same time")
def step_three_requests(context):
    context.runs = [serve(context.one, 0.0, n_steps=400) for _ in range(3)]


@then("the third one starts when the first one has ended")
def step_third_waits(context):
    first, second, third = context.runs
    assert second.first_at_ms < first.end_at_ms < third.first_at_ms
    assert third.first_at_ms < first.end_at_ms + 100


def write_plan(content):
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(content)
    return Path(file.name)


@when("a short plan is run twice as product and once as random with seed 3")
def step_run_thrice(context):
    plan = read_plan(write_plan(SHORT))
    policies = (Policy.PRODUCT, Policy.PRODUCT, Policy.RANDOM)
    context.measures = [
        simulate(plan, policy=each, random_state=3) for each in policies
    ]


@then("both runs of product have the same metrics")
def step_same_metrics(context):
    first, second, _ = context.measures
    assert first.to_map() == second.to_map()


@then("all three runs have the same requests")
def step_same_requests(context):
    assert len({(each.n_requests, each.n_shared) for each in context.measures}) == 1


@given("an experiment file with {content}")
def step_file(context, content):
    context.path = write_plan(CONTENTS[content])


def run_command(*arguments):
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        status = run_command_line(["experiment", *arguments])
    return status, output.getvalue(), errors.getvalue()


@when("the command experiment is run on it")
def step_run_invalid(context):
    context.status, _, context.errors = run_command(str(context.path))


@then("it exits with status 2 and reports {fault}")
def step_reports_fault(context, fault):
    assert context.status == 2 and fault in context.errors, context.errors


@when('the command experiment runs a short plan for "{policies}"')
def step_run_short(context, policies):
    arguments = (str(write_plan(SHORT)), "--policies", policies)
    context.printed = run_command(*arguments)
    context.as_json = run_command(*arguments, "--json")


@then("the table has a column for each policy")
def step_columns(context):
    status, output, _ = context.printed
    assert status == 0 and output.splitlines()[0].split() == ["product", "random"]


@then("the JSON output has the same metrics")
def step_json(context):
    status, output, _ = context.as_json
    figures = json.loads(output)
    assert status == 0 and set(figures) == {"product", "random"}
    rows = [line.split() for line in context.printed[1].splitlines()]
    n_requests = next(row[1:] for row in rows if row[0] == "n_requests")
    assert n_requests == [str(each["n_requests"]) for each in figures.values()]


@when("the plan of returning dossiers runs for 10 s with the product and two baselines")
def step_run_returning(context):
    plan = evolve(read_plan(EXAMPLES / "returning_dossiers.ini"), duration_ms=10_000)
    policies = (Policy.PRODUCT, Policy.RENDEZVOUS, Policy.LEAST_LOADED)
    context.by_policy = {
        each: simulate(plan, policy=each, random_state=1) for each in policies
    }


@when("the plan of the hot dossier runs for 8 s with the product")
def step_run_hot(context):
    plan = evolve(read_plan(EXAMPLES / "hot_dossier.ini"), duration_ms=8_000)
    context.by_policy = {
        Policy.PRODUCT: simulate(plan, policy=Policy.PRODUCT, random_state=1)
    }


@then("the product reuses at least 95 of 100 tokens that some engine had cached")
def step_reuses(context):
    assert context.by_policy[Policy.PRODUCT].reuse >= 0.95


@then("neither baseline prefills fewer tokens than the product")
def step_prefills_fewest(context):
    n_read = {each: found.n_read for each, found in context.by_policy.items()}
    assert min(n_read, key=lambda each: n_read[each]) is Policy.PRODUCT, n_read


@then("at most 3 of 100 of its requests are sent to an engine above the limit")
def step_few_above_limit(context):
    found = context.by_policy[Policy.PRODUCT]
    assert found.n_above <= 0.03 * found.n_requests, found.to_map()
