"""Steps for records of the versions at which streams began, and who keeps them."""

import asyncio
import re
from collections import Counter

from behave import given, then, when

from damaskrill.catalog import BackendServer
from damaskrill.mesh import MemberEntry, MemberTable, StreamNotice, encode
from damaskrill.steering import (
    OriginEvidence,
    StreamOrigins,
    choose_origin,
    find_origins,
)
from features.steps.gateway_stream_versions_steps import (
    resume_check,
    run_all,
    send_check,
)

# Header of a masked websocket frame of this size.
WEBSOCKET_BYTES = 6
MEMBERS_KNOWN_S = 15


async def read_nothing():
    return None


def build_servers(versions):
    return tuple(
        BackendServer(
            server_id=f"i-{version}",
            service="pool",
            address=("127.0.0.1", 1),
            version=version,
        )
        for version in versions.split()
    )


@given('servers of the versions "{versions}" are known from {at_ms:d} ms on')
def step_known(context, versions, at_ms):
    if not at_ms:
        context.origins = StreamOrigins()
        context.servers = build_servers(versions)
    for now_ms in range(0, at_ms, 1_000):
        context.origins.observe("pool", context.servers, now_ms)
    context.servers = build_servers(versions)
    context.origins.observe("pool", context.servers, at_ms)
    context.at_ms = at_ms


@when("the origin of an unrecorded stream is sought at {at_ms:d} ms")
def step_seek(context, at_ms):
    for now_ms in range(context.at_ms, at_ms, 500):
        context.origins.observe("pool", context.servers, now_ms)
    context.found = context.origins.find(1, "pool", at_ms).origin


@then('it is "{version}"')
def step_origin(context, version):
    wanted = None
    if version != "none":
        wanted = next(iter(find_origins(build_servers(version)).values()))
    assert context.found == wanted


def parse_evidence(evidence):
    found = []
    for each in evidence.split(","):
        match = re.match(r"\s*(concluded|recorded) (\d+) after (\d+)", each)
        if match:
            kind, origin, observed_ms = match.groups()
            found.append(
                OriginEvidence(
                    origin=int(origin),
                    is_recorded=kind == "recorded",
                    observed_ms=int(observed_ms),
                )
            )
        elif "unknown" in each:
            found.append(OriginEvidence())
    return found


@when("routers answer with {evidence}, having watched for {min_ms:d} ms at least")
def step_answers_watched(context, evidence, min_ms):
    context.found = choose_origin(parse_evidence(evidence), min_ms)


@when("routers answer with {evidence}")
def step_answers(context, evidence):
    context.found = choose_origin(parse_evidence(evidence))


@then("the chosen origin is {origin}")
def step_chosen(context, origin):
    assert context.found == (None if origin == "none" else int(origin))


@given("16 routers in two data centres that know each other")
def step_large_fleet(context):
    start_fleet(context, 16, ("bole", "kality"))


@given("{n:d} routers in one data centre that know each other")
def step_one_centre(context, n):
    start_fleet(context, n, ("bole",))


def start_fleet(context, n, centres):
    testbed = context.testbed
    for number in range(n):
        testbed.add_gateway(data_centre=centres[number % len(centres)])
    for gateway in testbed.gateways:
        testbed.wait_until_ready(gateway)
    assert testbed.wait_for(
        lambda: all(each._members.n_members == n for each in testbed.gateways),
        MEMBERS_KNOWN_S,
    )


@given("news of streams takes {ms:d} ms, and is lost if its router ends meanwhile")
def step_slow_news(context, ms):
    for gateway in context.testbed.gateways:
        delay_notices(context.testbed, gateway, ms / 1_000)


def delay_notices(testbed, gateway, delay_s):
    send = gateway._mesh.send_message

    def send_unless_ended(address, message):
        if gateway in testbed.gateways:
            send(address, message)

    def send_later(address, message):
        if not isinstance(message, StreamNotice):
            send(address, message)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, send_unless_ended, address, message)

    gateway._mesh.send_message = send_later


