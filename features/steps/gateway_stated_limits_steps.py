"""Steps for servers that limit the rate of their requests."""

import asyncio

from behave import then, when

from features.steps.gateway_leaving_and_pauses_steps import send_read
from features.support.gateways import Caller, build_request

# The users count requests in any window of this length, from routers that have passed
# on an answer with the limit so long before.
WINDOW_S = 4.0
TOLD_S = 0.5


@when('server "{name}" states a limit of "{value}" requests a second')
def step_states_limit(context, name, value):
    context.testbed.servers[name].rate_limit = value.encode()


@when('server "{name}" states no limit any more')
def step_states_none(context, name):
    context.testbed.servers[name].rate_limit = None


@when('the first gateway gets reads until it has sent {n:d} to "{name}"')
def step_reads(context, n, name):
    server = context.testbed.servers[name]
    wanted = len(server.requests) + n

    def has_sent():
        send_read(context)
        return len(server.requests) >= wanted

    assert context.testbed.wait_for(has_sent)


@when("both gateways get {per_s:d} reads a second for {seconds:d} s")
def step_load(context, per_s, seconds):
    context.replies = context.testbed.thread.run(send_reads(context, per_s, seconds))


async def send_reads(context, per_s, seconds):
    tasks = []
    for _ in range(per_s * seconds):
        for gateway in context.testbed.gateways:
            tasks.append(asyncio.create_task(send_one(gateway)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


@when(
    "both gateways get {per_s:d} reads a second for {seconds:d} s, and the entry of "
    '"{name}" lapses for {lapse_ms:d} ms each second'
)
def step_load_with_lapses(context, per_s, seconds, name, lapse_ms):
    store, key = context.testbed.store, f"servers/{name}"
    entry = context.testbed.entries[name]

    async def lapse():
        for _ in range(seconds):
            await asyncio.sleep(1 - lapse_ms / 1_000)
            store.delete(key)
            await asyncio.sleep(lapse_ms / 1_000)
            store.put(key, entry)

    async def run():
        replies, _ = await asyncio.gather(send_reads(context, per_s, seconds), lapse())
        return replies

    context.replies = context.testbed.thread.run(run())


async def send_one(gateway):
    data, _ = build_request("/read/1", method="GET", body=b"")
    caller = await Caller.open(gateway._settings.caller_address)
    caller.send(data)
    reply = await caller.read_reply()
    caller.close()
    return reply


def arrivals_after_first(server):
    times = [at for at, _ in server.arrivals]
    return [at for at in times if at >= times[0] + TOLD_S]


@then(
    '"{name}" gets at most {n:d} requests in any 4 s from 0.5 s after its first answer '
    "on"
)
def step_within_limit(context, name, n):
    times = arrivals_after_first(context.testbed.servers[name])
    counts = [sum(start <= at < start + WINDOW_S for at in times) for start in times]
    assert max(counts, default=0) <= n, max(counts)


@then('"{name}" gets at least {n:d} requests in that time')
def step_is_used(context, name, n):
    assert len(arrivals_after_first(context.testbed.servers[name])) >= n


@then("all reads are answered")
def step_all_answered(context):
    assert {each.status for each in context.replies} == {200}


@when("a third gateway starts and is ready")
def step_third(context):
    context.third = context.testbed.add_gateway()
    context.testbed.wait_until_ready(context.third)


@then("within {limit_ms:d} ms the third gateway knows a limit")
def step_knows_limit(context, limit_ms):
    limits = context.third._limits
    assert context.testbed.wait_for(lambda: limits.n_limited, limit_ms / 1_000)
