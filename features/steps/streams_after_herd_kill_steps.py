"""Steps for streams that engines' caches tell the version of."""

import asyncio
import time

from behave import given, then, when

from damaskrill.catalog import BackendServer
from damaskrill.fakes.platform import EndlessPart, build_configuration
from damaskrill.gateway._cache_reader import CacheReader
from damaskrill.steering import (
    CacheContent,
    ServedServers,
    find_cached_origin,
    find_origins,
)
from features.steps.gateway_stream_versions_steps import (
    N_EVENTS,
    resume_check,
    run_all,
    send_check,
    settle,
)
from features.support.gateways import CallerReply

N_MEMORY_TOKENS = 100_000
HUGE_BYTES = 2_000_000
FALSE_LISTS = {
    "nothing": b"{",
    "an endless body": EndlessPart.CHUNKED_BODY,
    "an endless head": EndlessPart.HEADERS,
    "2 MB": b'{"born":1000,"epoch":1,"next":1,"held":[' + b" " * HUGE_BYTES + b"]}",
}


def build_engine_configuration(**changes):
    """Return a configuration whose engines state their memory."""
    content = build_configuration(**changes)
    for service in content["services"]:
        if service["name"] == "pool":
            service["engineName"] = {"slotCount": 8, "kvTokens": N_MEMORY_TOKENS}
    return content


@given("a platform whose engines with a prompt cache state these versions")
def step_engines(context):
    context.execute_steps(
        "Given a platform whose engines state these versions\n"
        + "\n".join(
            f"| {' | '.join(cells)} |"
            for cells in (context.table.headings, *(row.cells for row in context.table))
        )
    )
    testbed = context.testbed
    testbed.call(testbed.store.put, "op/config", build_engine_configuration(version=2))
    for server in testbed.servers.values():
        server.cache.n_tokens = N_MEMORY_TOKENS


@when("{n:d} callers break checks with prompts of their own off after 2 events")
def step_begin(context, n):
    gateways = context.testbed.gateways
    context.first = run_all(
        context,
        [
            send_check(
                gateways[number % len(gateways)],
                number,
                n_events=2,
                last_part=f"d{number:x}",
            )
            for number in range(n)
        ],
    )
    assert all(each.body for each in context.first)


@when(
    '{n:d} callers break checks of sessions off that engines "{one}" and "{other}" '
    "have read"
)
def step_begin_sessions(context, n, one, other):
    step_begin(context, n)
    for number in range(n):
        for engine in (one, other):
            context.testbed.servers[engine].cache.add(f"d{number:x}", 10)


@when("nothing else happens")
def step_nothing(context):
    pass


@when('engine "{engine}" crashes')
def step_crash(context, engine):
    context.testbed.call(context.testbed.servers[engine].close)


@when('engine "{engine}" starts again')
def step_restart(context, engine):
    start_again(context, engine)
    context.testbed.change_entry(engine, born=2_000)
    settle(
        context,
        lambda servers: any(each.started_at_ms == 2_000 for each in servers),
    )


@when('engine "{engine}" starts again and its entry has not changed yet')
def step_restart_unlisted(context, engine):
    start_again(context, engine)


def start_again(context, engine):
    server = context.testbed.servers[engine]
    server.started_at_ms = 2_000
    server.cache.clear()


@when('engine "{engine}" does not list its parts')
def step_silent(context, engine):
    context.testbed.servers[engine].false_list = b""


@when('engine "{engine}" lists its parts as {text}')
def step_false_list(context, engine, text):
    server = context.testbed.servers[engine]
    server.false_list = FALSE_LISTS.get(text, text.encode())


