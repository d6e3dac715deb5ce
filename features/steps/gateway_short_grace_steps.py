"""Steps for requests that a stopping gateway accepts late in its grace period."""

import asyncio

from attrs import evolve
from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from features.support.gateways import Caller, CallerReply, build_request

# Idle connections are still open at its end.
SHORT_GRACE_MS = 1_000


@given("both app servers are silent for {silence_ms:d} ms before they answer")
def step_both_silent(context, silence_ms):
    for name in ("a-1", "a-2"):
        context.testbed.servers[name].misbehaviour = Misbehaviour.PAUSE
        context.testbed.servers[name].silence_ms = silence_ms


@when(
    "a caller sends an issuance {n:d} ms after SIGTERM "
    "to a gateway with {grace_ms:d} ms"
)
def step_late_issuance(context, n, grace_ms):
    testbed = context.testbed
    gateway = testbed.gateways[0]
    gateway._settings = evolve(gateway._settings, grace_ms=grace_ms)

    async def run():
        stopping = asyncio.get_running_loop().create_task(gateway.stop())
        await asyncio.sleep(n / 1_000)
        caller = await Caller.open(gateway._settings.caller_address)
        caller.send(build_request("/issue/1")[0])
        reply = CallerReply()
        try:
            async with asyncio.timeout((grace_ms - n) / 1_000):
                reply = await caller.read_reply()
        except TimeoutError:
            # The process would have been killed by now.
            pass
        caller.close()
        await stopping
        return reply

    context.reply = testbed.call(run)


@then("its answer is complete")
def step_complete(context):
    assert context.reply.status == 200 and context.reply.is_complete, context.reply


@when("a caller whose connection is open sends an issuance as the process exits")
def step_at_exit(context):
    gateway = context.testbed.gateways[0]
    gateway._settings = evolve(gateway._settings, grace_ms=SHORT_GRACE_MS)
    data, context.request_id = build_request("/issue/1")

    async def run():
        caller = await Caller.open(gateway._settings.caller_address)
        await gateway.stop()
        # The process ends some iterations later.
        caller.send(data)
        return await caller.read_reply()

    context.reply = context.testbed.thread.run(run())


@then("no server has received the issuance")
def step_not_received(context):
    for server in context.testbed.servers.values():
        assert context.request_id not in [each for _, each in server.arrivals]


@then("the caller's connection was closed without an answer")
def step_closed(context):
    assert context.reply.status == 0, context.reply
