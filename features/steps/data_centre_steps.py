"""Steps for data centres that are taken out of and put back into service."""

from behave import given, then, when

from damaskrill.admission._ramp import ColdStartRamp
from damaskrill.messages import Completed, EventName, LoadReported, LoggedEvent
from features.support.faults import (
    WORK_START_MS,
    build_fleet_members,
    build_fleet_text,
)
from features.support.pump import Pump
from features.support.workload import Workload

WARM_MS = 15_000
LOAD_MS = 60_000
GRACE_MS = 3_000
LIST_DELAY_MS = 4_000
COLD_LOAD = 2


@given("a fleet under load in three data centres, seed {seed:d}")
def step_fleet(context, seed):
    context.pump = Pump(
        text=build_fleet_text(), members=build_fleet_members(), random_state=seed
    )
    work = Workload(
        pump=context.pump, random_state=seed, end_ms=WORK_START_MS + WARM_MS + LOAD_MS
    )
    work.start(start_ms=WORK_START_MS)
    context.pump.run_until(WORK_START_MS + WARM_MS)


@when('the data centre "{name}" is taken out for {duration_s:d} s')
def step_out(context, name, duration_s):
    pump = context.pump
    context.out_at_ms = pump.now_ms
    pump.publish(build_fleet_text(out=(name,)))
    pump.run_until(pump.now_ms + duration_s * 1_000)
    context.back_at_ms = pump.now_ms
    pump.publish(build_fleet_text(marker=1))


@when("the data centre's return is awaited")
def step_back(context):
    context.pump.run_until(context.back_at_ms + 15_000)


@when('the host list names "{name}" as leaving')
def step_list_leaving(context, name):
    pump = context.pump
    address = pump.latest_text.backend_servers[name].address
    pump.set_leaving_servers([address])
    context.listed_at_ms = pump.now_ms
    pump.run_until(pump.now_ms + 20_000)


def dispatches_to(context, wanted, first_ms, last_ms):
    servers = context.pump.latest_text.backend_servers
    return [
        each
        for each in context.pump.dispatches
        if first_ms <= each.at_ms < last_ms
        and wanted
        in (
            each.attempt.backend_server,
            servers[each.attempt.backend_server].data_centre,
        )
    ]


@then('from 3 s later, no new work went to "{name}"')
def step_no_work(context, name):
    before = dispatches_to(context, name, 0, context.out_at_ms)
    first_ms = context.out_at_ms + GRACE_MS
    found = dispatches_to(context, name, first_ms, context.back_at_ms)
    assert before and not found, [each.at_ms for each in found]


def requests_around(context):
    context.pump.run_until(context.back_at_ms + 30_000)
    return [
        each
        for each in context.pump.requests.values()
        if context.out_at_ms - 2_000 <= each.sent_at_ms < context.back_at_ms
    ]


@then("every request sent around that time got one outcome")
def step_one_outcome(context):
    wrong = [each for each in requests_around(context) if len(each.outcomes) != 1]
    assert not wrong, wrong[:3]


@then("at least {percent:d} of 100 of them completed")
def step_completed(context, percent):
    sent = requests_around(context)
    n_completed = sum(isinstance(each.outcomes[0], Completed) for each in sent)
    assert n_completed * 100 >= percent * len(sent), (n_completed, len(sent))


@then('in the first second no server of "{name}" exceeded its cold load')
def step_cold(context, name):
    pump = context.pump
    for server in pump.latest_text.backend_servers.values():
        if server.data_centre == name:
            loads = [
                load
                for at_ms, load in pump.loads[server.name]
                if context.back_at_ms <= at_ms < context.back_at_ms + 1_000
            ]
            assert max(loads, default=0) <= COLD_LOAD, (server.name, loads)


@then('"{name}" received work within 15 s of its return')
def step_work_again(context, name):
    back_ms = context.back_at_ms
    assert dispatches_to(context, name, back_ms, back_ms + 15_000)


@then('from 3 s after the list shows it, no new work went to "{name}"')
def step_listed(context, name):
    first_ms = context.listed_at_ms + LIST_DELAY_MS + GRACE_MS
    before = dispatches_to(context, name, 0, context.listed_at_ms)
    found = dispatches_to(context, name, first_ms, context.pump.now_ms)
    assert before and not found, [each.at_ms for each in found]


@then('each router logged that "{name}" went out of service and returned')
def step_logged(context, name):
    seen = {
        (address, effect.name)
        for _, address, effect in context.pump.logged
        if isinstance(effect, LoggedEvent) and effect.data_centre == name
    }
    for address in context.pump.routers:
        for event in (EventName.DATA_CENTRE_OUT, EventName.DATA_CENTRE_BACK):
            assert (address, event) in seen, (address, event, seen)


def report_finished(context, n_finished):
    context.ramp_ms += 1_000
    report = LoadReported(
        backend_server="engine-1",
        start_id="a",
        load=0,
        measured_at_ms=context.ramp_ms,
        n_finished=n_finished,
    )
    context.ramp.handle_report(report, min_own_load=0, now_ms=context.ramp_ms)


@given("a warm server's ramp from {cold:d} to {warm:d} after {n:d} finished requests")
def step_ramp(context, cold, warm, n):
    context.ramp = ColdStartRamp(capacity=warm, cold_load=cold)
    context.ramp_ms = 0
    report_finished(context, n)
    assert context.ramp.bound_at(context.ramp_ms) == warm


@when("its data centre returns and it reports {n:d} finished requests")
def step_ramp_back(context, n):
    context.ramp.discard_history()
    report_finished(context, n)


@when("it reports {n:d} finished requests")
def step_ramp_report(context, n):
    report_finished(context, n)


@then("the ramp allows {n:d} concurrent requests")
def step_ramp_allows(context, n):
    assert context.ramp.bound_at(context.ramp_ms) == n
