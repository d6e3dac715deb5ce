"""Steps for requests through peers of which one stops."""

import asyncio
import time

from behave import given, then, when

from features.support.gateways import PROMPT, Caller, build_request

N_EVENTS = 10
# So that the process does not end before the grace period does.
CHAT_AFTER_S = 1.5
READS = {"path": "/read/1", "method": "GET", "body": b""}
CHATS = {"path": "/chat/1", "headers": [PROMPT]}


@given("engines send the {n:d} events of a stream within {duration_ms:d} ms")
def step_long_streams(context, n, duration_ms):
    for server in context.testbed.servers.values():
        server._n_events, server._event_ms = n, duration_ms / n


async def stop(context, gateway):
    stopping = asyncio.get_running_loop().create_task(gateway.stop())
    context.stopping = stopping


async def send(gateway, options):
    caller = await Caller.open(gateway._settings.caller_address)
    caller.send(build_request(**options)[0])
    reply = await caller.read_reply()
    caller.close()
    return reply


@when("the second gateway stops with a chat of its own")
def step_stop(context):
    second = context.testbed.gateways[1]
    context.testbed.call(stop, context, second)
    time.sleep(CHAT_AFTER_S)

    async def begin():
        context.own = asyncio.create_task(send(second, CHATS))

    context.testbed.call(begin)


@when("{delay_ms:d} ms later {n:d} callers send a {kind} to the first")
def step_send_through_peers(context, delay_ms, n, kind):
    time.sleep(delay_ms / 1_000)
    first = context.testbed.gateways[0]
    options = READS if kind == "read" else CHATS

    async def run():
        return await asyncio.gather(*(send(first, options) for _ in range(n)))

    context.replies = context.testbed.thread.run(run())


@then("each of them gets the whole stream")
def step_whole_streams(context):
    last = b"id: %d\n" % N_EVENTS
    failed = [e for e in context.replies if not e.is_complete or last not in e.body]
    assert not failed, (len(failed), failed[0])


@then("each of them gets an answer with status 200")
def step_all_served(context):
    statuses = [each.status for each in context.replies]
    assert statuses == [200] * len(statuses), statuses


@when("the first gateway stops and finds its path again")
def step_path_back(context):
    first = context.testbed.gateways[0]
    context.testbed.call(stop, context, first)
    context.testbed.call(first._relay.record_heard)
    time.sleep(0.5)


@then("its peers do not send requests through it")
def step_not_offered(context):
    first, *peers = context.testbed.gateways
    address = first._members.own.address
    entries = [
        each
        for peer in peers
        for each in peer._members.peers()
        if each.address == address
    ]
    assert len(entries) == len(peers)
    assert not any(each.has_path for each in entries), entries
