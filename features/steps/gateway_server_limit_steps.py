"""Steps for the number of backend servers that one request reaches."""

import asyncio
import re

from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from damaskrill.fakes.platform._raw_answers import build_event
from damaskrill.gateway._attempt import Broken, StreamEnded
from damaskrill.gateway._peer_report import PeerReport
from damaskrill.http1 import CallerRequest, ExchangeFailure, FailureKind
from damaskrill.mesh import MemberEntry
from damaskrill.platform._headers import (
    grant_event,
    read_peer_events,
    read_request,
)
from damaskrill.steering import AnswerMetadata, ServerAllowance, ServerGrant
from damaskrill.utils import monotonic_now_ms
from features.steps.gateway_cut_path_steps import send_one, served_share
from features.steps.gateway_path_steps import start_testbed
from features.steps.gateway_upgrade_steps import by_build

FAILURES = {
    "run and answer with 500": Misbehaviour.ERROR,
    "run and break off": Misbehaviour.RESET,
    "reject unread": Misbehaviour.FULL,
}
BREAKS = {
    "before the head": Misbehaviour.RESET,
    "in a later event": Misbehaviour.MID_EVENT,
}
SHARES = {"half": 0.5, "all": 1.0}


@given("a platform with {n_engines:d} engines and {n_apps:d} app servers")
def step_platform(context, n_engines, n_apps):
    testbed = start_testbed(context)
    testbed.configure()
    for number in range(n_engines):
        testbed.add_server(f"e-{number}", "pool")
    for number in range(n_apps):
        testbed.add_server(f"a-{number}", "app")


@when("the app servers fail {share} of the requests, which they {failure}")
def step_fail(context, share, failure):
    for server_id, server in context.testbed.servers.items():
        if server_id.startswith("a-"):
            server.misbehaviour = FAILURES[failure]
            server.failure_share = SHARES[share]


@given("{n:d} further engines")
def step_engines(context, n):
    for number in range(n):
        context.testbed.add_server(f"e-further-{number}", "pool")
    for gateway in context.testbed.gateways:
        context.testbed.wait_until_ready(gateway)


@given("the hosts of {n:d} app servers refuse connections")
def step_refusing(context, n):
    names = [each for each in context.testbed.servers if each.startswith("a-")]
    for name in names[:n]:
        context.testbed.call(context.testbed.servers[name].close)


@when("each gateway gets one read that runs on {n:d} servers")
def step_one_read(context, n):
    testbed = context.testbed
    # A router has a share of the budget once it knows among how many to divide it.
    assert testbed.wait_for(
        lambda: (
            {each._dispatcher.n_sharing() for each in testbed.gateways}
            == {len(testbed.gateways)}
        )
    )
    for gateway in testbed.gateways:
        reply = context.testbed.send("/read/1", method="GET", body=b"", gateway=gateway)
        assert len(servers_of(context, reply.request_id)) == n


@then("the gateways have taken {n:d} retries from their budgets")
def step_budget(context, n):
    budgets = [each._dispatcher.budget for each in context.testbed.gateways]
    # One of them may have sent its read through another one.
    taken = [each.n_retries("app") for each in budgets]
    assert sum(taken) == n, taken


@when("the engines break half of the streams off {where}")
def step_break(context, where):
    for server_id, server in context.testbed.servers.items():
        if server_id.startswith("e-"):
            server.misbehaviour = BREAKS[where]
            server.failure_share = 0.5


def send_all(context, path, *, per_s, seconds, others=()):
    async def run():
        tasks = []
        for _ in range(per_s * seconds):
            for gateway in (*context.testbed.gateways, *others):
                tasks.append(asyncio.create_task(send_one(gateway, path)))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    return context.testbed.thread.run(run())


@when("each gateway gets {per_s:d} {kind:w}s a second for {seconds:d} s")
def step_requests(context, per_s, kind, seconds):
    path = f"/{kind}/1"
    context.results = send_all(context, path, per_s=per_s, seconds=seconds)


@when(
    "each gateway gets {per_s:d} reads a second for {first_s:d} s, and again for "
    "{seconds:d} s"
)
def step_reads_twice(context, per_s, first_s, seconds):
    context.results = send_all(context, "/read/1", per_s=per_s, seconds=first_s)
    context.later = send_all(context, "/read/1", per_s=per_s, seconds=seconds)
    context.results += context.later


