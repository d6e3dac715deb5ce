"""Steps for gateways between callers and the platform's fakes."""

import asyncio
import json
import time
from unittest.mock import Mock

from attrs import evolve
from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour, StoreMode
from damaskrill.fakes.platform import build_configuration as build_content
from damaskrill.logs import line_from_map
from damaskrill.report import Objectives, ReportBuilder
from features.support.gateways import PROMPT, Caller, GatewayTestbed, build_request

EVENTS = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, 6))
ROUTER_ONLY = (
    ("Damaskrill-Hold", "forged-1"),
    ("Damaskrill-Pin-Ms", "forged-2"),
    ("Damaskrill-Kv-Backup", "forged-3"),
    ("Kv-From", "forged-4"),
    ("Kv-Fetch", "forged-5"),
    ("Damaskrill-Tenant", "forged-6"),
    ("Damaskrill-Expect-Instance", "forged-7"),
    ("Damaskrill-Request-Priority", "forged-8"),
)


def start_testbed(context):
    context.testbed = GatewayTestbed()
    context.add_cleanup(context.testbed.close)
    return context.testbed


@given("a platform whose store is empty")
def step_empty_platform(context):
    start_testbed(context)


@given('a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"')
def step_platform(context):
    testbed = start_testbed(context)
    testbed.configure()
    for name in ("e-1", "e-2"):
        testbed.add_server(name, "pool")
    for name in ("a-1", "a-2"):
        testbed.add_server(name, "app")


@given("a gateway that is ready")
def step_ready_gateway(context):
    context.testbed.add_gateway()
    context.testbed.wait_until_ready()


@given("a gateway that has started")
def step_started_gateway(context):
    context.testbed.add_gateway()


@given("a gateway that has started and makes the longest pauses between calls")
def step_started_with_longest_pauses(context):
    gateway = context.testbed.add_gateway()
    gateway._reader._random = Mock(uniform=lambda low, high: high)


@when("a caller sends a read 80 ms after the first call and the second is refused too")
def step_read_between_calls(context):
    testbed = context.testbed
    address = testbed.gateways[0]._settings.caller_address
    assert testbed.wait_for(lambda: testbed.store.n_calls >= 1)

    async def run():
        await asyncio.sleep(0.08)
        caller = await Caller.open(address)
        caller.send(build_request("/read/1", method="GET", body=b"")[0])
        while testbed.store.n_calls < 2:
            await asyncio.sleep(0.005)
        testbed.store.set_mode(StoreMode.GOOD)
        reply = await caller.read_reply()
        caller.close()
        return reply

    context.reply = testbed.call(run)


@given("both app servers misbehave by {fault}")
def step_apps_misbehave(context, fault):
    for name in ("a-1", "a-2"):
        context.testbed.servers[name].misbehaviour = Misbehaviour(fault)


@given('app server "{name}" misbehaves by {fault}')
@given('engine "{name}" misbehaves by {fault}')
def step_misbehaves(context, name, fault):
    context.testbed.servers[name].misbehaviour = Misbehaviour(fault)


@given("both engines misbehave by {fault}")
def step_engines_misbehave(context, fault):
    for name in ("e-1", "e-2"):
        context.testbed.servers[name].misbehaviour = Misbehaviour(fault)


@given('engine "{name}" behaves')
def step_behaves(context, name):
    context.testbed.servers[name].misbehaviour = Misbehaviour.NONE


def change_routes(context, change):
    """Publish a configuration with changed routes and wait until it is active."""
    gateway = context.testbed.gateways[0]
    version = gateway._catalog.configuration.version + 1
    content = build_content(version=version)
    for route in content["routes"]:
        change(route)
    context.testbed.call(context.testbed.store.put, "op/config", content)
    assert context.testbed.wait_for(
        lambda: gateway._catalog.configuration.version == version
    )


@given("the routes' limit is {limit_ms:d} ms")
def step_limit(context, limit_ms):
    change_routes(context, lambda route: route.update(timeoutMs=limit_ms))


