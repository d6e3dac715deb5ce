"""Steps for servers that go on with a stream at the wrong piece."""

from attrs import evolve
from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from features.support.gateways import PROMPT, Caller, build_request

N_PIECES = 10


@given('engine "{name}" breaks off each stream in the middle')
def step_break_off(context, name):
    for server in context.testbed.servers.values():
        server._n_events = N_PIECES
    context.testbed.servers[name].misbehaviour = Misbehaviour.CUT


@given('engine "{name}" begins {n:d} pieces too early when it goes on with a stream')
def step_early(context, name, n):
    server = context.testbed.servers[name]
    stream = server._stream

    async def begin_early(connection, request, headers):
        changed = tuple(
            (
                key,
                b"%d" % (int(value) - n) if key.lower() == b"last-event-id" else value,
            )
            for key, value in request.headers
        )
        await stream(connection, evolve(request, headers=changed), headers)

    server._stream = begin_early


@when("{n:d} callers in turn send a check")
def step_send(context, n):
    address = context.testbed.gateways[0]._settings.caller_address

    async def send():
        caller = await Caller.open(address)
        data, request_id = build_request("/check/1", headers=[PROMPT])
        caller.send(data)
        reply = await caller.read_reply()
        caller.close()
        return request_id, reply

    async def run():
        return [await send() for _ in range(n)]

    context.replies = context.testbed.thread.run(run())


def find_numbers(reply):
    lines = reply.body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


def count_joined(context):
    return sum(context.testbed.runs_of(each) > 1 for each, _ in context.replies)


@then("some of them were sent to both engines, and none gets a piece twice")
def step_none_twice(context):
    assert count_joined(context)
    for _, reply in context.replies:
        numbers = find_numbers(reply)
        assert numbers == list(range(1, len(numbers) + 1)), numbers
        assert len(numbers) == N_PIECES or not reply.is_complete, reply


@then("each of them gets each piece once, and some were sent to both engines")
def step_each_once(context):
    assert count_joined(context)
    for _, reply in context.replies:
        assert find_numbers(reply) == list(range(1, N_PIECES + 1)), reply


@given("engines number the pieces of a stream from 0")
def step_from_zero(context):
    for server in context.testbed.servers.values():
        stream = server._stream

        async def begin_at_zero(connection, request, headers, stream=stream):
            if request.find_header(b"last-event-id") is None:
                first = (b"Last-Event-Id", b"-1")
                request = evolve(request, headers=(*request.headers, first))
            await stream(connection, request, headers)

        server._stream = begin_at_zero


@then("each of them gets an answer with status 200 that begins with piece 0")
def step_begins_with_zero(context):
    for _, reply in context.replies:
        assert reply.status == 200 and reply.is_complete, reply
        assert find_numbers(reply) == list(range(N_PIECES + 1)), reply
