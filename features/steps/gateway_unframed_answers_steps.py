"""Steps for answers that have neither length nor chunks."""

import itertools
import time

from behave import given, then, when

from damaskrill.fakes.platform import UnframedHead
from features.support.gateways import PROMPT, Caller, build_request


@given("all servers answer with a head of {head}")
def step_head(context, head):
    for server in context.testbed.servers.values():
        server.unframed_head = UnframedHead(head)


@then("the body is the server's whole answer")
def step_whole(context):
    expected = b'{"answer": "%b"}' % context.reply.request_id.encode()
    assert context.reply.is_complete and context.reply.body == expected, context.reply


@then("the gateway has opened a connection for each of the {n:d}")
def step_not_reused(context, n):
    assert context.testbed.gateways[0]._dispatcher.pool.n_opened == n


@when("a caller reads the parts of a chat")
def step_read_parts(context):
    address = context.testbed.gateways[0]._settings.caller_address

    async def run():
        caller = await Caller.open(address)
        caller.send(build_request("/chat/1", headers=[PROMPT])[0])
        await caller.reader.readuntil(b"\r\n\r\n")
        times = []
        while int((await caller.reader.readuntil(b"\r\n")).strip(), 16):
            await caller.reader.readuntil(b"\n\n\r\n")
            times.append(time.monotonic())
        caller.close()
        return times

    context.times = context.testbed.call(run)


@then("{n:d} parts arrive, each at least {pause_ms:d} ms after the one before")
def step_as_they_come(context, n, pause_ms):
    pauses = [after - before for before, after in itertools.pairwise(context.times)]
    assert len(context.times) == n, context.times
    assert min(pauses) >= pause_ms / 1_000, pauses