@given("the routes allow one server")
def step_one_server(context):
    change_routes(context, lambda route: route.update(maxAttempts=1))


@when("a caller sends an issuance and the servers behave after {delay_ms:d} ms")
def step_full_for_a_while(context, delay_ms):
    testbed = context.testbed
    address = testbed.gateways[0]._settings.caller_address

    async def run():
        caller = await Caller.open(address)
        data, request_id = build_request("/issue/1")
        caller.send(data)
        await asyncio.sleep(delay_ms / 1_000)
        for server in testbed.servers.values():
            server.misbehaviour = Misbehaviour.NONE
        reply = await caller.read_reply()
        reply.request_id = request_id
        caller.close()
        return reply

    context.reply = testbed.call(run)


@then("only one server has received the issuance, more than once")
def step_same_server(context):
    n_arrivals = [
        sum(each == context.reply.request_id for _, each in server.arrivals)
        for server in context.testbed.servers.values()
    ]
    assert sorted(n_arrivals)[:-1] == [0] * (len(n_arrivals) - 1), n_arrivals
    assert max(n_arrivals) > 1, n_arrivals


@then('the refusal is because of "{code}"')
def step_refusal_code(context, code):
    assert context.reply.body.decode().startswith(f"{code}:"), context.reply.body


@given("the servers take {work_ms:d} ms for an issuance")
def step_slow(context, work_ms):
    for server in context.testbed.servers.values():
        server._work_ms = work_ms


@when("a caller sends a chat")
def step_chat(context):
    context.reply = context.testbed.send("/chat/1", headers=[PROMPT])


@when("a caller sends a chat with headers that only routers may set")
def step_chat_forged(context):
    context.reply = context.testbed.send("/chat/1", headers=[PROMPT, *ROUTER_ONLY])


@when('a caller sends a read with key "{key}"')
def step_read_with_key(context, key):
    context.reply = context.testbed.send("/read/1", method="GET", body=b"", key=key)


@when("a caller sends a read")
def step_read(context):
    context.reply = context.testbed.send("/read/1", method="GET", body=b"")


@when('a caller sends a request to "{path}"')
def step_request_to(context, path):
    context.reply = context.testbed.send(path)


@when("a caller sends an issuance")
def step_issuance(context):
    context.reply = context.testbed.send("/issue/1")


@when("{n:d} callers send a read")
def step_reads(context, n):
    context.replies = [
        context.testbed.send("/read/1", method="GET", body=b"") for _ in range(n)
    ]


@when("{n:d} callers send a check each with its own prompt")
def step_checks(context, n):
    prompts = [("Damaskrill-Prompt-Prefix", f"a{i}:9,b{i}:9,c:9") for i in range(n)]
    context.replies = [
        context.testbed.send("/check/1", headers=[prompt]) for prompt in prompts
    ]


@when("a caller sends an issuance and disconnects after {delay_ms:d} ms")
def step_disconnect(context, delay_ms):
    address = context.testbed.gateways[0]._settings.caller_address
    data, _ = build_request("/issue/1")

    async def run():
        caller = await Caller.open(address)
        caller.send(data)
        await asyncio.sleep(delay_ms / 1_000)
        caller.close()

    context.testbed.call(run)
    context.left_at = time.monotonic()


@when("a caller pipelines {n:d} issuances on one connection")
def step_pipelined(context, n):
    address = context.testbed.gateways[0]._settings.caller_address
    requests = [build_request("/issue/1") for _ in range(n)]

    async def run():
        caller = await Caller.open(address)
        caller.send(b"".join(data for data, _ in requests))
        replies = [await caller.read_reply() for _ in range(n)]
        caller.close()
        return replies

    context.replies = context.testbed.call(run)
    context.request_ids = [request_id for _, request_id in requests]


def send_raw(context, data):
    address = context.testbed.gateways[0]._settings.caller_address

    async def run():
        caller = await Caller.open(address)
        caller.send(data)
        reply = await caller.read_reply()
        caller.close()
        return reply

    context.reply = context.testbed.call(run)


