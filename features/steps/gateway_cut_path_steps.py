"""Steps for routers that are cut off from all backend servers."""

import asyncio
import contextlib
import itertools
import re
import time
from collections import Counter

from behave import given, then, when

from damaskrill.catalog import BackendServer, ConfigurationItem
from damaskrill.fakes.platform import build_configuration
from damaskrill.http1 import AnswerHead, CallerRequest
from damaskrill.platform._headers import (
    peer_headers,
    read_peer_answer,
    server_headers,
)
from damaskrill.steering import ServerGrant, ServerPath
from features.support.gateways import Caller, build_request

NUMBERS = itertools.count(1)


def cut_path(gateway, how):
    """Let connections of a gateway to servers end as on a network partition."""
    pool = gateway._dispatcher.pool
    gateway.open_before_cut = pool.open

    async def accept(reader, writer):
        with contextlib.suppress(ConnectionError):
            await (reader.read(1) if how.endswith("reset") else reader.read())
        writer.transport.abort()

    async def lead_nowhere(key, address, *, limit_ms=350.0):
        if gateway.proxy is None:
            gateway.proxy = await asyncio.start_server(accept, address[0], 0)
        nowhere = gateway.proxy.sockets[0].getsockname()
        return await gateway.open_before_cut(key, nowhere, limit_ms=limit_ms)

    async def fail(key, address, *, limit_ms=350.0):
        if how == "silent":
            await asyncio.sleep(min(350.0, limit_ms) / 1_000)
        raise OSError("no path to the server")

    gateway.proxy = None
    pool.open = lead_nowhere if how.startswith("accepted") else fail
    for key in pool.keys():
        if how.endswith("reset"):
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


@when("{n:d} routers of a data centre lose their path, with connections that are {how}")
def step_cut_data_centre(context, n, how):
    run_load(context, per_s=3, seconds=1)
    context.cut = context.testbed.gateways[: 2 * n : 2]
    assert len({each._settings.data_centre for each in context.cut}) == 1
    for gateway in context.cut:
        context.testbed.call(cut_path, gateway, how)


@given("no server states its load")
def step_no_load(context):
    for server in context.testbed.servers.values():
        server.states_load = False


@when(
    "all servers end and each gateway gets {per_s:d} reads, checks and actions a "
    "second for {seconds:d} s"
)
def step_all_end(context, per_s, seconds):
    for server in context.testbed.servers.values():
        context.testbed.call(server.close)
    run_load(context, per_s=per_s, seconds=seconds)


@then("no path counts as cut")
def step_none_cut(context):
    lines = [line["event"] for log in context.testbed.logs for line in log.lines]
    assert "server_path_cut" not in lines


@when("the path is back for {seconds:d} s")
def step_back(context, seconds):
    for gateway in context.cut:
        gateway._dispatcher.pool.open = gateway.open_before_cut
    run_load(context, per_s=5, seconds=seconds)


async def send_one(gateway, path):
    number = next(NUMBERS)
    headers = [("Damaskrill-Request-Deadline", "1500")]
    method, body = "POST", b"x"
    if path in ("/read/1", "/new/1"):
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


@then("each of them has lost its path once and not found it again")
def step_once(context):
    logs = context.testbed.logs[: len(context.cut)]
    events = [[line["event"] for line in log.lines] for log in logs]
    assert all(each.count("server_path_cut") == 1 for each in events)
    assert not any("server_path_back" in each for each in events)


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


@when("a router records {records}")
def step_records(context, records):
    context.path = ServerPath()
    for record in records.split(","):
        kind, *numbers = re.findall(r"[a-z]+|\d+", record.replace(" at ", " "))
        match kind:
            case "failure":
                context.path.record_failure(int(numbers[0]), float(numbers[1]))
            case "peer":
                at_ms = float(numbers[1])
                context.path.record_peer_answers([(int(numbers[0]), 0.0)], at_ms)
            case "relayed":
                context.path.record_relayed()
            case "heard":
                context.path.record_heard()


@then("its path counts as {state}")
def step_path_state(context, state):
    assert context.path.is_cut == (state == "cut")


@when("a caller's request with a hop mark is prepared for a peer and for a server")
def step_prepare(context):
    request = CallerRequest(
        method=b"GET",
        target=b"/read/1",
        headers=(
            (b"Host", b"desk.example"),
            (b"Authorization", b"Bearer key-1"),
            (b"Damaskrill-Router-Hop", b"9"),
            (b"Damaskrill-Request-Deadline", b"3000"),
        ),
        body=b"",
        arrived_at_ms=0.0,
    )
    context.for_peer = peer_headers(
        request,
        remaining_ms=700,
        resume_after=3,
        stream_id="r-9",
        text_version=7,
        grant=ServerGrant(n_left=1, reached=(5, 9)),
    )
    context.for_server = server_headers(
        request,
        server=BackendServer(server_id="i", service="s", address=("127.0.0.1", 1)),
        team=None,
        remaining_ms=700,
        resume_after=None,
        cache_source=None,
    )


