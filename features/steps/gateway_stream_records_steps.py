"""Steps for records of streams, and what their absence shows."""

import asyncio
import re

from attrs import evolve
from behave import given, then, when

from damaskrill.mesh import MemberEntry, MemberTable, Mesh, StreamReply
from damaskrill.steering import OriginEvidence, choose_origin, is_absence_confirmed
from damaskrill.utils import rank_by_rendezvous

MIN_OBSERVED_MS = 100
NEVER = float("-inf")


@given("they have known the servers for {known_ms:d} ms")
def step_known(context, known_ms):
    context.testbed.call(asyncio.sleep, known_ms / 1_000)


@when("{n:d} of the routers are killed")
def step_kill(context, n):
    testbed = context.testbed
    for gateway in testbed.gateways[:n]:
        testbed.call(gateway.close)
    del testbed.gateways[:n]


@when("the routers are replaced one after the other")
def step_replace(context):
    testbed = context.testbed
    n_gateways = len(testbed.gateways)
    for _ in range(n_gateways):
        former = testbed.gateways.pop(0)
        testbed.call(former.close)
        gateway = testbed.add_gateway()
        testbed.wait_until_ready(gateway)
        for each in testbed.gateways:
            assert testbed.wait_for(
                lambda one=each: one._mesh.n_links >= n_gateways - 1
            )


def parse_groups(text):
    from damaskrill.gateway._stream_versions import _to_evidence

    groups = []
    for group in text.split(";"):
        groups.append([])
        for each in group.split(","):
            match = re.match(
                r"\s*(absent|sole|recorded|former build) (\d+) after (\d+)", each
            )
            if match is None:
                groups[-1].append(OriginEvidence())
                continue
            kind, origin, observed_ms = match.groups()
            reply = StreamReply(
                number=1,
                origin=int(origin),
                is_recorded=kind == "recorded",
                observed_ms=int(observed_ms),
                is_sole=None if kind == "former build" else kind == "sole",
            )
            groups[-1].append(_to_evidence(reply))
    return groups


@when("the groups of routers answer with {evidence}")
def step_answers(context, evidence):
    groups = parse_groups(evidence)
    context.found = choose_origin(
        [each for group in groups for each in group],
        MIN_OBSERVED_MS,
        is_absent=is_absence_confirmed(groups, MIN_OBSERVED_MS),
    )


def build_entries(n, n_centres=1):
    return [
        MemberEntry(
            f"10.0.0.{i}:7000",
            1,
            f"dc-{i % n_centres}",
            1,
            tells_all=True,
            records_sent=True,
        )
        for i in range(n)
    ]


def build_table(own, others):
    table = MemberTable(own=own)
    for each in others:
        table.merge(each, 0.0)
    return table


@given("{n:d} routers in {n_centres:d} data centres, of which {n_ended:d} have ended")
def step_ended(context, n, n_centres, n_ended):
    context.entries = build_entries(n, n_centres)
    context.n_ended = n_ended
    context.tables = []
    for own in context.entries[n_ended:]:
        table = build_table(own, context.entries)
        later = [evolve(each, heartbeat=2) for each in context.entries[n_ended:]]
        for each in later:
            table.merge(each, 20_000.0)
        assert len(table.expire(20_000.0)) == n_ended
        context.tables.append(table)


def told_since(context, key):
    """Return the routers that are told of a record, and those that would have been."""
    wanted = set()
    for centre in {each.data_centre for each in context.entries}:
        group = [e.address for e in context.entries if e.data_centre == centre]
        wanted |= set(rank_by_rendezvous(key, group)[:2])
    found = set()
    for table in context.tables:
        table.advance_heartbeat(20_000.0)
        if table.find_told_since(key) == NEVER:
            found.add(table.own.address)
    living = {table.own.address for table in context.tables}
    return found, wanted & living


@then("each router is told of a record that it would have kept beside all of them")
def step_told(context):
    for number in range(200):
        found, wanted = told_since(context, f"attempt-{number}")
        assert wanted <= found


@then("no other router concludes anything from its absence")
def step_none_else(context):
    n_without = 0
    for number in range(200):
        found, wanted = told_since(context, f"attempt-{number}")
        assert found == wanted
        n_without += not found
    # The case occurs in which all that were told have ended.
    assert n_without


@given("4 routers, of which one {state}")
def step_state(context, state):
    own, *others = build_entries(4)
    if state == "is of the former build":
        others[0] = evolve(others[0], tells_all=False)
    if state in ("records streams with their first event", "did so and has ended"):
        others[0] = evolve(others[0], records_sent=False)
    table = build_table(own, others)
    table.advance_heartbeat(1_000.0)
    if state == "did so and has ended":
        for each in others[1:]:
            table.merge(evolve(each, heartbeat=2), 20_000.0)
        assert table.expire(20_000.0) == [others[0]]
    context.table_of_members = table
    mesh = Mesh.__new__(Mesh)
    mesh._members = table
    mesh._lost_at_ms = {"10.0.0.9:7000": 500.0} if state == "has been lost" else {}
    linked = others[1:] if state == "is not linked" else others
    mesh._links = dict.fromkeys(each.address for each in linked)
    # A key of which this router is not among the first two.
    addresses = [each.address for each in (own, *others)]
    keys = (f"attempt-{number}" for number in range(100))
    context.key = next(
        key for key in keys if own.address not in rank_by_rendezvous(key, addresses)[:2]
    )
    context.mesh = mesh


@then("a router may conclude from the absence of a record")
def step_concludes(context):
    assert context.mesh.find_told_since(context.key) == NEVER


@then("a router does not conclude from the absence of a record")
def step_not_concludes(context):
    assert context.mesh.find_told_since(context.key) >= 1_000.0


@then("the table says that records are sent {how}")
def step_records_sent(context, how):
    do_all = context.table_of_members.do_all_record_sent()
    assert do_all == (how == "with the requests")


@then("servers of a second version {state} lately")
def step_lost_servers(context, state):
    may_have = context.origins.may_have_lost_servers("pool", context.at_ms)
    assert may_have == (state == "have been lost")