@when("a caller sends a request with a length and chunks")
def step_two_framings(context):
    data, _ = build_request("/issue/1", headers=[("Transfer-Encoding", "chunked")])
    send_raw(context, data)


@when("a caller sends half a head and waits")
def step_half_head(context):
    data, _ = build_request("/issue/1")
    send_raw(context, data[:30])


@when("a caller sends an issuance whose body is a request")
def step_smuggled(context):
    inner, _ = build_request("/issue/2")
    context.reply = context.testbed.send("/issue/1", body=inner)


@when("a caller sends an issuance with a body of {n:d} bytes")
def step_large(context, n):
    context.reply = context.testbed.send("/issue/1", body=b"x" * n)


@when("a caller sends an issuance and the gateway is stopped meanwhile")
def step_stop(context):
    testbed = context.testbed
    gateway = testbed.gateways[0]

    async def run():
        caller = await Caller.open(gateway._settings.caller_address)
        caller.send(build_request("/issue/1")[0])
        await asyncio.sleep(0.1)
        stopping = asyncio.get_running_loop().create_task(gateway.stop())
        reply = await caller.read_reply()
        context.was_ready = gateway.is_ready
        caller.close()
        await stopping
        return reply

    context.reply = testbed.call(run)


@when('app server "{name}" starts draining')
def step_drains(context, name):
    context.testbed.change_entry(name, state="draining")
    testbed, gateway = context.testbed, context.testbed.gateways[0]
    context.announced_at = time.monotonic()
    if testbed.store.mode is StoreMode.GOOD and len(testbed.gateways) == 1:
        assert testbed.wait_for(lambda: _is_draining(gateway, name))


def _is_draining(gateway, name):
    entry = gateway._catalog._servers.get(name)
    return entry is not None and entry.server.is_leaving


@when('the data centre "{name}" is taken out of service')
def step_out_of_service(context, name):
    context.testbed.call(context.testbed.store.put, f"op/evacuate/{name}", {})
    gateway = context.testbed.gateways[0]
    assert context.testbed.wait_for(lambda: name in gateway._catalog.data_centres_out)


@when("the store becomes {mode} for {duration_ms:d} ms")
def step_store_mode(context, mode, duration_ms):
    context.testbed.call(context.testbed.store.set_mode, StoreMode(mode))
    time.sleep(duration_ms / 1_000)


@when('the store recovers and app server "{name}" starts draining')
def step_store_good(context, name):
    context.testbed.call(context.testbed.store.set_mode, StoreMode.GOOD)
    context.testbed.change_entry(name, state="draining")
    context.announced_at = time.monotonic()


@when("a second gateway starts that cannot reach the store")
def step_second(context):
    context.announced_at = time.monotonic()
    context.testbed.add_gateway(store=("127.0.0.1", 9))


@when("invalid entries of another writer are stored")
def step_invalid_entries(context):
    put = context.testbed.store.put
    for name, content in (
        ("x-1", b"\xff\xfe"),
        ("x-2", b"[]"),
        ("x-3", {"service": 7, "address": "127.0.0.1:9", "state": "ready"}),
        ("x-4", {**context.testbed.entries["a-1"], "state": "napping"}),
        ("x-5", {**context.testbed.entries["a-1"], "slotCount": "many"}),
    ):
        context.testbed.call(put, f"servers/{name}", content)


@when("an invalid configuration is stored")
def step_invalid_configuration(context):
    context.testbed.call(
        context.testbed.store.put, "op/config", {"version": 9, "routes": 1}
    )
    log = context.testbed.logs[0]
    assert context.testbed.wait_for(
        lambda: any(each["event"] == "configuration_refused" for each in log.lines)
    )


@then("the status is {status:d}")
def step_status(context, status):
    assert context.reply.status == status, context.reply