@then("the peer gets key, one hop mark and the time that is left, the server no mark")
def step_prepared(context):
    names = [name.lower() for name, _ in context.for_peer]
    by_name = {name.lower(): value for name, value in context.for_peer}
    assert by_name[b"authorization"] == b"Bearer key-1"
    assert names.count(b"damaskrill-router-hop") == 1
    assert by_name[b"damaskrill-router-hop"] == b"7"
    assert by_name[b"damaskrill-request-deadline"] == b"700"
    assert by_name[b"last-event-id"] == b"3"
    assert by_name[b"resumes"] == b"r-9"
    assert by_name[b"damaskrill-router-servers"] == b"1 5 9"
    assert by_name[b"connection"] == b"damaskrill-router-servers"
    sent = {name.lower() for name, _ in context.for_server}
    assert not sent & {b"damaskrill-router-hop", b"authorization"}


@when("a peer answers with {status:d} and {headers}")
def step_peer_answers(context, status, headers):
    names = ((b"Damaskrill-Response-Seal", b"s"),) if headers == "a seal" else ()
    context.metadata = read_peer_answer(AnswerHead(status=status, headers=names))


@then("the request counts as {meaning}")
def step_meaning(context, meaning):
    assert context.metadata.is_not_run == (meaning == "not run")


@given("the operators add a route that only the first gateway knows")
def step_new_route(context):
    testbed = context.testbed
    context.peers = testbed.gateways[1:]
    context.held = []
    for gateway in context.peers:
        hold_configuration(context, gateway)
    content = build_configuration(version=7)
    route = next(each for each in content["routes"] if each["name"] == "r-read")
    content["routes"].append({**route, "name": "r-new", "prefix": "/new/"})
    testbed.call(testbed.store.put, "op/config", content)
    first = testbed.gateways[0]
    assert testbed.wait_for(lambda: first._catalog.configuration.version == 7)


def hold_configuration(context, gateway):
    put = gateway._catalog.put

    def hold(item, now_ms, **options):
        if isinstance(item, ConfigurationItem):
            context.held.append((put, item, now_ms))
        else:
            put(item, now_ms, **options)

    gateway._catalog.put = hold


@given("the first gateway has no path to the servers")
def step_no_path(context):
    context.testbed.call(cut_path, context.testbed.gateways[0], "reset")
    context.testbed.gateways[0]._relay._path._is_cut = True


@given("the app servers work for {work_ms:d} ms on each request")
def step_long_work(context, work_ms):
    for server in context.testbed.servers.values():
        server._work_ms = work_ms


@when("{n:d} callers send a read to the first gateway and leave after {after_ms:d} ms")
def step_leave(context, n, after_ms):
    address = context.testbed.gateways[0]._settings.caller_address

    async def run():
        callers, context.ids = [], []
        for _ in range(n):
            data, request_id = build_request("/read/1", method="GET", body=b"")
            caller = await Caller.open(address)
            caller.send(data)
            callers.append(caller)
            context.ids.append(request_id)
        await asyncio.sleep(after_ms / 1_000)
        for caller in callers:
            caller.close()

    context.testbed.thread.run(run())
    context.left_at = time.monotonic()


@then("each read has reached a server, which stops work within {limit_ms:d} ms")
def step_stopped(context, limit_ms):
    servers = context.testbed.servers.values()
    assert all(context.testbed.runs_of(each) for each in context.ids)

    def has_stopped():
        dropped = {request_id for each in servers for _, request_id in each.drops}
        return dropped >= set(context.ids)

    assert context.testbed.wait_for(has_stopped, limit_ms / 1_000)


@given("its peers get the configuration after {delay_ms:d} ms")
def step_peers_later(context, delay_ms):
    def put_held():
        for put, item, now_ms in context.held:
            put(item, now_ms)

    loop_call(context, delay_ms, put_held)


def loop_call(context, delay_ms, work):
    async def schedule():
        asyncio.get_running_loop().call_later(delay_ms / 1_000, work)

    context.testbed.thread.run(schedule())


@when("{n:d} callers send a read on this route to the first gateway")
def step_read_new(context, n):
    first = context.testbed.gateways[0]

    async def run():
        return await asyncio.gather(*(send_one(first, "/new/1") for _ in range(n)))

    context.replies = [each[2] for each in context.testbed.thread.run(run())]


@then("no reply has status 404, and each 503 comes within {limit_ms:d} ms")
def step_no_404(context, limit_ms):
    statuses = Counter(each.status for each in context.replies)
    assert set(statuses) <= {200, 503}, statuses
    assert max(each.elapsed_ms for each in context.replies) <= limit_ms


@then("all replies have status 200")
def step_all_served(context):
    statuses = Counter(each.status for each in context.replies)
    assert set(statuses) == {200}, statuses
