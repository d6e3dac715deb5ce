"""Steps for servers that send nothing for a while and then go on."""

import asyncio
import time

from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from damaskrill.fakes.platform import build_configuration as build_content
from damaskrill.steering import (
    FleetRetryBudget,
    caller_patience_ms,
    short_id,
    silence_limit_ms,
)
from damaskrill.utils import monotonic_now_ms
from features.support.builders import build_stream_route
from features.support.gateways import PROMPT, Caller, build_request

ENGINES = ("e-1", "e-2")
# Time after which the stream of a check has begun.
BEGUN_S = 0.3


def find_first_engine(context):
    """Return the engines in the order in which the prompt's requests try them."""
    reply = context.testbed.send("/check/1", headers=[PROMPT])
    assert reply.is_complete, reply
    runs = context.testbed.runs_by_server()
    return sorted(ENGINES, key=lambda name: -runs[name])


@given(
    "the first engine of a prompt is silent for {silence_ms:d} ms "
    "after {n_events:d} events"
)
def step_silent_engine(context, silence_ms, n_events):
    first, other = find_first_engine(context)
    context.first = context.testbed.servers[first]
    context.other = context.testbed.servers[other]
    context.first.misbehaviour = Misbehaviour.PAUSE
    context.first.silence_ms = silence_ms
    context.first.n_events_before_silence = n_events
    context.change_meanwhile = None


@given('app server "{name}" is silent for {silence_ms:d} ms')
def step_silent_app(context, name, silence_ms):
    context.first = context.testbed.servers[name]
    context.other = context.testbed.servers["a-2" if name == "a-1" else "a-1"]
    context.first.misbehaviour = Misbehaviour.PAUSE
    context.first.silence_ms = silence_ms


@given("the other engine is full")
@given("the other app server is full")
def step_other_full(context):
    context.other.misbehaviour = Misbehaviour.FULL


@given("the other engine refuses connections")
@given("the other app server refuses connections")
def step_other_refuses(context):
    context.testbed.call(context.other.close)


@given("no other engine is registered")
def step_no_other(context):
    testbed, gateway = context.testbed, context.testbed.gateways[0]
    name = context.other.server_id
    testbed.change_entry(name, state="draining")
    assert testbed.wait_for(lambda: gateway._catalog._servers[name].server.is_leaving)


@given("the first engine of a prompt breaks its streams off after 2 events")
def step_breaking_engine(context):
    step_silent_engine(context, 0, 2)
    context.first.misbehaviour = Misbehaviour.CUT


@given("the other engine is full for {duration_ms:d} ms from the break on")
def step_full_for_a_while(context, duration_ms):
    context.other.misbehaviour = Misbehaviour.FULL
    end_when_full(context.other, duration_ms)


@given('app server "a-1" breaks off and the other is full for {duration_ms:d} ms')
def step_apps_break_off(context, duration_ms):
    step_silent_app(context, "a-1", 0)
    context.first.misbehaviour = Misbehaviour.CUT
    step_full_for_a_while(context, duration_ms)


def end_when_full(server, duration_ms):
    """Let a server behave some time after it has refused a request as full."""
    refuse = server._refusal_headers

    def refuse_and_recover(request_id):
        asyncio.get_running_loop().call_later(duration_ms / 1_000, recover)
        return refuse(request_id)

    def recover():
        server.misbehaviour = Misbehaviour.NONE

    server._refusal_headers = refuse_and_recover


@given("the other engine hangs")
@given("the other app server hangs")
def step_other_hangs(context):
    context.other.misbehaviour = Misbehaviour.HANG


@given("the other engine takes {event_ms:d} ms for an event")
def step_other_slow(context, event_ms):
    context.other._event_ms = event_ms


@given("the first engine crashes {delay_ms:d} ms after its first event")
def step_first_crashes(context, delay_ms):
    def crash():
        asyncio.get_running_loop().call_later(delay_ms / 1_000, context.first.close)

    context.change_meanwhile = crash


@given("a route with a target of {target_ms:d} ms and pauses of {pause_ms:d} ms")
def step_route(context, target_ms, pause_ms):
    context.route = build_stream_route(target_ms=target_ms, max_pause_ms=pause_ms)


@when("a stream with {remaining_ms:d} ms left falls silent")
def step_falls_silent(context, remaining_ms):
    context.remaining_ms = remaining_ms
    context.silence_ms = silence_limit_ms(
        context.route, has_begun=True, remaining_ms=remaining_ms
    )


@then("it is sought another server after at least {limit_ms:d} ms")
def step_not_before(context, limit_ms):
    assert context.silence_ms >= limit_ms, context.silence_ms