@when(
    "each router of both builds gets {per_s:d} reads a second for {first_s:d} s, and "
    "again for {seconds:d} s"
)
def step_reads_at_both(context, per_s, first_s, seconds):
    former = by_build(context)[1]
    options = {"per_s": per_s, "others": former}
    context.results = send_all(context, "/read/1", seconds=first_s, **options)
    context.later = send_all(context, "/read/1", seconds=seconds, **options)
    context.results += context.later


@then(
    "the first {n:d} gateways serve at least two thirds as many of the latter as the "
    "others"
)
def step_served(context, n):
    first = context.testbed.gateways[:n]
    cut = [each for each in context.later if each[0] in first]
    others = [each for each in context.later if each[0] not in first]
    shares = served_share(cut), served_share(others)
    assert shares[0] >= shares[1] * 2 / 3 > 0, shares


def servers_of(context, request_id):
    """Return the IDs of the servers at which a request has run."""
    servers = context.testbed.servers
    return sorted(each for each in servers if servers[each].runs[request_id])


@then("no {kind:w} has run on more than {n:d} servers")
def step_within_limit(context, kind, n):
    ids = [reply.request_id for _, _, reply in context.results]
    over = {each: servers_of(context, each) for each in ids}
    over = {each: servers for each, servers in over.items() if len(servers) > n}
    assert not over, f"{len(over)} of {len(ids)}: {over}"


@then("no read that these gateways got from callers has run on more than {n:d} servers")
def step_own_within_limit(context, n):
    own = [each for each in context.results if each[0] in context.testbed.gateways]
    counts = [len(servers_of(context, reply.request_id)) for _, _, reply in own]
    assert max(counts) <= n, counts


@then("the service gets no more repeats than the retry budget allows")
def step_within_budget(context):
    settings = context.testbed.gateways[0]._settings
    ids = {reply.request_id for _, _, reply in context.results}
    arrivals = [
        request_id
        for server in context.testbed.servers.values()
        for _, request_id in server.arrivals
        if request_id in ids
    ]
    n_repeats = len(arrivals) - len(set(arrivals))
    n_allowed = settings.repeat_ratio * len(ids) + settings.repeat_slack
    assert n_repeats <= n_allowed, f"{n_repeats} of {n_allowed}"


@then("the line of the router that got a {kind:w} tells how many servers it reached")
def step_lines(context, kind):
    lines = {
        line["request_id"]: line
        for log in context.testbed.logs
        for line in log.lines
        if line["event"] == "request_ended" and "peer" not in line
    }
    for _, _, reply in context.results:
        line = lines[reply.request_id]
        n_servers = len(servers_of(context, reply.request_id))
        assert n_servers <= line["n_servers_in_all"] <= line["max_servers"] == 2, line


@when("a router of an earlier build sends {n:d} reads through the first gateway")
def step_earlier_sender(context, n):
    first = context.testbed.gateways[0]
    former = MemberEntry("127.0.0.1:1", 1, "bole", 1)
    context.testbed.call(first._members.merge, former, monotonic_now_ms())
    replies = [
        context.testbed.send(
            "/read/1", method="GET", body=b"", headers=[("Damaskrill-Router-Hop", "1")]
        )
        for _ in range(n)
    ]
    context.ids = [each.request_id for each in replies]


@then("each of these reads has run on {n:d} server")
def step_one_server(context, n):
    counts = [len(servers_of(context, each)) for each in context.ids]
    assert set(counts) == {n}, counts


def parse_grant(text):
    """Return the grant that a text like "left 1 of 5 9" describes."""
    n_left, *reached = [int(each) for each in re.findall(r"\d+", text)]
    return ServerGrant(n_left=n_left, reached=tuple(reached))


@when("a request of {limit:d} servers meets {events}")
def step_meets(context, limit, events):
    first, *others = events.split(", ")
    if first.startswith("granted"):
        context.allowance = ServerAllowance(grant=parse_grant(first))
    else:
        context.allowance = ServerAllowance()
        others = [first, *others]
    context.allowance.restrict(limit)
    for event in others:
        apply_event(context.allowance, event)


