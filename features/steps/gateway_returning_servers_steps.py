"""Steps for servers that return while the store is away."""

import asyncio
import re
import time

from behave import given, then, when

from damaskrill.catalog import BackendServer
from damaskrill.fakes.platform import FakeServer, build_configuration
from damaskrill.http1 import AnswerHead
from damaskrill.platform._statements import read_cold_ms
from damaskrill.steering import ReturningServers
from features.steps.gateway_stated_limits_steps import send_one
from features.support.gateways import GatewayTestbed

COLD_S = 3.0
COLD_PER_S = 10.0
# Time in which a closed port can be opened again.
PORT_FREE_S = 0.05


@given(
    'a platform with app servers "{one}", "{two}" and "{three}" that are cold at their '
    "start"
)
def step_platform(context, one, two, three):
    testbed = context.testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    content = build_configuration()
    for service in content["services"]:
        if service["name"] == "app":
            service |= {"coldS": COLD_S, "coldPerS": COLD_PER_S}
    testbed.call(testbed.store.put, "op/config", content)
    for name in (one, two, three):
        testbed.add_server(name, "app")


@when("all gateways get {per_s:d} reads a second for {seconds:d} s in all")
def step_reads(context, per_s, seconds):
    context.load = (per_s, seconds)


async def send_reads(context):
    per_s, seconds = context.load
    gateways, tasks = context.testbed.gateways, []
    context.ends_at = time.monotonic() + seconds
    started_at = time.monotonic()
    for number in range(per_s * seconds):
        await asyncio.sleep(max(0.0, started_at + number / per_s - time.monotonic()))
        tasks.append(asyncio.create_task(send_one(gateways[number % len(gateways)])))
    return await asyncio.gather(*tasks)


def start_again(context, name, cold_ms):
    testbed = context.testbed
    _, port = testbed.servers[name].address
    server = FakeServer(reactor=testbed.reactor, server_id=name, port=port)
    server.started_at_ms = 5_000
    server.cold_until = time.monotonic() + cold_ms / 1_000
    testbed.servers[name] = server


@when(
    '"{name}" crashes after {crash_ms:d} ms, and starts again after {away_ms:d} ms, '
    "cold for {cold_ms:d} ms"
)
def step_crash(context, name, crash_ms, away_ms, cold_ms):
    async def crash():
        await asyncio.sleep(crash_ms / 1_000)
        context.testbed.servers[name].close()
        await asyncio.sleep(away_ms / 1_000)
        start_again(context, name, cold_ms)

    play(context, crash())


@when('"{name}" resets its connections after {reset_ms:d} ms')
def step_reset(context, name, reset_ms):
    async def reset():
        await asyncio.sleep(reset_ms / 1_000)
        server = context.testbed.servers[name]
        server.close()
        _, port = server.address
        await asyncio.sleep(PORT_FREE_S)
        again = FakeServer(reactor=context.testbed.reactor, server_id=name, port=port)
        context.testbed.servers[name] = again

    play(context, reset())


def play(context, trouble):
    async def run():
        replies, _ = await asyncio.gather(send_reads(context), trouble)
        return replies

    context.replies = context.testbed.thread.run(run())


@then('"{name}" gets at most {n:d} requests in any second while it is cold')
def step_at_most(context, name, n):
    server = context.testbed.servers[name]
    times = [at for at, _ in server.arrivals if at < server.cold_until]
    counts = [sum(start <= at < start + 1 for at in times) for start in times]
    assert 0 < max(counts, default=0) <= n, max(counts, default=0)


@then('"{name}" gets at least {n:d} requests in the last second')
def step_at_least(context, name, n):
    arrivals = context.testbed.servers[name].arrivals
    n_last = sum(context.ends_at - 1 <= at < context.ends_at for at, _ in arrivals)
    assert n_last >= n, n_last


@then("at least {percent:d} % of the reads are served")
def step_served(context, percent):
    n_served = sum(each.status == 200 for each in context.replies)
    assert n_served >= percent / 100 * len(context.replies), n_served


@when('the health of server "{name}" is answered with {answer}')
def step_health(context, name, answer):
    match = re.fullmatch(r'(\d+) by "(\S+)"(?: cold for "(\S+)")?', answer)
    status, instance, cold = match.groups()
    headers = [(b"Damaskrill-Instance-Id", instance.encode())]
    if cold is not None:
        headers.append((b"Damaskrill-Cold-Ms", cold.encode()))
    server = BackendServer(server_id=name, service="app", address=("127.0.0.1", 1))
    head = AnswerHead(status=int(status), headers=tuple(headers))
    context.cold_ms = read_cold_ms(head, server)


@then("it says {cold}")
def step_says(context, cold):
    wanted = None if cold == "nothing" else int(cold.removesuffix(" ms"))
    assert context.cold_ms == wanted


@given("a server that is lost at {lost_ms:d} ms, with {statement}")
def step_lost(context, lost_ms, statement):
    context.returning = ReturningServers()
    context.returning.record_lost(("a-1", 1), lost_ms)
    match = re.fullmatch(r"(\d+) ms stated and asked (\d+)", statement)
    if match is not None:
        cold_ms, asked_ms = map(int, match.groups())
        context.returning.record_stated(
            ("a-1", 1), cold_ms, asked_at_ms=asked_ms, now_ms=asked_ms
        )


@then("at {at_ms:d} ms, with the store {store}, it counts as {state}")
def step_counts(context, at_ms, store, state):
    is_cold = context.returning.is_cold(
        ("a-1", 1),
        at_ms,
        cold_duration_ms=COLD_S * 1_000,
        is_listed=store == "there",
    )
    assert is_cold == (state == "cold")