@then("at least {margin_ms:d} ms remain until its caller leaves or its time ends")
def step_in_time(context, margin_ms):
    end_ms = min(caller_patience_ms(context.route), context.remaining_ms)
    assert context.silence_ms + margin_ms <= end_ms, context.silence_ms


@given("the retry budget is used up")
def step_no_budget(context):
    dispatcher = context.testbed.gateways[0]._dispatcher
    dispatcher.budget = FleetRetryBudget(ratio=0, slack=0, window_ms=10_000)


@given("the configuration drops the route's service meanwhile")
def step_service_dropped(context):
    content = build_content(version=2)
    content["routes"] = [
        each for each in content["routes"] if each["service"] != "pool"
    ]
    content["services"] = [
        each for each in content["services"] if each["name"] != "pool"
    ]
    store = context.testbed.store
    context.change_meanwhile = lambda: store.put("op/config", content)


@when("a caller sends a check with that prompt")
def step_check(context):
    testbed = context.testbed
    address = testbed.gateways[0]._settings.caller_address
    data, request_id = build_request("/check/1", headers=[PROMPT])

    async def run():
        caller = await Caller.open(address)
        caller.send(data)
        if context.change_meanwhile is not None:
            await asyncio.sleep(BEGUN_S)
            context.change_meanwhile()
        context.sent_at = time.monotonic()
        reply = await caller.read_reply()
        reply.request_id = request_id
        caller.close()
        return reply

    context.reply = testbed.call(run)


@then("no pause between events exceeds {limit_ms:d} ms")
def step_pauses(context, limit_ms):
    lines = context.testbed.logs[0].lines
    (end,) = (
        line
        for line in lines
        if line["event"] == "request_ended"
        and line["request_id"] == context.reply.request_id
    )
    assert end["longest_pause_ms"] <= limit_ms, end


@then("the silent engine's run was dropped within {limit_ms:d} ms of the other's start")
def step_dropped(context, limit_ms):
    request_id = context.reply.request_id
    (started_at,) = (at for at, each in context.other.arrivals if each == request_id)
    (dropped_at,) = (at for at, each in context.first.drops if each == request_id)
    assert dropped_at - started_at <= limit_ms / 1_000, (started_at, dropped_at)


@given("servers crash under a part of that prompt meanwhile")
def step_part_crashes(context):
    gateway = context.testbed.gateways[0]
    # The last shared part of the prompt.
    parts = [short_id(PROMPT[1].split(",")[-2].partition(":")[0])]

    def crash():
        now_ms = monotonic_now_ms()
        for number in range(3):
            key = (f"e-crashed-{number}", 0)
            gateway._crashes.record_crash(key, parts, now_ms - 5_000 + 200 * number)
        # They had been served until then.
        for part in parts:
            gateway._crashes._served._served.pop(part, None)

    context.change_meanwhile = crash


@then("no retry was taken from the budget")
def step_no_retry(context):
    dispatcher = context.testbed.gateways[0]._dispatcher
    assert not dispatcher.budget.n_retries("pool")


@given("an internal check fails when another server is sought")
def step_internal_error(context):
    dispatcher = context.testbed.gateways[0]._dispatcher
    select = dispatcher.select

    def fail_on_hand_over(*args, **options):
        if options.get("only_healthy"):
            raise AssertionError("internal check")
        return select(*args, **options)

    dispatcher.select = fail_on_hand_over


@when("a caller sends a check with that prompt and then a read on the same connection")
def step_check_and_read(context):
    address = context.testbed.gateways[0]._settings.caller_address
    check, context.check_id = build_request("/check/1", headers=[PROMPT])
    read, context.read_id = build_request("/read/1", method="GET", body=b"")

    async def run():
        caller = await Caller.open(address)
        caller.send(check)
        await caller.read_reply()
        # Long enough for what the silent engine sends afterwards.
        await asyncio.sleep(1.0)
        caller.send(read)
        reply = await caller.read_reply()
        caller.close()
        return reply

    context.reply = context.testbed.thread.run(run())


@then("the read is answered with its own answer, or the connection was closed before")
def step_own_read(context):
    reply = context.reply
    if reply.status:
        assert reply.status == 200, reply
        assert context.read_id.encode() in reply.body, reply


@then("the silent engine's run was dropped within {limit_ms:d} ms")
def step_run_dropped(context, limit_ms):
    assert context.testbed.wait_for(
        lambda: context.check_id in [each for _, each in context.first.drops],
        limit_ms / 1_000,
    )
