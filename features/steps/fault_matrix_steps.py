"""Steps for the fault matrix."""

from unittest import mock

from behave import given, then, when

from damaskrill.actions import ActionsDecider
from damaskrill.messages import RequestArrived, RouteRequest
from features.support.matrix import plan_alone, plan_pairs, violations_of

N_PARTS = 3


def run_plan(context, plan):
    context.plan = plan
    context.violations = [
        violation for names, seed in plan for violation in violations_of(names, seed)
    ]


@when("each fault is injected into the fleet once and twice")
def step_single_faults(context):
    run_plan(context, plan_alone())


@when("every third pair of faults is injected into the fleet, from pair {first:d} on")
def step_pairs(context, first):
    run_plan(context, plan_pairs()[first - 1 :: N_PARTS])


@then("no invariant is violated in at least {n_runs:d} runs")
def step_no_violation(context, n_runs):
    seeds = {seed for _, seed in context.plan}
    assert len(seeds) >= n_runs, len(seeds)
    assert not context.violations, "\n".join(context.violations[:20])


def patch(context, target, replacement):
    patcher = mock.patch(target, replacement)
    patcher.start()
    context.add_cleanup(patcher.stop)


@given("kernels with a load bound of ten times the mean")
def step_mutated_bound(context):
    def tenfold(*, load_sum, n_servers, multiple_percent, floor):
        return max(floor, 10 * load_sum // max(1, n_servers))

    patch(context, "damaskrill.admission._server.multiple_of_mean", tenfold)


@given("kernels that route every action without deduplication")
def step_mutated_actions(context):
    decide = ActionsDecider.decide

    def route_directly(self, message, now_ms):
        if isinstance(message, RequestArrived):
            return (RouteRequest(request=message.request),)
        return decide(self, message, now_ms)

    patch(context, "damaskrill.actions.ActionsDecider.decide", route_directly)


@when("a surge is injected into the fleet")
def step_surge(context):
    run_plan(context, [(("surge",), 1)])


@then("the load invariant is violated")
def step_load_violated(context):
    assert any("had load" in each for each in context.violations)


@then("the at-most-once invariant of actions is violated")
def step_action_violated(context):
    assert any("was run" in each for each in context.violations)