def apply_event(allowance, event):
    match event.split():
        case ["nothing"]:
            pass
        case ["sent", server]:
            allowance.record_sent(int(server))
        case ["lent"]:
            allowance.lend()
        case ["silent"]:
            allowance.settle(None)
        case ["exhausted"]:
            allowance.exhaust()
        case ["told", *_]:
            allowance.settle(parse_grant(event))


@then("it has reached {spent:d} servers and may reach {left:d} more")
def step_left(context, spent, left):
    found = context.allowance.n_spent, context.allowance.n_left
    assert found == (spent, left), found


@then("a peer that {peer} may {get} it")
def step_may_get(context, peer, get):
    keeps_grants = peer == "keeps to its grant"
    may_lend = context.allowance.may_lend(keeps_grants=keeps_grants)
    assert may_lend == (get == "get")


@when("the header {value} comes with a relayed request")
def step_header(context, value):
    headers = [(b"Damaskrill-Router-Hop", b"1")]
    if value != "nothing":
        headers.append((b"Damaskrill-Router-Servers", value.encode()))
    context.metadata = read_request(
        CallerRequest(
            method=b"GET",
            target=b"/read/1",
            headers=tuple(headers),
            body=b"",
            arrived_at_ms=0.0,
        )
    )


@then("the grant is read as {grant}")
def step_grant(context, grant):
    expected = None if grant == "unknown" else parse_grant(grant)
    assert context.metadata.grant == expected


@when("the first gateway stops, too soon for a read to end")
def step_stops(context):
    context.testbed.gateways[0]._dispatcher.start_draining(0.0, 1.0)
    context.reply = context.testbed.send("/read/1", method="GET", body=b"")
    assert context.reply.status == 503


@then("its line says that it reached {n:d} of at most {limit:d} servers")
def step_line(context, n, limit):
    lines = [
        line
        for line in context.testbed.logs[0].lines
        if line.get("request_id") == context.reply.request_id
    ]
    found = lines[-1]["n_servers_in_all"], lines[-1]["max_servers"]
    assert found == (n, limit), lines


@then("callers get nothing but events, each once and in order")
def step_events(context):
    streams = [each for each in context.results if each[2].status == 200]
    for _, _, reply in streams:
        n_events = reply.body.count(b"\n\n")
        assert reply.body == b"".join(build_event(n + 1) for n in range(n_events))
    # Some of them went on at another server behind a peer.
    cut = context.testbed.gateways[:2]
    assert any(
        reply.is_complete
        and gateway in cut
        and len(servers_of(context, reply.request_id)) == 2
        for gateway, _, reply in streams
    )


def build_stream(text):
    """Return the bytes of a stream that a text like "1, told 0 5, 2" describes."""
    parts = []
    for part in text.split(", "):
        match part.split():
            case ["nothing"]:
                pass
            case ["told", *numbers]:
                grant = ServerGrant(
                    n_left=int(numbers[0]), reached=tuple(int(n) for n in numbers[1:])
                )
                parts.append(grant_event(grant))
            case ["data", "like", *_]:
                event = grant_event(ServerGrant(n_left=0, reached=(5,)))
                parts.append(b"id: 1\ndata" + event)
            case [number]:
                parts.append(b"id: %b\ndata: x\n\n" % number.encode())
    return b"".join(parts)


@when("a peer sends {stream}")
def step_peer_sends(context, stream):
    context.read = read_peer_events(build_stream(stream))


@then("the caller gets {events}, and the grant is read as {grant}")
def step_caller_gets(context, events, grant):
    expected = None if grant == "unknown" else parse_grant(grant)
    assert context.read == (build_stream(events), expected), context.read


@when("a peer tells 1 5 in the head and 0 5 9 in the stream, which ends {how}")
def step_peer_ends(context, how):
    report = PeerReport(read_peer_events)
    report.read_metadata(AnswerMetadata(grant=parse_grant("left 1 of 5")))
    context.grant = parse_grant("left 0 of 5 9")
    event = build_event(1)
    assert report.read_events(event + grant_event(context.grant)) == event
    result = StreamEnded()
    if how != "complete":
        result = Broken(failure=ExchangeFailure(kind=FailureKind(how), reason="end"))
    context.found = report.find_grant(result)


@then("what it has spent is {known}")
def step_known(context, known):
    assert context.found == (context.grant if known == "known" else None)
