"""Steps for answers without a length or without an end, and for fatal prompt parts."""

import itertools
import time

from behave import given, then, when

from damaskrill.fakes.platform import UnframedHead
from features.support.gateways import PROMPT, Caller, build_request

ENGINES = ("e-1", "e-2")


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


@given("all servers send answers that end with their connection")
def step_unframed(context):
    for server in context.testbed.servers.values():
        server.is_unframed = True


@given('part "{part}" is fatal to both engines')
def step_fatal_part(context, part):
    context.crashed = []
    for name in ENGINES:
        server = context.testbed.servers[name]
        server.fatal_parts = {part}
        server.on_crash = lambda name=name: context.crashed.append(name)


@then("the reply is a failure within {limit_ms:d} ms")
def step_failure(context, limit_ms):
    assert context.reply.status in (502, 504), context.reply
    assert context.reply.elapsed_ms <= limit_ms, context.reply


@then("no server is still sending {delay_ms:d} ms later")
def step_not_sending(context, delay_ms):
    servers = context.testbed.servers.values()
    assert context.testbed.wait_for(
        lambda: not any(each._tasks for each in servers), timeout_s=delay_ms / 1_000
    )


@then("one of the engines has crashed")
def step_one_crashed(context):
    assert len(context.crashed) == 1, context.crashed