@then("the status is {status:d} within {low:d} to {high:d} ms")
def step_status_within(context, status, low, high):
    assert context.reply.status == status, context.reply
    assert low <= context.reply.elapsed_ms <= high, context.reply.elapsed_ms


@then("the status is 200 and the body holds events 1 to 5 once each")
def step_complete_stream(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.is_complete and context.reply.body == EVENTS, context.reply


@then("the status is 200 and the body is not complete")
def step_not_complete(context):
    assert context.reply.status == 200, context.reply
    assert not context.reply.is_complete, context.reply


@then('the server received team "{team}", its own name and no key')
def step_server_received(context, team):
    server, request = next(
        (server, server.requests[0])
        for server in context.testbed.servers.values()
        if server.requests
    )
    assert request.find_header(b"damaskrill-tenant") == team.encode()
    expected = request.find_header(b"damaskrill-expect-instance")
    assert expected == server.server_id.encode()
    assert request.find_header(b"authorization") is None
    deadline = int(request.find_header(b"damaskrill-request-deadline"))
    assert 2_500 < deadline <= 3_000, deadline


@then("the server received none of their values")
def step_not_forged(context):
    assert context.reply.status == 200, context.reply
    requests = [r for s in context.testbed.servers.values() for r in s.requests]
    values = {value for request in requests for _, value in request.headers}
    assert not any(value.startswith(b"forged") for value in values), values


@then("the request has run {n:d} times")
def step_n_runs(context, n):
    assert context.testbed.runs_of(context.reply.request_id) == n


@then("all statuses are {status:d}")
def step_all_statuses(context, status):
    statuses = [reply.status for reply in context.replies]
    assert set(statuses) == {status}, statuses


@then("each reply is the answer to its own request")
def step_own_answers(context):
    for reply in context.replies:
        assert reply.request_id.encode() in reply.body, reply


@then("all streams hold events 1 to 5 once each")
def step_all_streams(context):
    for reply in context.replies:
        assert reply.is_complete and reply.body == EVENTS, reply


@then("the server's run is dropped within {limit_ms:d} ms")
def step_dropped(context, limit_ms):
    servers = context.testbed.servers.values()
    assert context.testbed.wait_for(
        lambda: sum(server.n_dropped for server in servers) == 1, limit_ms / 1_000
    )


@then('server "{name}" has run no request')
def step_run_nothing(context, name):
    assert not context.testbed.servers[name].runs


@then("the servers have run no request")
def step_none_run(context):
    assert sum(context.testbed.runs_by_server().values()) == 0


@then("the servers have run {n:d} request")
def step_some_run(context, n):
    assert sum(context.testbed.runs_by_server().values()) == n


@then("the replies are in the order of the requests")
def step_in_order(context):
    for reply, request_id in zip(context.replies, context.request_ids, strict=True):
        assert reply.status == 200 and request_id.encode() in reply.body, reply


@then("the reply closes the connection")
def step_closes(context):
    assert context.reply.headers.get("connection") == "close", context.reply


@then("the gateway reports that it is not ready")
def step_not_ready(context):
    assert context.was_ready is False


@then('the gateway lists "{name}" as draining within {limit_ms:d} ms')
def step_lists_draining(context, limit_ms, name):
    gateway = context.testbed.gateways[0]
    assert context.testbed.wait_for(
        lambda: _is_draining(gateway, name), limit_ms / 1_000
    )


@then("the second gateway is ready within {limit_ms:d} ms")
def step_second_ready(context, limit_ms):
    gateway = context.testbed.gateways[1]
    assert context.testbed.wait_for(lambda: gateway.is_ready, limit_ms / 1_000)


@then('the second gateway lists "{name}" as draining within {limit_ms:d} ms')
def step_second_lists_draining(context, limit_ms, name):
    gateway = context.testbed.gateways[1]
    assert context.testbed.wait_for(
        lambda: _is_draining(gateway, name), limit_ms / 1_000
    )


@then('the log contains "{first}" and "{second}"')
def step_log_contains(context, first, second):
    events = {line["event"] for line in context.testbed.logs[0].lines}
    assert {first, second} <= events, events


@given("the store is busy")
def step_busy(context):
    context.testbed.call(context.testbed.store.set_mode, StoreMode.BUSY)


@when("the store recovers after {delay_ms:d} ms")
def step_recovers(context, delay_ms):
    time.sleep(delay_ms / 1_000)
    context.testbed.call(context.testbed.store.set_mode, StoreMode.GOOD)


@then("the gateway is ready within {limit_ms:d} ms")
def step_ready_within(context, limit_ms):
    gateway = context.testbed.gateways[0]
    assert context.testbed.wait_for(lambda: gateway.is_ready, limit_ms / 1_000)


@when("a caller sends a read and the store recovers {delay_ms:d} ms later")
def step_read_at_start(context, delay_ms):
    testbed = context.testbed
    address = testbed.gateways[0]._settings.caller_address

    async def run():
        caller = await Caller.open(address)
        caller.send(build_request("/read/1", method="GET", body=b"")[0])
        await asyncio.sleep(delay_ms / 1_000)
        testbed.store.set_mode(StoreMode.GOOD)
        reply = await caller.read_reply()
        caller.close()
        return reply

    context.reply = testbed.call(run)


@given("the routes' limit is {limit_ms:d} ms but {issue_ms:d} ms for an issuance")
def step_limits(context, limit_ms, issue_ms):
    def change(route):
        is_issue = route["name"] == "r-issue"
        route["timeoutMs"] = issue_ms if is_issue else limit_ms

    change_routes(context, change)


@given("the engines make {n:d} events in {duration_ms:d} ms")
def step_long_streams(context, n, duration_ms):
    for name in ("e-1", "e-2"):
        context.testbed.servers[name]._n_events = n
        context.testbed.servers[name]._event_ms = duration_ms / n


@when("a chat runs and the gateway with {grace_ms:d} ms of grace is stopped")
def step_stop_with_chat(context, grace_ms):
    testbed, gateway = context.testbed, context.testbed.gateways[0]
    deadline = ("Damaskrill-Request-Deadline", "15000")
    context.chat = build_request("/chat/1", headers=[PROMPT, deadline])[0]

    async def run():
        gateway._settings = evolve(gateway._settings, grace_ms=grace_ms)
        context.caller = await Caller.open(gateway._settings.caller_address)
        context.caller.send(context.chat)
        await asyncio.sleep(0.2)
        context.stopping = asyncio.get_running_loop().create_task(gateway.stop())

    testbed.call(run)


@when("{delay_ms:d} ms later a caller sends a chat and another an issuance")
def step_late_requests(context, delay_ms):
    time.sleep(delay_ms / 1_000)
    address = context.testbed.gateways[0]._settings.caller_address

    async def send(data):
        caller = await Caller.open(address)
        caller.send(data)
        reply = await caller.read_reply()
        caller.close()
        return reply

    context.late_chat = context.testbed.call(send, context.chat)
    context.late_issuance = context.testbed.call(send, build_request("/issue/1")[0])


@when(
    "{delay_ms:d} ms later a caller connects and sends an issuance after "
    "{pause_ms:d} ms more"
)
def step_slow_first_request(context, delay_ms, pause_ms):
    time.sleep(delay_ms / 1_000)
    address = context.testbed.gateways[0]._settings.caller_address

    async def run():
        caller = await Caller.open(address)
        await asyncio.sleep(pause_ms / 1_000)
        caller.send(build_request("/issue/1")[0])
        reply = await caller.read_reply()
        caller.close()
        return reply

    context.reply = context.testbed.call(run)


@then("the chat is refused with 503 and the issuance is answered")
def step_late_replies(context):
    assert context.late_chat.status == 503, context.late_chat
    assert "retry-after" in context.late_chat.headers
    assert context.late_issuance.status == 200, context.late_issuance


@then("the running chat has ended as complete")
def step_ran_to_end(context):
    async def run():
        reply = await context.caller.read_reply()
        context.caller.close()
        await context.stopping
        return reply

    reply = context.testbed.call(run)
    assert reply.is_complete and reply.status == 200, reply
    assert reply.body.count(b"data:") == 100


@then("no server is ejected")
def step_none_ejected(context):
    events = [line["event"] for line in context.testbed.logs[0].lines]
    assert "server_left_out" not in events, events


@then("each line of the log can be read")
def step_lines_read(context):
    lines = context.testbed.logs[0].lines
    for line in lines:
        content = json.loads(json.dumps({"at_ms": 1, **line}))
        assert line_from_map(content) is not None, line


@then('the request\'s end is logged with outcome "{outcome}" and cause "{code}"')
def step_end_logged(context, outcome, code):
    ends = [e for e in context.testbed.logs[0].lines if e["event"] == "request_ended"]
    assert ends[0]["outcome"] == outcome, ends[0]
    assert ends[0]["causes"][0]["code"] == code, ends[0]


@then('its detail is "{detail}"')
def step_detail(context, detail):
    ends = [e for e in context.testbed.logs[0].lines if e["event"] == "request_ended"]
    assert ends[0]["detail"] == detail, ends[0]


@then("no line contains a key or a body")
def step_no_secret(context):
    text = json.dumps(context.testbed.logs[0].lines)
    assert "key-1" not in text and "hello" not in text


@then("no refusal reports a read that has run as not run")
def step_true_refusals(context):
    for reply in context.replies:
        has_run = context.testbed.runs_of(reply.request_id) > 0
        assert not (has_run and reply.status == 503), reply


@given(
    "the routes allow pauses of {pause_ms:d} ms and the engines take "
    "{event_ms:d} ms for an event"
)
def step_pauses(context, pause_ms, event_ms):
    content = build_content(version=2)
    for route in content["routes"]:
        route["targetGapMs"] = pause_ms
    context.testbed.call(context.testbed.store.put, "op/config", content)
    gateway = context.testbed.gateways[0]
    assert context.testbed.wait_for(lambda: gateway._catalog.configuration.version == 2)
    for server in context.testbed.servers.values():
        server._event_ms = event_ms


@then(
    "its line gives the load, the target of {target_ms:d} ms and the first answer "
    "after {first_ms:d} ms"
)
def step_line_gives(context, target_ms, first_ms):
    ends = [e for e in context.testbed.logs[0].lines if e["event"] == "request_ended"]
    line = ends[0]
    assert line["target_ms"] == target_ms, line
    assert first_ms <= line["first_ms"] <= line["latency_ms"], line
    assert 0 <= line["wait_ms"] < line["first_ms"] - first_ms + 100, line
    assert line["load"] >= 0 and "load_age_ms" in line, line


@then("the metrics include histograms of waits, first answers and pauses")
def step_histograms(context):
    gateway = context.testbed.gateways[0]
    text = context.testbed.call(gateway._metrics.render, {}).decode()
    for name, service in (
        ("wait", "app"),
        ("first_answer", "app"),
        ("first_answer", "pool"),
        ("longest_pause", "pool"),
    ):
        counts = [
            line
            for line in text.splitlines()
            if line.startswith(f"damaskrill_gateway_{name}_seconds_count")
            and f'service="{service}"' in line
        ]
        assert counts and counts[0].endswith(" 1.0"), (name, service)


@then('the report has 1 lost request, for "{sentence}"')
def step_report(context, sentence):
    builder = ReportBuilder(objectives=Objectives())
    for line in context.testbed.logs[0].lines:
        builder.add_line(line_from_map({"at_ms": 1, **line}))
    context.report = builder.finish()
    assert [each.n_lost for each in context.report.causes] == [1], context.report
    assert sentence in context.report.causes[0].cause, context.report


@then("it counts 1 request as its caller's error and no cause is missing")
def step_callers_own(context):
    assert context.report.n_callers_own == 1, context.report
    assert "no cause was logged" not in str(context.report.causes)
