"""Steps for requests that come, or claim to come, from another router."""

import asyncio
from collections import Counter
from random import Random

from attrs import evolve
from behave import given, then, when

from damaskrill.catalog import ServerItem
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._peer_relay import PeerRelay
from damaskrill.mesh import MemberEntry, MemberTable
from damaskrill.steering import ServerAllowance, short_server_id
from damaskrill.utils import FakeClock, monotonic_now_ms

OWN_PROOF = 12_345
FLEET_HEADERS = (
    "damaskrill-router-hop",
    "damaskrill-router-servers",
    "damaskrill-router-proof",
)
VALUES = {
    "damaskrill-router-hop": ("", "0", "1", "999999999", "x"),
    "damaskrill-router-servers": ("", "0", "1", "9 1 2 3", "0 5 9", "x"),
    "damaskrill-router-proof": ("", "0", "1", "x", "9" * 40),
}


def count_requests(gateway, counts):
    budget = gateway._dispatcher.budget
    record = budget.record_request

    def count(service, now_ms):
        counts[service] += 1
        record(service, now_ms)

    budget.record_request = count


@when("a caller sends {n:d} reads to each gateway with drawn headers of routers")
def step_drawn(context, n):
    testbed, random = context.testbed, Random(45)
    context.counts, context.pairs, context.n_sent = Counter(), [], 0
    for gateway in testbed.gateways:
        count_requests(gateway, context.counts)
        for number in range(n):
            n_headers = random.randint(1, len(FLEET_HEADERS))
            names = random.sample(FLEET_HEADERS, n_headers)
            if number % 2:
                # Without it, no request claims to come from a router.
                names = sorted({*names, "damaskrill-router-hop"})
            drawn = [(name, random.choice(VALUES[name])) for name in names]
            replies = [
                testbed.send(
                    "/read/1", method="GET", body=b"", gateway=gateway, headers=headers
                )
                for headers in ([], drawn)
            ]
            context.n_sent += len(replies)
            context.pairs.append((*replies, drawn))


@then("each is answered with 200 and the same headers as reads without them")
def step_same(context):
    for plain, claimed, drawn in context.pairs:
        assert claimed.status == plain.status == 200, (drawn, claimed)
        assert claimed.headers.keys() == plain.headers.keys(), (drawn, claimed)


@then("none takes longer than {limit_ms:d} ms")
def step_times(context, limit_ms):
    slowest = max(claimed.elapsed_ms for _, claimed, _ in context.pairs)
    assert slowest < limit_ms, slowest


@then("the retry budgets count all of these reads")
def step_budget(context):
    assert context.counts["app"] == context.n_sent, context.counts


@then("no server has received a header of routers")
def step_server(context):
    received = {
        name.decode().lower()
        for server in context.testbed.servers.values()
        for request in server.requests
        for name, _ in request.headers
    }
    assert received
    assert not received & {*FLEET_HEADERS}


@when("a read comes with the proof of the gateway and a grant of no server")
def step_proof(context):
    gateway = context.testbed.gateways[0]
    headers = [
        ("damaskrill-router-hop", "1"),
        ("damaskrill-router-servers", "0"),
        ("damaskrill-router-proof", str(gateway._members.own.hop_proof)),
    ]
    context.reply = context.testbed.send(
        "/read/1", method="GET", body=b"", headers=headers
    )


@when(
    'a read comes from a router that has reached "{name}", whose entry is back '
    "{delay_ms:d} ms later"
)
def step_listed_again(context, name, delay_ms):
    testbed = context.testbed
    gateway = testbed.gateways[0]
    (server,) = (
        each for each in gateway._catalog.find_servers("app") if each.server_id == name
    )
    headers = [
        ("damaskrill-router-hop", "1"),
        ("damaskrill-router-servers", f"2 {short_server_id(server.key)}"),
        ("damaskrill-router-proof", str(gateway._members.own.hop_proof)),
    ]
    item, catalog = ServerItem(server_id=name, server=server), gateway._catalog

    def change_entry():
        now_ms = round(monotonic_now_ms())
        catalog.remove(item, now_ms)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / 1_000, catalog.put, item, now_ms)

    testbed.call(change_entry)
    context.reply = testbed.send("/read/1", method="GET", body=b"", headers=headers)
    assert gateway._catalog.find_servers("app"), context.reply


