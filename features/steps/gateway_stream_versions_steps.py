"""Steps for streams beside servers of several software versions."""

import asyncio
import json

from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour, build_configuration
from features.support.gateways import Caller, CallerReply, GatewayTestbed, build_request

N_EVENTS = 6
EVENT_MS = 25
DEADLINE = ("Damaskrill-Request-Deadline", "5000")


def add_engine(context, engine, version, service="pool"):
    context.testbed.add_server(
        engine,
        service,
        entry={"version": version},
        n_events=N_EVENTS,
        event_ms=EVENT_MS,
    )
    context.version_of[engine] = version


@given("a platform whose engines state these versions")
def step_engines(context):
    context.testbed = GatewayTestbed()
    context.add_cleanup(context.testbed.close)
    context.testbed.configure()
    context.version_of = {}
    context.streams = []
    for row in context.table:
        add_engine(context, row["engine"], row["version"])


def settle(context, condition):
    for gateway in context.testbed.gateways:
        assert context.testbed.wait_for(
            lambda each=gateway: condition(each._catalog.find_servers("pool"))
        )


@given('engines "{one}" and "{other}" break streams off in the middle')
@given('engine "{one}" breaks streams off in the middle')
def step_break_off(context, one, other=None):
    for each in filter(None, (one, other)):
        context.testbed.servers[each].misbehaviour = Misbehaviour.CUT


@when('engines "{one}" and "{other}" are full')
def step_full(context, one, other):
    for each in (one, other):
        server = context.testbed.servers.get(each)
        if server is not None:
            server.misbehaviour = Misbehaviour.FULL


@given('engines "{one}" and "{other}" are silent for {silence_ms:d} ms after 2 events')
def step_silent(context, one, other, silence_ms):
    for each in (one, other):
        server = context.testbed.servers[each]
        server.misbehaviour = Misbehaviour.PAUSE
        server.silence_ms = silence_ms


@given('engines "{one}" and "{other}" leave')
@when('engines "{one}" and "{other}" leave')
@given('engine "{one}" leaves')
def step_leave(context, one, other=None):
    names = [each for each in (one, other) if each]
    for each in names:
        context.testbed.call(context.testbed.store.delete, f"servers/{each}")
        context.testbed.entries.pop(each)
    settle(context, lambda servers: not {each.server_id for each in servers} & {*names})


@given('an engine "{engine}" of version "{version}" comes')
@when('an engine "{engine}" of version "{version}" comes')
def step_comes(context, engine, version):
    add_engine(context, engine, version)
    settle(context, lambda servers: engine in {each.server_id for each in servers})


@given('engine "{engine}" states {version} as its version')
def step_states(context, engine, version):
    set_version(context, engine, version)


@given("no engine states a version")
def step_states_none(context):
    for engine in list(context.version_of):
        set_version(context, engine, "nothing")


def set_version(context, engine, version):
    testbed = context.testbed
    entry = testbed.entries[engine]
    if version == "nothing":
        del entry["version"]
    else:
        entry["version"] = json.loads(version)
    testbed.call(testbed.store.put, f"servers/{engine}", entry)
    context.version_of[engine] = "none"
    for gateway in testbed.gateways:
        assert testbed.wait_for(
            lambda each=gateway: (
                engine
                not in {
                    server.server_id
                    for server in each._catalog.find_servers("pool")
                    if getattr(server, "version", "")
                }
            )
        )


@given("the route of checks is split between two services")
def step_split(context):
    content = build_configuration(version=2)
    route = next(each for each in content["routes"] if each["name"] == "r-check")
    route["trafficSplit"] = [
        {"service": "pool", "weight": 50},
        {"service": "pool-2", "weight": 50},
    ]
    pool = next(each for each in content["services"] if each["name"] == "pool")
    content["services"].append({**pool, "name": "pool-2"})
    testbed = context.testbed
    testbed.call(testbed.store.put, "op/config", content)
    for engine in ("f-1", "f-2"):
        add_engine(context, engine, "v9", service="pool-2")
    for gateway in testbed.gateways:
        assert testbed.wait_for(
            lambda each=gateway: (
                len(each._catalog.find_servers("pool-2")) == 2
                and each._catalog.configuration.version == 2
            )
        )


