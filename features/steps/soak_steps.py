"""Steps for the soak test."""

import asyncio
import itertools
import json
import subprocess
import sys
from pathlib import Path

from behave import then, when

from damaskrill.soak import FaultKind, build_plan
from damaskrill.soak._callers import Exchange
from damaskrill.soak._checks import (
    ServerRecord,
    check_exchanges,
    check_leaving,
    check_planned_work,
)
from damaskrill.soak._proxy import FaultyProxy, LinkMode
from damaskrill.soak._run import loopback_network

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 120
# Time in which a link delivers a few bytes, in seconds.
LINK_S = 0.3


def run_command(*words):
    return subprocess.run(
        [sys.executable, "-m", "damaskrill", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def build_exchange(path="/issue/1", **changes):
    values = {
        "request_id": "q9",
        "path": path,
        "key": "key-1",
        "router": 0,
        "sent_at": 1.0,
        "ended_at": 2.0,
        "status": 200,
        "body": b"q9",
        "is_complete": True,
    }
    return Exchange(**{**values, **changes})


def find_violated(exchange, n_runs, n_events=2):
    server = ServerRecord(server_id="a", runs={"q9": n_runs}, arrivals=())
    return [each.promise for each in check_exchanges([exchange], [server], n_events)]


@when("the plans of {n:d} seeds are built twice")
def step_plans(context, n):
    context.first = [build_plan(seed, 12) for seed in range(n)]
    context.second = [build_plan(seed, 12) for seed in range(n)]


@then("both builds are the same")
def step_same(context):
    assert context.first == context.second


@then("every kind of fault occurs, and some overlap")
def step_kinds(context):
    faults = [fault for plan in context.first for fault in plan]
    assert {fault.kind for fault in faults} == set(FaultKind)
    overlapping = [
        (a, b)
        for plan in context.first
        for a, b in itertools.pairwise(plan)
        if b.at_s < a.at_s + a.duration_s
    ]
    assert overlapping


@when("the soak runs seeds 1 to 2 with 3 routers for 7 seconds")
def step_soak(context):
    done = run_command("soak", "--seeds", "2", "--seconds", "7", "--json")
    assert done.returncode in (0, 1), done.stderr
    context.results = [json.loads(line) for line in done.stdout.splitlines()]


@then("no guarantee is violated")
def step_no_violation(context):
    assert all(not each["breaches"] for each in context.results), context.results


@then("faults were injected and requests served")
def step_served(context):
    assert all(each["n_faults"] and each["n_served"] for each in context.results)


@then("an action that ran twice is found")
def step_twice(context):
    assert find_violated(build_exchange(), 2) == ["at_most_once"]
    assert find_violated(build_exchange("/read/1"), 2) == []


@then("a refusal of an action that has run is found")
def step_refusal(context):
    assert find_violated(build_exchange(status=503), 1) == ["not_run"]


@then("an answer to another request is found")
def step_other(context):
    assert find_violated(build_exchange(body=b"other"), 1) == ["own_answer"]


@then("a stream with a missing event is found")
def step_missing(context):
    part = b"id: 1\ndata: token-1\n\n"
    assert find_violated(build_exchange("/chat/1", body=part), 1) == ["whole_stream"]


@then("a request at a server long after its leaving notice is found")
def step_late(context):
    record = ServerRecord(server_id="a", runs={}, arrivals=((5.0, "q9"), (1.5, "p")))
    late = check_leaving(record, 1.0, 2.0, ["q9", "p"])
    assert [each.request_id for each in late] == ["q9"]


@then("a request that planned work interrupted is found")
def step_cut(context):
    record = ServerRecord(server_id="a", runs={}, arrivals=((1.2, "q9"),))
    cut = build_exchange(is_complete=False)
    assert check_planned_work([cut], [record], [])
    assert not check_planned_work([cut], [record], [(1.5, 3.0)])


@then('"soak --seeds many" and "soak --routers 0" end with status 2')
def step_invalid(context):
    for words in (("soak", "--seeds", "many"), ("soak", "--routers", "0")):
        done = run_command(*words)
        assert done.returncode == 2, done
        assert len(done.stderr.splitlines()) == 1, done.stderr


@then("{n:d} processes with consecutive IDs have distinct networks")
def step_distinct_networks(context, n):
    networks = {loopback_network(4_190_000 + number) for number in range(n)}
    assert len(networks) == n
    assert all(0 <= int(part) <= 255 for each in networks for part in each.split("."))


@when("a link loses a chunk of a stream and works again")
def step_lossy_link(context):
    async def send(reader, writer):
        for chunk in (b"first ", b"lost ", b"later"):
            await reader.readexactly(1)
            writer.write(chunk)
        writer.close()

    async def run():
        server = await asyncio.start_server(send, "127.0.0.1", 0)
        proxy = FaultyProxy(target=server.sockets[0].getsockname()[:2])
        await proxy.start()
        reader, writer = await asyncio.open_connection(*proxy.address)
        writer.write(b".")
        received = await reader.readexactly(6)
        proxy.mode = LinkMode.ONE_WAY
        writer.write(b".")
        await asyncio.sleep(LINK_S)
        proxy.mode = LinkMode.GOOD
        writer.write(b".")
        try:
            async with asyncio.timeout(LINK_S):
                received += await reader.read()
        except TimeoutError:
            # The connection is silent, as one whose bytes are lost.
            pass
        writer.transport.abort()
        proxy.close()
        server.close()
        await asyncio.sleep(LINK_S)
        return received

    context.received = asyncio.run(run())


@then("its reader gets nothing after the loss")
def step_nothing_later(context):
    assert context.received == b"first ", context.received