@then("it is refused, and no server has run it")
def step_not_run(context):
    assert context.reply.status == 503, context.reply
    assert not context.testbed.runs_of(context.reply.request_id)


@then("it is refused as the grant says")
def step_grant(context):
    assert context.reply.status == 503, context.reply
    assert "damaskrill-router-servers" in context.reply.headers
    assert not context.testbed.runs_of(context.reply.request_id)


@given("a router that knows {peers}")
def step_table(context, peers):
    own = MemberEntry("10.0.0.1:7000", 1, "bole", 1, hop_proof=OWN_PROOF)
    table = context.member_table = MemberTable(own=own)
    peer = evolve(own, address="10.0.0.2:7000", hop_proof=7)
    if "former" in peers:
        peer = evolve(peer, hop_proof=0)
    table.merge(peer, 0.0)
    if "ended" in peers:
        table.expire(10_000.0)
    if "long ago" in peers:
        table.expire(100_000.0)


@then("a request with {proof} counts as that of a router")
def step_counts(context, proof):
    assert accepts(context, proof)


@then("a request with {proof} does not count as that of a router")
def step_not_counts(context, proof):
    assert not accepts(context, proof)


def accepts(context, proof):
    shown = {"its own proof": str(OWN_PROOF), "another proof": "7", "no proof": ""}
    return context.member_table.accepts_hop(shown[proof])


class RefusingPool:
    """Pool whose peers all refuse connections."""

    def acquire_idle(self, key):
        return None

    async def open(self, key, address, *, limit_ms):
        raise ConnectionRefusedError(address)


@given("a router without a path that knows a peer with proof {proof:d}")
def step_relay(context, proof):
    own = MemberEntry("10.0.0.1:7000", 1, "bole", 1, hop_proof=OWN_PROOF)
    context.peer = evolve(
        own, address="10.0.0.2:7000", hop_proof=proof, caller_port=80, keeps_grants=True
    )
    context.relay = PeerRelay(
        reactor=None,
        path=None,
        server_pool=None,
        peer_pool=RefusingPool(),
        catalog=None,
        own_entry=lambda: own,
        find_peers=lambda: [context.peer],
        announce=lambda has_path: None,
        is_server_answer=lambda head: False,
        region_of={},
        log=DecisionLog(router="router-1", clock=FakeClock()),
        random_state=Random(1),
    )


@when("the peer refuses the connection of a request")
def step_refuse(context):
    connection = asyncio.run(context.relay.connect(context.peer, 100.0))
    assert connection is None


@when("the peer's process with proof {proof:d} is known")
def step_next_process(context, proof):
    next_incarnation = context.peer.incarnation + 1
    context.peer = evolve(
        context.peer, incarnation=next_incarnation, heartbeat=0, hop_proof=proof
    )


@when("the peer's next heartbeat arrives")
def step_next_heartbeat(context):
    context.peer = evolve(context.peer, heartbeat=context.peer.heartbeat + 1)


@then("the router sends nothing through the peer")
def step_no_peer(context):
    assert context.relay.choose_peer(set(), ServerAllowance()) is None


@then("the router sends requests through the peer")
def step_peer(context):
    chosen = context.relay.choose_peer(set(), ServerAllowance())
    assert chosen == context.peer


@when("a gateway probes the path to its servers")
def step_probe(context):
    testbed = context.testbed
    gateway = testbed.gateways[0]
    testbed.call(gateway._relay._run_probe)


@then("each idle connection is handed out once")
def step_once(context):
    pool = context.testbed.gateways[0]._dispatcher.pool

    found = []
    for key in pool.keys():
        while (connection := pool.acquire_idle(key)) is not None:
            found.append(connection)
    assert found
    assert len(found) == len(set(found)), found
