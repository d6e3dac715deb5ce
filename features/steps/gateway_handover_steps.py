"""Steps for the hand-over of a request from a silent server to another one."""

import asyncio
import time

from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from features.support.gateways import PROMPT, Caller, build_request

CONNECT_TIMEOUT_S = 0.35
MAX_READS = 8


def delay_server(server, delay_ms):
    """Let a server wait before it handles a request, like one with a queue."""
    run = server._run

    async def run_later(connection, request):
        await asyncio.sleep(delay_ms / 1_000)
        await run(connection, request)

    server._run = run_later


@given("the other app server answers after {delay_ms:d} ms")
def step_other_answers_late(context, delay_ms):
    delay_server(context.other, delay_ms)


@given("the other app server refuses requests after {delay_ms:d} ms")
@given("the other engine refuses requests after {delay_ms:d} ms")
def step_other_refuses_late(context, delay_ms):
    delay_server(context.other, delay_ms)
    context.other.misbehaviour = Misbehaviour.FULL


@given("the other engine answers with status {status:d}")
def step_other_status(context, status):
    async def run(connection, request):
        request_id = request.find_header(b"damaskrill-request-id")
        headers = (
            (b"Damaskrill-Request-Id", request_id),
            (b"Damaskrill-Response-Seal", b"seal"),
        )
        connection.send_answer(status, headers, b"")

    context.other._run = run


@given(
    'app server "{name}" misbehaves by {fault} {delay_ms:d} ms after a caller\'s read'
)
def step_fails_later(context, name, fault, delay_ms):
    server = context.testbed.servers[name]
    run = server._run

    async def run_and_fail(connection, request):
        def fail():
            server.misbehaviour = Misbehaviour(fault)

        asyncio.get_running_loop().call_later(delay_ms / 1_000, fail)
        await run(connection, request)

    server._run = run_and_fail


@given("connections to the other engine time out")
def step_connect_timeouts(context):
    pool = context.testbed.gateways[0]._dispatcher.pool
    open_connection = pool.open
    other_id = context.other.server_id

    async def open_or_time_out(key, address, **limits):
        if key[0] == other_id:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise OSError("timed out")
        return await open_connection(key, address, **limits)

    pool.open = open_or_time_out


@given("connections to both app servers hang")
def step_connects_hang(context):
    pool = context.testbed.gateways[0]._dispatcher.pool

    async def hang(key, address, *, limit_ms):
        await asyncio.sleep(min(CONNECT_TIMEOUT_S, limit_ms / 1_000))
        raise OSError("timed out")

    pool.open = hang


@given("the gateway's counts of prompts are observed")
def step_observe_counts(context):
    hot_keys = context.testbed.gateways[0]._dispatcher._selector._hot_keys
    record = hot_keys.record_request
    context.counted_keys = []

    def record_and_keep(key, now_ms):
        context.counted_keys.append(key)
        record(key, now_ms)

    hot_keys.record_request = record_and_keep


@when('callers send reads until one has gone to "{name}" first')
def step_reads_until(context, name):
    testbed = context.testbed
    server = testbed.servers[name]
    context.replies = []
    for _ in range(MAX_READS):
        reply = testbed.send("/read/1", method="GET", body=b"")
        context.replies.append(reply)
        arrivals = [
            (at, each.server_id)
            for each in (server, context.other)
            for at, request_id in each.arrivals
            if request_id == reply.request_id
        ]
        if min(arrivals)[1] == name:
            context.reply = reply
            return
    raise AssertionError("no read went to that server first")


@then("all these reads are answered with 200")
def step_reads_answered(context):
    seen = [(each.status, round(each.elapsed_ms)) for each in context.replies]
    assert all(status == 200 for status, _ in seen), seen


@then('the read that went to "{name}" first is answered with 200')
def step_read_answered(context, name):
    reply = context.reply
    assert reply.status == 200, (reply.status, reply.elapsed_ms)


@when("a caller of a check leaves while its held answer is complete")
def step_leaves_while_held(context):
    testbed = context.testbed
    address = testbed.gateways[0]._settings.caller_address
    first_data, _ = build_request("/check/1", headers=[PROMPT])
    second_data, context.second_id = build_request("/chat/1", headers=[PROMPT])

    async def run():
        leaver, second = await Caller.open(address), await Caller.open(address)
        leaver.send(first_data)
        await asyncio.sleep(1.46)
        context.first.misbehaviour = Misbehaviour.NONE
        context.first._event_ms = 100
        second.send(second_data)
        await asyncio.sleep(0.1)
        leaver.close()
        started_at = time.monotonic()
        reply = await second.read_reply()
        reply.elapsed_ms = (time.monotonic() - started_at) * 1_000
        second.close()
        return reply

    context.reply = testbed.call(run)


@then("a second caller whose request uses that connection gets its answer")
def step_second_answered(context):
    reply = context.reply
    (end,) = (
        line
        for line in context.testbed.logs[0].lines
        if line["event"] == "request_ended" and line["request_id"] == context.second_id
    )
    assert reply.is_complete and reply.body.count(b"id: ") == 5, (reply, end)


@when("a caller sends a read with a deadline of {deadline_ms:d} ms")
def step_short_deadline(context, deadline_ms):
    headers = [("Damaskrill-Request-Deadline", str(deadline_ms))]
    context.reply = context.testbed.send(
        "/read/1", method="GET", body=b"", headers=headers
    )


@then("the reply arrives within {limit_ms:d} ms")
def step_reply_in_time(context, limit_ms):
    assert context.reply.elapsed_ms <= limit_ms, context.reply


@then("its prompt was counted at most {limit:d} times")
def step_counted(context, limit):
    assert len(context.counted_keys) <= limit, context.counted_keys


@then("the other engine received it without the silent engine as its cache source")
def step_cache_source(context):
    (request,) = (
        each
        for each in context.other.requests
        if each.find_header(b"damaskrill-request-id")
        == context.reply.request_id.encode()
    )
    host, port = context.first.address
    source = request.find_header(b"kv-fetch")
    assert source != f"{host}:{port}".encode(), source
