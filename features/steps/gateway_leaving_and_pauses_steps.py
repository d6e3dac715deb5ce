"""Steps for servers that leave, ask for pauses, or send extra copies of answers."""

import asyncio
import time

from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from damaskrill.http1 import ServerPool
from features.steps.gateway_path_steps import EVENTS, change_routes
from features.support.gateways import PROMPT, Caller, build_request

OTHER = {"a-1": "a-2", "e-1": "e-2"}
PREFIXES = ("Damaskrill-Prompt-Prefix", "p{n}:100,q{n}:200,r:10")
N_REPLIES_BEFORE_STOP = 40


def send_read(context, gateway=None):
    return context.testbed.send("/read/1", method="GET", body=b"", gateway=gateway)


def send_check(context, n, gateway=None):
    name, value = PREFIXES
    header = (name, value.format(n=n))
    return context.testbed.send("/check/1", headers=[header], gateway=gateway)


def send_until(context, server, send):
    """Send requests until one has reached a server."""
    for number in range(40):
        send(number)
        if server.requests:
            return
    raise AssertionError("no request has reached the server")


def log_lines(context, event, gateway=0):
    return [
        each for each in context.testbed.logs[gateway].lines if each["event"] == event
    ]


@given("a second gateway that is ready")
def step_second_gateway(context):
    gateway = context.testbed.add_gateway()
    context.testbed.wait_until_ready(gateway)
    first = context.testbed.gateways[0]
    assert context.testbed.wait_for(lambda: first._mesh.n_links == 1)


@when('server "{name}" announces that it leaves with {answer}')
def step_announces(context, name, answer):
    server = context.testbed.servers[name]
    server.is_leaving = True
    if answer == "an error":
        server.misbehaviour = Misbehaviour.ERROR
    if answer == "a refusal":
        server.misbehaviour = Misbehaviour.FULL
    if answer == "a stream":
        send_until(context, server, lambda n: send_check(context, n))
    else:
        send_until(context, server, lambda n: send_read(context))
    context.n_before = len(server.requests)


@then('no further request of {n:d} reaches "{name}"')
def step_nothing_more(context, n, name):
    for number in range(n):
        if name.startswith("e"):
            assert send_check(context, number).body == EVENTS
        else:
            assert send_read(context).status == 200
    server = context.testbed.servers[name]
    assert len(server.requests) == context.n_before, len(server.requests)
    context.leaving = server


@then("its idle connections are closed within {limit_ms:d} ms")
def step_idle_closed(context, limit_ms):
    listener = context.leaving._listener
    assert context.testbed.wait_for(
        lambda: not listener.factory.connections, limit_ms / 1_000
    )


@then('within {limit_ms:d} ms the second gateway sends nothing to "{name}" either')
def step_second_sends_nothing(context, limit_ms, name):
    testbed, gateway = context.testbed, context.testbed.gateways[1]
    service = "pool" if name.startswith("e") else "app"
    assert testbed.wait_for(
        lambda: (
            name
            not in [each.server_id for each in gateway._catalog.find_servers(service)]
        ),
        limit_ms / 1_000,
    )
    for number in range(6):
        if name.startswith("e"):
            send_check(context, number, gateway)
        else:
            send_read(context, gateway)
    assert len(testbed.servers[name].requests) == context.n_before


@when('server "{name}" refuses a request and asks for a pause of "{value}" s')
def step_asks_for_pause(context, name, value):
    server = context.testbed.servers[name]
    server.misbehaviour = Misbehaviour.FULL
    server.retry_after = value.encode()
    send_until(context, server, lambda n: send_read(context))
    context.paused, context.paused_at = server, time.monotonic()
    context.n_before = len(server.requests)
    server.misbehaviour = Misbehaviour.NONE


@then("{n:d} reads are answered by the other server within {busy_ms:d} ms")
def step_answered_elsewhere(context, n, busy_ms):
    for _ in range(n):
        assert send_read(context).status == 200
    assert (time.monotonic() - context.paused_at) * 1_000 < busy_ms
    assert len(context.paused.requests) == context.n_before


@then('"{name}" was not ejected, and the pause is logged once')
def step_not_ejected(context, name):
    assert not log_lines(context, "server_left_out")
    assert len(log_lines(context, "server_paused")) == 1


@then("the server gets requests again after {wait_ms:d} ms: {is_back}")
def step_back(context, wait_ms, is_back):
    time.sleep(max(0.0, context.paused_at + wait_ms / 1_000 - time.monotonic()))
    for _ in range(20):
        send_read(context)
    has_more = len(context.paused.requests) > context.n_before
    assert has_more == (is_back == "yes")


@then("no pause is logged")
def step_no_pause(context):
    assert not log_lines(context, "server_paused")


@when("both app servers ask for pauses of {first:d} s and {second:d} s")
def step_both_pause(context, first, second):
    for name, seconds in (("a-1", first), ("a-2", second)):
        server = context.testbed.servers[name]
        server.misbehaviour = Misbehaviour.FULL
        server.retry_after = b"%d" % seconds
    send_read(context)
    for name in ("a-1", "a-2"):
        send_until(context, context.testbed.servers[name], lambda n: send_read(context))


