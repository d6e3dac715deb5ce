"""Steps for servers that are upgraded in place, which the store does not list."""

import asyncio
import re

from behave import given, then, when

from damaskrill.fakes.platform import FakeServer, StoreMode
from damaskrill.steering import IncarnationProofs
from damaskrill.utils import monotonic_now_ms
from features.steps.gateway_stream_versions_steps import (
    EVENT_MS,
    N_EVENTS,
    run_all,
    send_check,
)

STALE_S = 3
LOAD_S = 0.05
STEP_S = 0.25
PLAY_S = 2.0
UPGRADED_AT_MS = 5_000


@given("their events name their version")
def step_authors(context):
    for name, server in context.testbed.servers.items():
        server.author = context.version_of[name].encode()


@given("the store is {state}")
@when("the store is {state}")
def step_store(context, state):
    if state == "up":
        return
    testbed = context.testbed
    testbed.call(testbed.store.set_mode, StoreMode.RESET)
    for gateway in testbed.gateways:
        assert testbed.wait_for(
            lambda each=gateway: not each._freshness.is_fresh(monotonic_now_ms()),
            timeout_s=STALE_S,
        )


@given('engines "{one}" and "{other}" are upgraded in place to "{version}"')
@given('engine "{one}" is upgraded in place to "{version}"')
def step_upgrade(context, version, one, other=None):
    for engine in filter(None, (one, other)):
        context.testbed.call(end, context, engine)
        context.testbed.call(start_again, context, engine, version)


def end(context, engine):
    """End an engine; what it has run stays known."""
    former = context.testbed.servers.pop(engine)
    former.close()
    context.testbed.servers[f"{engine} before"] = former
    context.version_of[f"{engine} before"] = context.version_of[engine]


def start_again(context, engine, version):
    """Start an engine that has ended again, under its ID and address."""
    testbed = context.testbed
    _, port = testbed.servers[f"{engine} before"].address
    server = FakeServer(
        reactor=testbed.reactor,
        server_id=engine,
        n_events=N_EVENTS,
        event_ms=EVENT_MS,
        port=port,
    )
    server.author = version.encode()
    server.started_at_ms = UPGRADED_AT_MS
    testbed.servers[engine] = server
    context.version_of[engine] = version


@given("no engine answers the question for its start {how}")
def step_no_answer(context, how):
    for server in context.testbed.servers.values():
        if how == "at all":
            server.has_report = False
        else:
            server.started_at_ms = None


@when("{n:d} callers send checks while the engines are upgraded in place one by one")
def step_play(context, n):
    streams = []

    async def call(number):
        ends_at = asyncio.get_running_loop().time() + PLAY_S
        while asyncio.get_running_loop().time() < ends_at:
            gateway = context.testbed.gateways[len(streams) % 3]
            reply = await send_check(gateway, f"{number}x{len(streams)}")
            streams.append((reply,))
            if reply.status != 200:
                await asyncio.sleep(EVENT_MS / 1_000)

    async def upgrade():
        for engine in list(context.testbed.servers):
            end(context, engine)
            await asyncio.sleep(LOAD_S)
            start_again(context, engine, "v2")
            await asyncio.sleep(STEP_S)

    run_all(context, [upgrade(), *(call(each) for each in range(n))])
    context.streams = streams


@then("no answer has events of two versions")
def step_not_mixed(context):
    versions = [
        set(re.findall(rb"token-\d+ (\S+)", reply.body))
        for replies in context.streams
        for reply in replies
    ]
    mixed = [each for each in versions if len(each) > 1]
    assert any(versions)
    assert not mixed, f"{len(mixed)} of {len(versions)} streams are mixed"


@then("no stream has events of two versions over its tries")
def step_not_mixed_over_tries(context):
    versions = [
        set(re.findall(rb"token-\d+ (\S+)", b"".join(each.body for each in replies)))
        for replies in context.streams
    ]
    mixed = [each for each in versions if len(each) > 1]
    assert not mixed, f"{len(mixed)} of {len(versions)} streams are mixed"
    assert {b"v1"} in versions and {b"v2"} in versions


@then("at least {n:d} streams are complete")
def step_complete(context, n):
    n_complete = sum(
        each.status == 200 and each.body.count(b"\n\n") == N_EVENTS
        for (each,) in context.streams
    )
    assert n_complete >= n, n_complete


@then("each engine was asked at most {n:d} times for its start")
def step_asked(context, n):
    n_asked = {name: each.n_reports for name, each in context.testbed.servers.items()}
    assert 0 < max(n_asked.values()) <= n, n_asked


@given("a server that is listed with the start time {started_at_ms:d}")
def step_listed(context, started_at_ms):
    context.key = ("e-1", started_at_ms)
    context.proofs = IncarnationProofs()


@when("it was asked {questions}")
def step_questions(context, questions):
    if questions == "never":
        return
    times, _, stated = questions.removeprefix("at ").partition(", and stated ")
    for each in times.split(" and "):
        context.proofs.record_statement(context.key, int(stated), float(each))


@then("a connection opened at {at_ms:d} is {proof}, and the process is {process}")
def step_proof(context, at_ms, proof, process):
    assert context.proofs.is_proven(context.key, at_ms) == (proof == "proven")
    assert context.proofs.is_replaced(context.key) == (process == "replaced")
