"""Steps for signals to a router process that is ending."""

import signal
import time

from behave import given, then, when

from features.support.gateways import PROMPT, Caller, GatewayTestbed, build_request
from features.support.router_process import RouterProcess

LIMIT_S = 20
START_S = 15
# Grace period of the settings of `RouterProcess`.
GRACE_S = 4
SIGNAL_S = 0.05


def _start_router(context, **options):
    context.testbed = testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    testbed.configure()
    testbed.add_server("e-1", "pool", n_events=100, event_ms=100)
    context.router = router = RouterProcess(
        service="pool", seeds=[], store=testbed.store.address, **options
    )
    context.add_cleanup(router.close)


@given("a router process that serves")
def step_process(context, **options):
    _start_router(context, **options)
    assert context.testbed.wait_for(
        lambda: b'"configuration_received"' in context.router.log.read_bytes(),
        timeout_s=START_S,
    )


@given(
    "a router process that serves and whose interpreter takes {ms:d} ms to tear down"
)
def step_slow_teardown(context, ms):
    step_process(context, teardown_s=ms / 1_000)


@when("it gets SIGTERM, and then {name} each {interval_ms:d} ms until it has ended")
def step_signals(context, name, interval_ms):
    process = context.router._process
    process.send_signal(signal.SIGTERM)
    ends_at = time.monotonic() + LIMIT_S
    while process.poll() is None and time.monotonic() < ends_at:
        time.sleep(interval_ms / 1_000)
        process.send_signal(signal.Signals[name])


@then("its exit status is {status:d}")
def step_status(context, status):
    assert context.router._process.returncode == status, (
        context.router._process.returncode
    )


def _connect(context):
    async def connect():
        try:
            context.caller = await Caller.open(context.router.callers)
        except OSError:
            return False
        return True

    testbed = context.testbed
    return testbed.wait_for(lambda: testbed.call(connect), timeout_s=START_S)


@given("a router process that has only opened its port for callers")
def step_starting(context):
    _start_router(context)
    assert _connect(context)


@when("it gets SIGTERM, is held up for {ms:d} ms, and a caller sends a chat of {n:d} s")
def step_long_chat(context, ms, n):
    context.stopped_at = time.monotonic()
    context.router.stop()
    # It takes the signal before it is held up, as by a slow start.
    time.sleep(SIGNAL_S)
    context.router.freeze()
    time.sleep(ms / 1_000)
    context.router.thaw()
    _send_chat(context, n)


@when("it gets SIGTERM, and a caller that is connected goes on with a chat of {n:d} s")
def step_connected_chat(context, n):
    assert _connect(context)
    context.stopped_at = time.monotonic()
    context.router.stop()
    _send_chat(context, n)


def _send_chat(context, duration_s):
    deadline = ("Damaskrill-Request-Deadline", f"{duration_s + 5}000")
    chat = build_request("/chat/1", headers=[PROMPT, deadline])[0]
    context.testbed.call(context.caller.send, chat)


@then("it ends before it would be killed")
def step_ends_in_time(context):
    assert context.testbed.wait_for(
        lambda: context.router._process.poll() is not None, timeout_s=LIMIT_S
    )
    elapsed_s = time.monotonic() - context.stopped_at
    assert elapsed_s < GRACE_S, elapsed_s


@then("its last line tells that it has stopped")
def step_last_line(context):
    last = context.router.log.read_bytes().splitlines()[-1]
    assert b'"process_stopped"' in last, last