def build_check(number, headers=(), *, last_part="c"):
    parts = f"a{number}:100,b{number}:200,{last_part}:10"
    prompt = ("Damaskrill-Prompt-Prefix", parts)
    return build_request("/check/1", headers=[prompt, DEADLINE, *headers])


async def send_check(gateway, number, headers=(), *, n_events=None, last_part="c"):
    """Return the reply; leave after a number of events if one is given."""
    data, request_id = build_check(number, headers, last_part=last_part)
    caller = await Caller.open(gateway._settings.caller_address)
    started_at = asyncio.get_running_loop().time()
    caller.send(data)
    if n_events is None:
        reply = await caller.read_reply()
    else:
        reply = CallerReply()
        read = asyncio.create_task(caller._read_reply(reply))
        while reply.body.count(b"\n\n") < n_events and not read.done():
            await asyncio.sleep(0.002)
        read.cancel()
        await asyncio.gather(read, return_exceptions=True)
    reply.elapsed_ms = (asyncio.get_running_loop().time() - started_at) * 1_000
    reply.request_id = request_id
    caller.close()
    return reply


async def resume_check(gateway, number, first, *, last_part="c"):
    headers = [
        ("Last-Event-Id", str(first.body.count(b"\n\n"))),
        ("Resumes", first.request_id),
    ]
    return await send_check(gateway, number, headers, last_part=last_part)


def run_all(context, build):
    async def run():
        return await asyncio.gather(*build)

    return context.testbed.thread.run(run())


@when("{n:d} callers break their checks off after 2 events")
def step_begin(context, n):
    gateway = context.testbed.gateways[0]
    context.first = run_all(
        context, [send_check(gateway, i, n_events=2) for i in range(n)]
    )
    assert all(each.body for each in context.first)


@when("these callers resume their checks at the {which} router")
def step_resume(context, which):
    gateways = context.testbed.gateways
    gateway = gateways[-1] if which == "new" else gateways[1]
    context.replies = run_all(
        context,
        [resume_check(gateway, i, each) for i, each in enumerate(context.first)],
    )
    context.streams = list(zip(context.first, context.replies, strict=True))


@when("{n:d} callers break checks off after 2 events and resume them elsewhere")
def step_begin_and_resume(context, n):
    async def play(number):
        gateways = context.testbed.gateways
        first = await send_check(gateways[number % 3], number, n_events=2)
        reply = await resume_check(gateways[(number + 1) % 3], number, first)
        return first, reply

    context.streams = run_all(context, [play(i) for i in range(n)])


@when("{n:d} callers send a check")
def step_send(context, n):
    gateways = context.testbed.gateways
    replies = run_all(context, [send_check(gateways[i % 3], i) for i in range(n)])
    context.streams = [(each,) for each in replies]


