"""Steps for requests that a stopping gateway accepts late in its grace period."""

import asyncio

from attrs import evolve
from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from features.support.gateways import Caller, CallerReply, build_request


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
