"""Steps for routers that are cut off from all backend servers."""

import asyncio
import itertools
import time

from behave import then, when

from features.support.gateways import Caller, build_request

NUMBERS = itertools.count(1)


def cut_path(gateway, how):
    """Let connections of a gateway to servers end as on a network partition."""
    pool = gateway._dispatcher.pool
    gateway.open_before_cut = pool.open

    async def fail(key, address, *, limit_ms=350.0):
        if how == "silent":
            await asyncio.sleep(min(350.0, limit_ms) / 1_000)
        raise OSError("no path to the server")

    pool.open = fail
    for key in pool.keys():
        if how == "reset":
            pool.close_idle(key)
            continue
        for connection in pool._idle[key]:
            connection._write = lambda data: None


@when(
    "the first {n:d} gateways lose their path to all servers, with connections that "
    "are {how}"
)
def step_cut(context, n, how):
    gateways = context.testbed.gateways
    run_load(context, per_s=10, seconds=1)
    context.cut = gateways[:n]
    for gateway in context.cut:
        context.testbed.call(cut_path, gateway, how)


@when("the path is back for {seconds:d} s")
def step_back(context, seconds):
    for gateway in context.cut:
        gateway._dispatcher.pool.open = gateway.open_before_cut
    run_load(context, per_s=5, seconds=seconds)


async def send_one(gateway, path):
    number = next(NUMBERS)
    headers = [("Damaskrill-Request-Deadline", "1500")]
    method, body = "POST", b"x"
    if path == "/read/1":
        method, body = "GET", b""
    if path == "/check/1":
        headers.append(("Damaskrill-Prompt-Prefix", f"a{number % 7}:100,z{number}:10"))
    data, request_id = build_request(path, method=method, body=body, headers=headers)
    started_at = time.monotonic()
    caller = await Caller.open(gateway._settings.caller_address)
    caller.send(data)
    reply = await caller.read_reply()
    caller.close()
    reply.request_id = request_id
    reply.elapsed_ms = (time.monotonic() - started_at) * 1_000
    return gateway, path, reply


def run_load(context, *, per_s, seconds):
    async def run():
        tasks = []
        for _ in range(per_s * seconds):
            for gateway in context.testbed.gateways:
                for path in ("/read/1", "/check/1", "/issue/1"):
                    tasks.append(asyncio.create_task(send_one(gateway, path)))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    context.results = context.testbed.thread.run(run())


@when(
    "from {delay:d} s after that each gateway gets {per_s:d} reads, checks and actions "
    "a second for {seconds:d} s"
)
def step_load_later(context, delay, per_s, seconds):
    run_load(context, per_s=5, seconds=delay)
    run_load(context, per_s=per_s, seconds=seconds)


@when(
    "each gateway gets {per_s:d} reads, checks and actions a second for {seconds:d} s"
)
def step_load(context, per_s, seconds):
    context.n_requests = {
        each: len(each.requests) for each in context.testbed.servers.values()
    }
    run_load(context, per_s=per_s, seconds=seconds)


def served_share(results):
    served = [reply.status == 200 and reply.is_complete for _, _, reply in results]
    return sum(served) / len(served)


@then("the first {n:d} gateways serve at least two thirds as many as the others")
def step_two_thirds(context, n):
    cut = [each for each in context.results if each[0] in context.cut]
    others = [each for each in context.results if each[0] not in context.cut]
    shares = served_share(cut), served_share(others)
    assert shares[1] > 0.9, shares
    assert shares[0] >= shares[1] * 2 / 3, shares


@then("no action has run twice")
def step_not_twice(context):
    runs = [
        context.testbed.runs_of(reply.request_id)
        for _, path, reply in context.results
        if path == "/issue/1"
    ]
    assert max(runs) <= 1, runs


@then("all of these are served without a peer")
def step_direct(context):
    assert served_share(context.results) == 1.0
    lines = [line for log in context.testbed.logs for line in log.lines]
    ids = {reply.request_id for _, _, reply in context.results}
    ended = [each for each in lines if each["event"] == "request_ended"]
    counts = [sum(each["request_id"] == one for each in ended) for one in ids]
    assert set(counts) == {1}, counts


@then("none is served, and each is answered within {limit_ms:d} ms")
def step_none(context, limit_ms):
    assert served_share(context.results) == 0.0
    slowest = max(reply.elapsed_ms for _, _, reply in context.results)
    assert slowest <= limit_ms, slowest
