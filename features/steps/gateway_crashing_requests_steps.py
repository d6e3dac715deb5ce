"""Steps for requests that crash servers, with gateways on loopback."""

import asyncio
import itertools
import time

from behave import given, then, when

from damaskrill.fakes.platform import FakeServer, build_entry
from damaskrill.steering import CrashDetector, CrashGuard
from features.steps.gateway_crashing_prompts_steps import (
    BETWEEN_S,
    LINK_S,
    MIN_RETRY_AFTER_S,
    RESTART_S,
)
from features.steps.gateway_cut_path_steps import cut_path
from features.support.gateways import GatewayTestbed

MAX_REQUESTS = 10
REJECTED = b"crashing_request"
REJECTED_PROMPT = b"crashing_prompt"
TENANTS = [
    {"name": "desk", "apiKeys": ["key-1", "key-2"], "priority": 1},
    {"name": "field", "apiKeys": ["key-3"], "priority": 1},
]
SERVICES = {"app": "app", "engine": "pool"}


@given(
    "a platform with {n:d} {kind} servers that crash on the request "
    '"{target}" and come back'
)
def step_platform(context, n, kind, target):
    context.testbed = testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    testbed.configure(tenants=TENANTS)
    context.crashed = []
    context.target, context.body = target, b""
    if not target.startswith("/read"):
        context.body = b"bad"
    context.fatal_parts = set()
    for number in range(n):
        add_crashing_server(context, f"s-{number}", SERVICES[kind])


@given(
    'a platform with {n:d} engine servers that crash on the part "{part}" and come back'
)
def step_part_platform(context, n, part):
    step_platform(context, n, "engine", "/chat/unknown")
    context.fatal_parts.add(part)


@given("they crash after {delay_ms:d} ms")
def step_crash_late(context, delay_ms):
    context.crash_delay_ms = delay_ms
    for server in context.testbed.servers.values():
        server.crash_delay_ms = delay_ms


def send_chat(context, number, parts):
    prompt = ",".join(f"{part}:100" for part in (*parts, f"q{number}"))
    gateway = context.testbed.gateways[number % len(context.testbed.gateways)]
    return context.testbed.send(
        "/chat/1",
        gateway=gateway,
        body=b"%d" % number,
        headers=[("Damaskrill-Prompt-Prefix", prompt)],
    )


@when(
    'chats with the parts "{one}" and "{other}" arrive at the gateways in turn until '
    "one is rejected"
)
def step_chats(context, one, other):
    for number in range(MAX_REQUESTS):
        if REJECTED_PROMPT in send_chat(context, number, (one, other)).body:
            return
        time.sleep(BETWEEN_S)
    raise AssertionError(f"none of {MAX_REQUESTS} was rejected")


@when("{n:d} servers break a request off late that was served {n_served:d} times")
def step_late(context, n, n_served):
    detector = CrashDetector(router="r-1")
    for number in range(n_served):
        build_guard(detector).record_served(number * 10.0)
    for number in range(n):
        now_ms = 60_000.0 + number * 4_000.0
        build_guard(detector).record_late_crash(
            (f"s-{number}", 1), now_ms, waited_ms=2_500, has_begun=False
        )
    context.rejection = build_guard(detector).find_rejection(now_ms)


def build_guard(detector):
    return CrashGuard(
        detector=detector, prompt=(), fingerprint=77, find_rank=lambda _: (0, 1)
    )


@then("the request {state} be sent")
def step_may_be_sent(context, state):
    assert (context.rejection is None) == (state == "may"), context.rejection


@then('chats with the part "{part}" alone are served')
def step_chats_served(context, part):
    replies = [send_chat(context, 100 + number, (part,)) for number in range(6)]
    assert {each.status for each in replies} == {200}, replies


def add_crashing_server(context, name, service):
    # The restarts may outlast the scenario, and with it its context.
    testbed, crashed = context.testbed, context.crashed
    fatal = {(context.target.encode(), context.body)}
    testbed.add_server(name, service)

    def restart():
        fresh = FakeServer(reactor=testbed.reactor, server_id=f"{name}-again")
        testbed.servers[fresh.server_id] = fresh
        prepare(fresh)
        entry = build_entry(service=service, address=fresh.address)
        testbed.store.put(f"servers/{fresh.server_id}", entry)

    def handle_crash():
        crashed.append(name)
        asyncio.get_running_loop().call_later(RESTART_S, restart)

    def prepare(server):
        server.fatal_requests = set(fatal)
        server.fatal_parts = context.fatal_parts
        server.crash_delay_ms = getattr(
            context, "crash_delay_ms", server.crash_delay_ms
        )
        server.on_crash = handle_crash

    prepare(testbed.servers[name])