@when("{n:d} callers send a check with the same two prompts")
def step_send_same(context, n):
    async def play():
        gateways = context.testbed.gateways
        for i in range(n // 8):
            checks = [send_check(gateways[j % 3], j % 2) for j in range(8)]
            await asyncio.gather(*checks)
            await asyncio.sleep(0.25 if i < 2 else 0)

    context.testbed.thread.run(play())


@when("the router that began them is gone")
def step_first_ends(context):
    context.testbed.call(context.testbed.gateways[0].close)


@when("another router starts and is ready")
def step_fourth(context):
    testbed = context.testbed
    gateway = testbed.add_gateway()
    testbed.wait_until_ready(gateway)
    assert testbed.wait_for(lambda: gateway._mesh.n_links >= 2)


@when("a caller resumes a check that no router knows")
def step_resume_unknown(context):
    first = CallerReply(body=b"\n\n\n\n", request_id="unknown-1")
    gateway = context.testbed.gateways[0]
    context.replies = run_all(context, [resume_check(gateway, 1, first)])


@when("a caller resumes a check without naming the attempt that began it")
def step_resume_unnamed(context):
    gateway = context.testbed.gateways[0]
    headers = [("Last-Event-Id", "2")]
    context.replies = run_all(context, [send_check(gateway, 1, headers)])


def versions_of(context, stream):
    """Return the versions of the engines that ran the attempts of a stream."""
    return {
        context.version_of[server_id]
        for server_id, server in context.testbed.servers.items()
        for reply in stream
        if server.runs[reply.request_id]
    }


@then("no stream has events of two versions")
def step_not_mixed(context):
    mixed = [each for each in context.streams if len(versions_of(context, each)) > 1]
    assert not mixed, f"{len(mixed)} of {len(context.streams)} streams are mixed"


@then('no stream has events of two versions, "{engine}" having its own')
def step_not_mixed_own(context, engine):
    context.version_of[engine] = engine
    step_not_mixed(context)


@then("at least {n:d} of these streams are complete")
def step_complete(context, n):
    n_complete = sum(
        stream[-1].status == 200
        and stream[-1].is_complete
        and sum(each.body.count(b"\n\n") for each in stream) == N_EVENTS
        for stream in context.streams
    )
    assert n_complete >= n, n_complete


@then("the reply has status 503 within {limit_ms:d} ms and no engine has run it")
def step_refused(context, limit_ms):
    (reply,) = context.replies
    assert reply.status == 503, reply
    assert reply.elapsed_ms < limit_ms, reply.elapsed_ms
    assert not context.testbed.runs_of(reply.request_id)


@then("each reply is complete or has status 503 within {limit_ms:d} ms")
def step_at_once(context, limit_ms):
    refused = [each for each in context.replies if each.status == 503]
    assert refused
    assert max(each.elapsed_ms for each in refused) < limit_ms
    others = [each for each in context.replies if each.status != 503]
    assert all(each.status == 200 and each.is_complete for each in others)


@then('a log line of the refusal has the cause "{cause}"')
def step_cause(context, cause):
    lines = [
        line
        for log in context.testbed.logs
        for line in log.lines
        if line["event"] == "request_ended"
    ]
    codes = [each["code"] for line in lines for each in line.get("causes", ())]
    assert cause in codes, codes


@then("no engine was told to copy from an engine of another version")
def step_no_copies(context):
    servers = context.testbed.servers
    by_address = {
        "{}:{}".format(*each.address).encode(): name for name, each in servers.items()
    }
    copies = [
        (by_address[source], name)
        for name, server in servers.items()
        for request in server.requests
        if (source := request.find_header(b"kv-fetch"))
    ]
    mixed = [
        each
        for each in copies
        if context.version_of[each[0]] != context.version_of[each[1]]
    ]
    assert not mixed, mixed


@given("events take {event_ms:d} ms")
def step_slow_events(context, event_ms):
    for server in context.testbed.servers.values():
        server._event_ms = event_ms


def set_cut(gateway, is_cut):
    gateway._relay._path._is_cut = is_cut
    gateway._relay.probe = lambda: None
    gateway._relay._path.record_heard = lambda: False


@given("the path of the first gateway is cut")
def step_cut(context):
    set_cut(context.testbed.gateways[0], True)


@when(
    "{n:d} callers send a check to the first gateway, whose path is cut after "
    "{delay_ms:d} ms"
)
def step_cut_later(context, n, delay_ms):
    change_path(context, n, delay_ms, is_cut=True)


@when(
    "{n:d} callers send a check to the first gateway, whose path is back after "
    "{delay_ms:d} ms"
)
def step_back_later(context, n, delay_ms):
    change_path(context, n, delay_ms, is_cut=False)


@when('its peers and engines "e-1" and "e-3" end at that time')
def step_peers_end(context):
    # The step before has done this.
    assert not any(each._ports[0].connected for each in context.testbed.gateways[1:])


def change_path(context, n, delay_ms, *, is_cut):
    first, *peers = context.testbed.gateways

    async def run():
        checks = [asyncio.create_task(send_check(first, i)) for i in range(n)]
        await asyncio.sleep(delay_ms / 1_000)
        set_cut(first, is_cut)
        if not is_cut:
            for engine in ("e-1", "e-3"):
                context.testbed.servers[engine].close()
            for peer in peers:
                peer.close()
        return await asyncio.gather(*checks)

    replies = context.testbed.thread.run(run())
    context.streams = [(each,) for each in replies]
