"""Steps for five router processes, three of which fail in different ways."""

import signal
import time
from collections import Counter

from behave import given, then, when

from damaskrill.demo import LoopbackFleet
from features.support.processes import (
    DATA_CENTRES,
    PAUSE_S,
    WAIT_S,
    CallersUnderFaults,
    ServedRouter,
    build_hosts,
    free_address,
    is_answer_exact,
    wait_for,
)
from features.support.reactor_thread import get_reactor_thread

KILLED, PAUSED, STOPPED = 1, 2, 3


@given("five router processes in three data centres with a fake platform")
def step_five_processes(context):
    thread = get_reactor_thread()
    from twisted.internet import reactor

    fleet = LoopbackFleet(
        reactor=reactor,
        n_routers=0,
        n_engines=5,
        data_centres=DATA_CENTRES,
        token_interval_ms=10,
        bearable_load=16,
    )
    context.fleet = fleet
    context.add_cleanup(lambda: thread.run(fleet.stop()))
    thread.run(fleet.start())
    context.five = [
        ServedRouter(
            data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
            peer_address=free_address(),
            fleet=fleet,
        )
        for n in range(5)
    ]
    fleet.platform.host_list.set_hosts(build_hosts(context.five), 0)
    for router in context.five:
        router.start()
        context.add_cleanup(router.kill)
    wait_for(lambda: all(router.is_ready() for router in context.five))


@when("callers send chats and actions while one is killed, one paused, one stopped")
def step_callers_under_faults(context):
    five = context.five

    def pause():
        five[PAUSED].process.send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        five[PAUSED].process.send_signal(signal.SIGCONT)

    def stop():
        five[STOPPED].process.send_signal(signal.SIGTERM)
        # The platform's load balancer sends callers there until it sees the refusal.
        wait_for(lambda: five[STOPPED].refuses_callers())
        five[STOPPED].accepts_callers = False

    context.callers = CallersUnderFaults(routers=five)
    context.callers.run(
        [(40, five[KILLED].process.kill), (70, pause), (110, stop)],
    )


@then(
    "each caller of a process that was not killed has a complete answer or an outcome"
)
def step_outcomes(context):
    killed = context.five[KILLED]
    for record in context.callers.records:
        if record.error is not None:
            assert record.router is killed, (context.five.index(record.router), record)
        elif record.reply.outcome_name == "completed":
            assert record.permit or is_answer_exact(record), record
        else:
            assert record.reply.outcome_name in ("not_run", "unknown"), record
            assert record.reply.sentence, record


@then("no action has run twice, and no refused action has run")
def step_actions(context):
    runs = context.fleet.action_server.service.runs
    assert max(runs.values()) == 1, runs
    for record in context.callers.records:
        if record.reply is None or not record.permit:
            continue
        if record.reply.outcome_name == "not_run":
            assert runs[record.permit] == 0, record
        if record.reply.outcome_name == "completed":
            assert runs[record.permit] == 1, record


@then("at least 75 % of the calls to the processes without a fault were completed")
def step_most_completed(context):
    faulty = (context.five[KILLED], context.five[PAUSED], context.five[STOPPED])
    names = Counter(
        record.reply.outcome_name if record.reply else str(record.error)
        for record in context.callers.records
        if record.router not in faulty
    )
    assert names["completed"] >= 0.75 * names.total(), names


@then("the stopped process has ended with status 0")
def step_stopped_status(context):
    assert context.five[STOPPED].process.wait(WAIT_S) == 0