@when(
    "{n:d} callers begin checks at {n_routers:d} routers, which end when each has had "
    "1 event"
)
def step_begin_and_end(context, n, n_routers):
    testbed = context.testbed
    ending = testbed.gateways[:n_routers]
    checks = [send_check(ending[i % n_routers], i, n_events=1) for i in range(n)]

    async def run():
        first = await asyncio.gather(*checks)
        del testbed.gateways[:n_routers]
        for gateway in ending:
            gateway.close()
        return first

    context.first = testbed.thread.run(run())
    assert all(each.body for each in context.first)


@when("these callers resume their checks at the other routers")
def step_resume_others(context):
    gateways = context.testbed.gateways
    replies = run_all(
        context,
        [
            resume_check(gateways[i % len(gateways)], i, first)
            for i, first in enumerate(context.first)
        ],
    )
    context.streams = list(zip(context.first, replies, strict=True))


@when("{n:d} callers begin checks at all routers and break them off after 2 events")
def step_begin(context, n):
    gateways = context.testbed.gateways
    context.first = run_all(
        context, [send_check(gateways[i % 16], i, n_events=2) for i in range(n)]
    )


@when("these callers resume their checks at other routers of the data centre")
def step_resume_same(context):
    resume(context, shift=2)


@when("these callers resume their checks at routers of the other data centre")
def step_resume_other(context):
    resume(context, shift=3)


def resume(context, shift):
    gateways = context.testbed.gateways
    replies = run_all(
        context,
        [
            resume_check(gateways[(i + shift) % 16], i, first)
            for i, first in enumerate(context.first)
        ],
    )
    context.streams = list(zip(context.first, replies, strict=True))


@given("{n:d} routers in {n_centres:d} data centres whose messages are counted")
def step_counted_routers(context, n, n_centres):
    context.entries = [
        MemberEntry(f"10.0.{i // 250}.{i % 250}:7000", 1, f"dc-{i % n_centres}", 1)
        for i in range(n)
    ]
    context.centre_of = {each.address: each.data_centre for each in context.entries}
    context.n_sent, context.n_received = Counter(), Counter()
    context.pairs = set()


class CountingCatalog:
    """Catalog with servers of two versions."""

    configuration = None
    servers = build_servers("v1 v1.1")

    def find_all_servers(self, service):
        return self.servers


@when("each router begins {per_s:d} streams a second while two versions serve")
def step_streams(context, per_s):
    from damaskrill.gateway._stream_versions import StreamVersions

    async def run():
        for entry in context.entries:
            members = MemberTable(own=entry)
            for each in context.entries:
                members.merge(each, 0.0)

            def send(address, message, own=entry.address):
                size = len(encode(message)) + WEBSOCKET_BYTES
                context.n_sent[own] += size
                context.n_received[address] += size
                context.pairs.add((own, address))

            streams = StreamVersions(
                catalog=CountingCatalog(),
                own_address=entry.address,
                rank_keepers=members.rank_keepers,
                find_told=members.find_told,
                find_told_since=members.find_told_since,
                do_all_record_sent=members.do_all_record_sent,
                send=send,
                read_history=read_nothing,
                is_store_current=lambda: True,
            )
            server = CountingCatalog.servers[0]
            streams._observe("pool")
            origin = streams.origins_of("pool")[server.key]
            for number in range(per_s):
                streams.record_start(f"{entry.address}-{number}", server, origin)

    asyncio.run(run())


@then("each router sends and receives at most {limit:d} bytes a second for it")
def step_bytes(context, limit):
    context.most = max((context.n_sent + context.n_received).values())
    assert len(context.n_sent) == len(context.entries)
    assert context.most <= limit, context.most
    print(f"most bytes a second at one router: {context.most}")


@then("each router sends to routers of its own data centre only")
def step_own_centre(context):
    centre_of = context.centre_of
    assert all(centre_of[one] == centre_of[other] for one, other in context.pairs)