@when('engines "{one}" and "{other}" have evicted their parts for other ones')
def step_evict(context, one, other):
    for engine in (one, other):
        cache = context.testbed.servers[engine].cache
        for number in range(200):
            cache.add(f"e{number:x}", N_MEMORY_TOKENS // 200)


@when('engines "{one}" and "{other}" have filled their memory with other parts')
def step_fill(context, one, other):
    for engine in (one, other):
        cache = context.testbed.servers[engine].cache
        cache.add("fill", N_MEMORY_TOKENS - cache.n_held)


@when('engine "{engine}" leaves and is gone')
def step_leave(context, engine):
    context.execute_steps(f'Given engine "{engine}" leaves')


@when('engine "{engine}" is gone and the store discards its history')
def step_leave_discarded(context, engine):
    step_leave(context, engine)
    testbed = context.testbed
    testbed.call(testbed.store.discard_history)
    testbed.call(testbed.store.put, "op/config", build_engine_configuration(version=3))


@when('engines "{one}" and "{other}" are cold')
def step_cold(context, one, other):
    for engine in (one, other):
        context.testbed.servers[engine].cache.clear()
        context.testbed.change_entry(engine, coldRemainingMs=60_000)


@when("these callers take their checks up at all routers")
def step_resume(context):
    gateways = context.testbed.gateways

    async def resume(number, first):
        began_at = time.monotonic()
        reply = await resume_check(
            gateways[(number + 1) % len(gateways)],
            number,
            first,
            last_part=f"d{number:x}",
        )
        reply.elapsed_ms = (time.monotonic() - began_at) * 1_000
        return reply

    async def run():
        return await asyncio.gather(
            *(resume(number, first) for number, first in enumerate(context.first))
        )

    context.replies = context.testbed.thread.run(run())
    context.streams = list(zip(context.first, context.replies, strict=True))


@when(
    "callers resume unknown checks at all routers every {every_ms:d} ms for {ms:d} ms"
)
def step_unknown(context, every_ms, ms):
    gateways = context.testbed.gateways

    async def resume(gateway, number):
        first = CallerReply(body=b"\n\n\n\n", request_id=f"unknown-{number}")
        return await resume_check(gateway, number, first, last_part=f"f{number:x}")

    async def run():
        tasks = []
        for number in range(ms // every_ms):
            for gateway in gateways:
                tasks.append(asyncio.create_task(resume(gateway, number)))
            await asyncio.sleep(every_ms / 1_000)
        return await asyncio.gather(*tasks)

    context.replies = context.testbed.thread.run(run())
    assert all(each.status == 503 for each in context.replies)


def streams_of(context, engine):
    server = context.testbed.servers[engine]
    return [each for each in context.streams if server.runs[each[0].request_id]]


@then('at least {percent:d} % of the streams that engine "{engine}" began are complete')
def step_share(context, percent, engine):
    streams = streams_of(context, engine)
    n_complete = sum(
        reply.status == 200
        and reply.is_complete
        and (first.body + reply.body).count(b"\n\n") == N_EVENTS
        for first, reply in streams
    )
    assert streams
    assert n_complete >= percent / 100 * len(streams), (n_complete, len(streams))


@then('none of the streams that engine "{engine}" began has run again')
def step_none(context, engine):
    streams = streams_of(context, engine)
    assert streams
    assert not any(context.testbed.runs_of(each[1].request_id) for each in streams)


@then("each reply has come within {limit_ms:d} ms")
def step_within(context, limit_ms):
    longest_ms = max(each.elapsed_ms for each in context.replies)
    assert longest_ms <= limit_ms, longest_ms


@then("each engine has listed its parts at most {n:d} times for each router")
def step_lists(context, n):
    testbed = context.testbed
    counts = [each.cache.n_lists for each in testbed.servers.values()]
    assert max(counts) <= n * len(testbed.gateways), counts


@then("no engine has listed its parts")
def step_no_lists(context):
    counts = [each.cache.n_lists for each in context.testbed.servers.values()]
    assert not any(counts), counts


@then('each stream that goes on has a line with its evidence "{evidence}"')
def step_lines(context, evidence):
    lines = {
        line["request_id"]: line
        for log in context.testbed.logs
        for line in log.lines
        if line["event"] == "stream_goes_on"
    }
    for first, reply in context.streams:
        if reply.status != 200:
            continue
        line = lines[reply.request_id]
        n_before = first.body.count(b"\n\n")
        assert line["stream_id"] == first.request_id, line
        assert line["evidence"] == evidence, line
        assert (line["last_event"], line["first_event"]) == (n_before, n_before + 1)


@when("a router reads an engine's parts, and again {ms:d} ms later with a part more")
def step_read_twice(context, ms):
    testbed = context.testbed
    gateway = testbed.gateways[0]
    reader = gateway._streams._cached._reader

    async def run():
        (server,) = [
            each
            for each in gateway._catalog.find_servers("pool")
            if each.server_id == "e-1"
        ]
        first = await reader.read("pool", [server])
        context.first_read_at = time.monotonic()
        await asyncio.sleep(ms / 1_000)
        testbed.servers["e-1"].cache.add("abc", 10)
        second = await reader.read("pool", [server])
        context.second_read_at = time.monotonic()
        return first[server.key], second[server.key]

    context.readings = testbed.thread.run(run())


@then("the second reading has that part, and came at least {ms:d} ms after the first")
def step_second(context, ms):
    first, second = context.readings
    assert "abc" not in first.part_ids
    assert "abc" in second.part_ids
    elapsed_ms = (context.second_read_at - context.first_read_at) * 1_000
    assert elapsed_ms >= ms, elapsed_ms


@when("one of {n_routers:d} routers may ask {n_engines:d} engines")
def step_large(context, n_routers, n_engines):
    reader = CacheReader(
        reactor=None,
        pool=None,
        binding=None,
        may_ask=lambda server: True,
        n_routers=lambda: n_routers,
        log=None,
    )
    servers = [build_server(f"e-{i}", "v1") for i in range(n_engines)]
    context.n_asked = len(reader.find_sources(servers))


@then("it asks {n:d} of them")
def step_asked(context, n):
    assert context.n_asked == n, context.n_asked


STARTED_AT_MS = 1_000
MEMORY_TOKENS = 100


def build_server(name, version):
    return BackendServer(
        server_id=name,
        started_at_ms=STARTED_AT_MS,
        service="pool",
        address=("127.0.0.1", 1),
        version=version,
    )


def origin_of(version):
    server = build_server("any", version)
    return find_origins([server])[server.key]


def conclude(context, text, n_memory_tokens):
    """Conclude from words such as ``a=v1:p*20``: engine, version, part and tokens."""
    served, contents = {}, {}
    for word in text.split():
        name, _, stated = word.partition("=")
        version, _, held = stated.partition(":")
        key = build_server(name, version).key
        served[key] = served.get(key, frozenset()) | {origin_of(version)}
        if held == "gone":
            continue
        part, _, n_tokens = held.partition("*")
        is_restarted = part == "restarted"
        contents[key] = CacheContent(
            started_at_ms=STARTED_AT_MS + is_restarted,
            part_ids=frozenset({"p"} if is_restarted else {part} - {""}),
            n_tokens=int(n_tokens or 10),
        )
    context.conclusion = find_cached_origin(
        "p", served, contents, n_memory_tokens=n_memory_tokens
    )


@when("engines at which a stream may have begun state {text}")
def step_conclude(context, text):
    conclude(context, text, MEMORY_TOKENS)


@when("engines of unknown memory at which a stream may have begun state {text}")
def step_conclude_unknown(context, text):
    conclude(context, text, 0)


@then('the finding on the stream is "{finding}" with version "{version}"')
def step_finding(context, finding, version):
    conclusion = context.conclusion
    assert conclusion.finding.value == finding, conclusion
    wanted = None if version == "none" else origin_of(version)
    assert conclusion.origin == wanted, conclusion


@when(
    'an engine of version "{gone}" was listed beside one of "{version}" until '
    "{ago_ms:d} ms ago"
)
def step_served(context, gone, version, ago_ms):
    context.served = ServedServers()
    stays = build_server("a", version)
    context.served.observe("pool", [stays, build_server("b", gone)], 0.0)
    context.served.observe("pool", [stays], float(ago_ms))
    context.now_ms = float(ago_ms)


@then('a stream may have begun at versions "{versions}" within {age_ms:d} ms')
def step_may_have_begun(context, versions, age_ms):
    found = context.served.find("pool", context.now_ms, age_ms)
    origins = frozenset().union(*found.values())
    assert origins == {origin_of(each) for each in versions.split()}, found
