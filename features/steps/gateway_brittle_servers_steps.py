"""Steps for servers that fall over if they have to reject many requests."""

import asyncio
import itertools

from behave import given, then, when

from damaskrill.fakes.platform import FakeServer, build_entry
from damaskrill.http1 import AnswerHead
from damaskrill.platform._headers import read_answer
from damaskrill.steering import BrittleServices, ServerOutcome, StatedLimits
from features.steps.gateway_crashing_prompts_steps import step_gateways
from features.support.gateways import Caller, GatewayTestbed, build_request

CAPACITY = 4
WORK_MS = 300
BRITTLE_PER_S = 5
BACK_AFTER_S = 1.5
N_SERVERS = 4
# Two, and a tenth of the servers.
MAX_FALLS = 2
NUMBERS = itertools.count(1)
KEY = ("b-1", 1)
NOW_MS = 20_000.0


@given("a platform with 4 brittle servers")
def step_platform(context):
    testbed = context.testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    testbed.configure()
    context.is_brittle = True
    for _ in range(N_SERVERS):
        testbed.call(start_server, context)


def start_server(context):
    testbed = context.testbed
    server_id = f"b-{next(NUMBERS)}"
    server = FakeServer(reactor=testbed.reactor, server_id=server_id, work_ms=WORK_MS)
    server.capacity = CAPACITY
    server.brittle_per_s = BRITTLE_PER_S if context.is_brittle else None
    loop = asyncio.get_running_loop()
    server.on_crash = lambda: loop.call_later(BACK_AFTER_S, start_server, context)
    testbed.servers[server_id] = server
    entry = build_entry(service="app", address=server.address, slotCount=CAPACITY)
    testbed.entries[server_id] = entry
    testbed.store.put(f"servers/{server_id}", entry)


@when("the servers are not brittle any more")
def step_not_brittle(context):
    context.is_brittle = False
    for server in context.testbed.servers.values():
        server.brittle_per_s = None


@when("all gateways are replaced by 4 new ones")
def step_replace(context):
    testbed = context.testbed
    for gateway in testbed.gateways:
        testbed.call(gateway.close)
    testbed.gateways.clear()
    step_gateways(context, 4)


async def send_read(gateway):
    data, request_id = build_request("/read/1", method="GET", body=b"")
    caller = await Caller.open(gateway._settings.caller_address)
    started_at = asyncio.get_running_loop().time()
    caller.send(data)
    reply = await caller.read_reply()
    reply.elapsed_ms = (asyncio.get_running_loop().time() - started_at) * 1_000
    reply.request_id = request_id
    caller.close()
    return reply


@when("the gateways get {per_s:d} reads a second for {seconds:d} s")
def step_load(context, per_s, seconds):
    async def run():
        gateways = itertools.cycle(context.testbed.gateways)
        tasks = []
        for _ in range(per_s * seconds):
            tasks.append(asyncio.create_task(send_read(next(gateways))))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    context.replies = context.testbed.thread.run(run())


@then("the servers fall over at most {n:d} times")
def step_falls(context, n):
    n_falls = sum(each.n_falls for each in context.testbed.servers.values())
    assert n_falls <= n, n_falls


@then("at least {n:d} reads are served")
def step_served(context, n):
    n_served = sum(each.status == 200 for each in context.replies)
    assert n_served >= n, n_served


@then("all others are refused with a time to come back")
def step_refused(context):
    others = [each for each in context.replies if each.status != 200]
    assert others
    unexpected = [each for each in others if each.status != 503]
    assert len(unexpected) <= MAX_FALLS * CAPACITY, len(unexpected)
    refused = [each for each in others if each.status == 503]
    assert all("retry-after" in each.headers for each in refused)


@given(
    "a router with {n:d} places at a brittle server that is known for {known_ms:d} ms"
)
def step_router(context, n, known_ms):
    context.brittle = BrittleServices(StatedLimits())
    assert context.brittle.observe("app", 5.0, 0.0)
    context.places = {"n_places": n, "registered_for_ms": known_ms}


def find_wait(context, utilization):
    return context.brittle.wait_ms(
        KEY,
        n_own=context.n_own,
        utilization=utilization,
        now_ms=NOW_MS,
        **context.places,
    )


@when("it has {n_own:d} requests there and {events}")
def step_events(context, n_own, events):
    context.n_own = n_own
    find_wait(context, 0.0)
    at_ms = NOW_MS - 1_100 if "before" in events else NOW_MS
    if "served" in events:
        outcomes = [ServerOutcome.GOOD] * 2
    else:
        outcomes = [ServerOutcome.FULL] if "rejected" in events else []
    for outcome in outcomes:
        context.brittle.record_outcome(KEY, outcome, n_own=n_own, now_ms=at_ms)


@then("it may {send} at a utilization of {utilization:f}")
def step_may_send(context, send, utilization):
    assert (find_wait(context, utilization) == 0) == (send == "send")


@then('the value "{value}" of the header states {stated}')
def step_value(context, value, stated):
    headers = ((b"Server-Brittle", value.encode()),)
    found = read_answer(AnswerHead(status=200, headers=headers)).rejections_per_s
    assert found == (None if stated == "nothing" else float(stated))