@then(
    "each is refused within {limit_ms:d} ms with a Retry-After of {low:g} to {high:g} s"
)
def step_refused_at_once(context, limit_ms, low, high):
    for reply in context.replies:
        assert reply.status == 503 and reply.elapsed_ms < limit_ms, reply
        assert low <= float(reply.headers["retry-after"]) <= high, reply


@then("the times differ")
def step_differ(context):
    assert len({reply.headers["retry-after"] for reply in context.replies}) > 1


@when("{n:d} callers send a read one after another")
def step_reads_in_turn(context, n):
    context.replies = [send_read(context) for _ in range(n)]


@then("each successful reply is the answer to its own request")
def step_own(context):
    successes = [each for each in context.replies if each.status == 200]
    assert successes
    for reply in successes:
        assert reply.request_id.encode() in reply.body, reply


@when("{n:d} callers send an issuance one after another")
def step_issuances_in_turn(context, n):
    context.replies = [context.testbed.send("/issue/1") for _ in range(n)]


@then("no action that has run is reported as not run, and none has run twice")
def step_true_reports(context):
    statuses = set()
    for reply in context.replies:
        n_runs = context.testbed.runs_of(reply.request_id)
        statuses.add(reply.status)
        assert n_runs <= 1, reply
        assert not (n_runs and reply.status in (408, 421, 429, 503)), reply
    # Otherwise no extra copy has arrived on a connection in use.
    assert 502 in statuses, statuses


@then("some of these actions have run")
def step_some_run(context):
    n_runs = [context.testbed.runs_of(each.request_id) for each in context.replies]
    assert 0 < sum(n_runs), n_runs
    assert any(each.status == 200 for each in context.replies)


class IdleConnection:
    """Idle connection that has carried some requests."""

    is_open = True
    idle_since_ms = float("inf")
    idle_limit_ms = 1_000
    has_unnamed_refusal = False

    def __init__(self, *request_ids):
        self.request_ids = request_ids

    def has_carried(self, request_id):
        return request_id in self.request_ids


@given('a pool with two idle connections, the newer of which has carried "{name}"')
def step_pool(context, name):
    context.older, context.newer = IdleConnection(), IdleConnection(name)
    context.idle_pool = ServerPool(reactor=None)
    for connection in (context.older, context.newer):
        context.idle_pool.release(("a", 1), connection)


@then('"q1" gets the other one, and "q2" the one that has carried "q1"')
def step_others(context):
    pool = context.idle_pool
    assert pool.acquire_idle(("a", 1), request_id="q1") is context.older
    assert pool.acquire_idle(("a", 1), request_id="q2") is context.newer


@then('"q1" gets none if each idle connection has carried it')
def step_none_idle(context):
    pool = context.idle_pool
    pool.release(("a", 1), context.newer)
    assert pool.acquire_idle(("a", 1), request_id="q1") is None
    assert pool.acquire_idle(("a", 1)) is context.newer


@given(
    "routes with a limit of {limit_ms:d} ms, a target of {target_ms:d} ms and pauses "
    "of {pause_ms:d} ms"
)
def step_routes(context, limit_ms, target_ms, pause_ms):
    change_routes(
        context,
        lambda route: route.update(
            timeoutMs=limit_ms, targetLatencyMs=target_ms, targetGapMs=pause_ms
        ),
    )


@given("the engines take {event_ms:d} ms for an event")
def step_event_time(context, event_ms):
    for server in context.testbed.servers.values():
        server._event_ms = event_ms


@when("a caller who waits {limit_ms:d} ms sends a check")
def step_check(context, limit_ms):
    deadline = ("Damaskrill-Request-Deadline", str(limit_ms))
    context.replies = [context.testbed.send("/check/1", headers=[PROMPT, deadline])]


@then("the stream ran at one engine")
def step_one_engine(context):
    assert context.testbed.runs_of(context.replies[0].request_id) == 1


@when("{n:d} callers send issuances on kept connections and the gateway is stopped")
def step_stop_under_load(context, n):
    testbed, gateway = context.testbed, context.testbed.gateways[0]
    address = gateway._settings.caller_address
    replies = context.replies = []

    async def run_caller():
        caller = await Caller.open(address)
        while True:
            data, request_id = build_request("/issue/1")
            caller.send(data)
            reply = await caller.read_reply()
            reply.request_id = request_id
            replies.append(reply)
            if not reply.is_complete or reply.headers.get("connection") == "close":
                caller.close()
                return

    async def run():
        callers = [asyncio.create_task(run_caller()) for _ in range(n)]
        await asyncio.sleep(0.4)
        while len(replies) <= N_REPLIES_BEFORE_STOP:
            await asyncio.sleep(0.01)
        stop = asyncio.create_task(gateway.stop())
        await asyncio.gather(*callers, stop)

    testbed.thread.run(run())


@then("each issuance that ran was answered completely")
def step_answered_completely(context):
    assert len(context.replies) > N_REPLIES_BEFORE_STOP, len(context.replies)
    for reply in context.replies:
        if context.testbed.runs_of(reply.request_id):
            assert reply.status == 200 and reply.is_complete, reply