def send_bad(context, gateway, **changes):
    values = {"path": context.target, "body": context.body, **changes}
    method = "GET" if values["path"].startswith("/read") else "POST"
    return context.testbed.send(
        values.pop("path"), gateway=gateway, method=method, **values
    )


@when("the first {n:d} gateways have no path to the servers")
def step_no_path(context, n):
    for gateway in context.testbed.gateways[:n]:
        context.testbed.call(cut_path, gateway, "reset")
        gateway._relay._path._is_cut = True


@when(
    "the request arrives at the first {n:d} gateways {pause_ms:d} ms apart until one "
    "rejects it"
)
def step_arrives_at_first(context, n, pause_ms):
    for number in range(MAX_REQUESTS):
        reply = send_bad(context, context.testbed.gateways[number % n])
        if REJECTED in reply.body:
            return
        time.sleep(pause_ms / 1_000)
    assert len(context.crashed) >= 3, context.crashed


@when("the request arrives at the first gateway")
def step_arrives(context):
    time.sleep(BETWEEN_S)
    context.reply = send_bad(context, context.testbed.gateways[0])


@then("all lines of failed attempts have one fingerprint")
def step_one_fingerprint(context):
    lines = context.testbed.logs[0].lines
    failed = [each for each in lines if each["event"] == "attempt_failed"]
    assert len(failed) > 1, failed
    assert len({each["fingerprint"] for each in failed}) == 1, failed


@when("the request arrives at the gateways in turn until one rejects it")
def step_until_rejected(context):
    send_until_rejected(context, BETWEEN_S)


@when(
    "the request arrives at the gateways in turn, {ms:d} ms apart, until one rejects it"
)
def step_quickly_until_rejected(context, ms):
    send_until_rejected(context, ms / 1_000)


def send_until_rejected(context, between_s):
    gateways = itertools.cycle(context.testbed.gateways)
    for gateway in itertools.islice(gateways, MAX_REQUESTS):
        if REJECTED in send_bad(context, gateway).body:
            return
        time.sleep(between_s)
    raise AssertionError(f"never rejected, {len(context.crashed)} servers crashed")


@then("{least:d} to {most:d} servers have crashed")
def step_n_crashed(context, least, most):
    assert least <= len(context.crashed) <= most, context.crashed


@then("all gateways reject the request as not run, without a server")
def step_all_reject(context):
    time.sleep(LINK_S)
    n_crashed = len(context.crashed)
    context.keys = itertools.cycle(("key-1", "key-2"))
    for gateway in context.testbed.gateways:
        # Both keys are of the team that has sent the request.
        reply = send_bad(context, gateway, key=next(context.keys))
        assert reply.status == 503 and REJECTED in reply.body, reply
        assert float(reply.headers["retry-after"]) >= MIN_RETRY_AFTER_S, reply
        assert context.testbed.runs_of(reply.request_id) == 0
    assert len(context.crashed) == n_crashed, context.crashed


@then("all gateways serve the same path with another body, and by another team")
def step_others_served(context):
    for gateway in context.testbed.gateways:
        for changes in ({"body": b"other"}, {"key": "key-3"}):
            # The fake servers do not tell callers apart.
            for server in context.testbed.servers.values():
                server.fatal_requests = set()
            reply = send_bad(context, gateway, **changes)
            assert reply.status == 200 and reply.is_complete, reply


@then("the metrics and the log of a gateway name the blocked request")
def step_told(context):
    lines = context.testbed.logs[0].lines
    failed = [each for each in lines if each["event"] == "attempt_failed"]
    (line,) = (each for each in lines if each["event"] == "request_blocked")
    assert line["fingerprint"] == failed[0]["fingerprint"], line
    metrics = context.testbed.gateways[0]._metrics.render({}).decode()
    assert "damaskrill_gateway_requests_blocked_total 1" in metrics
