"""Steps for the membership of several kernels."""

from behave import given, then, when

from damaskrill.membership._table import PeerTable
from damaskrill.messages import Member, MemberNews, MemberState
from features.support.builders import build_hosts, build_member
from features.support.faults import build_fleet_text
from features.support.pump import Pump

DISCOVERY_MS = 6_000


def build_members(n_members):
    return [
        build_member(n, incarnation=f"p{n}", data_centre=("bole", "sarbet")[n % 2])
        for n in range(1, n_members + 1)
    ]


def address_of(n):
    return build_member(n).address


def router(context, n):
    return context.fleet.routers[address_of(n)]


@given("a probing fleet of {n_members:d} routers, seed {seed:d}")
def step_fleet(context, n_members, seed):
    members = build_members(n_members)
    context.fleet = Pump(text=build_fleet_text(), members=members, random_state=seed)
    context.fleet.run_until(DISCOVERY_MS)


@when("member {n:d} is killed")
def step_kill(context, n):
    context.fleet.kill_router(address_of(n))


@when("member {n:d} starts again on its address")
def step_restart(context, n):
    old = router(context, n).member
    context.fleet.start_router(
        Member(
            address=old.address,
            data_centre=old.data_centre,
            incarnation=f"{old.incarnation}-again",
        )
    )


@when("member {n:d} is stopped gracefully")
def step_stop(context, n):
    context.fleet.stop_router(address_of(n))


@when("only the link between members {a:d} and {b:d} is cut")
def step_cut_link(context, a, b):
    context.fleet.cut_routers.add(frozenset((address_of(a), address_of(b))))


@when("members {numbers} are partitioned from the others")
def step_cut(context, numbers):
    context.fleet.partition([address_of(int(n)) for n in numbers.split(",")])


@when("all links of the probing fleet are healed")
def step_heal(context):
    context.fleet.heal()


@when("member {n:d} is paused for {duration_ms:d} ms")
def step_pause(context, n, duration_ms):
    context.fleet.pause_router(address_of(n), duration_ms)


@when("the probing fleet runs for {duration_ms:d} ms")
def step_run(context, duration_ms):
    context.fleet.run_until(context.fleet.now_ms + duration_ms)


@then("every live router sees {n_members:d} members, {n_reachable:d} of {n_listed:d}")
def step_all_see(context, n_members, n_reachable, n_listed):
    for each in context.fleet.live_routers:
        if each.stop_requested_at_ms >= 0:
            continue
        view = each.view
        seen = (len(view.members), view.n_reachable, view.n_listed)
        assert seen == (n_members, n_reachable, n_listed), (each.member, seen, view)


@then("member {n:d} sees {n_reachable:d} of {n_listed:d} routers reachable")
def step_one_sees(context, n, n_reachable, n_listed):
    view = router(context, n).view
    assert (view.n_reachable, view.n_listed) == (n_reachable, n_listed), view


@then("every live router knows the new process of member {n:d}")
def step_new_process(context, n):
    expected = router(context, n).member.member_id
    for each in context.fleet.live_routers:
        ids = [member.member_id for member in each.view.members]
        assert expected in ids, (each.member, ids)


@then("the shares of the two sides add up to at most the whole fleet")
def step_shares(context):
    shares = {
        (len(each.view.members), each.view.n_reachable / each.view.n_listed)
        for each in context.fleet.live_routers
    }
    assert len(shares) == 2, shares
    assert sum(share for _, share in shares) <= 1, shares


@then("on resuming, member {n:d} trusts its view only once a peer has answered")
def step_trust(context, n):
    paused = router(context, n)
    fleet = context.fleet
    fleet.run_until(paused.paused_until_ms)
    assert not paused.view.trusted
    n_member_lists = fleet.messages_between["MembersTold"]
    while not paused.view.trusted:
        fleet.run_until(fleet.now_ms + 1)
        assert fleet.now_ms < paused.paused_until_ms + 3_000
    assert fleet.messages_between["MembersTold"] > n_member_lists


@then("on resuming alone, member {n:d} regards itself as partitioned")
def step_trust_alone(context, n):
    paused = router(context, n)
    context.fleet.run_until(paused.paused_until_ms + 3_500)
    assert paused.view.trusted
    assert paused.view.n_reachable == 1, paused.view


@then("each router sends at most {n_messages:d} probe messages a second")
def step_messages(context, n_messages):
    fleet = context.fleet
    before = dict(fleet.messages_between)
    fleet.run_until(fleet.now_ms + 10_000)
    names = ("Probe", "ProbeAnswer", "ProbeRequest", "MembersTold")
    sent = sum(fleet.messages_between[n] - before.get(n, 0) for n in names)
    per_second = sent / 10 / len(fleet.live_routers)
    assert per_second <= n_messages, per_second


@given("a table of one listed router whose process {incarnation} was contacted")
def step_table(context, incarnation):
    context.peer_table = PeerTable(own=build_member(1))
    context.peer_table.apply_host_list(build_hosts([build_member(2)]), 0)
    context.peer_table.record_contact(build_member(2, incarnation=incarnation), 0)


@when("process {incarnation} is contacted at the same address")
def step_contact(context, incarnation):
    context.peer_table.record_contact(build_member(2, incarnation=incarnation), 100)


@when("an update reports process {incarnation} as {state} with number {number:d}")
def step_update(context, incarnation, state, number):
    update = MemberNews(
        address=address_of(2),
        data_centre="bole",
        incarnation=incarnation,
        state=MemberState(state),
        number=number,
    )
    context.peer_table.apply_update(update, 200)


@then("the table holds process {incarnation} as {state}")
def step_table_holds(context, incarnation, state):
    entry = context.peer_table.get(address_of(2))
    assert (entry.incarnation, entry.state.value) == (incarnation, state), entry


@when("member {n:d} is paused for {duration_ms:d} ms while a text is published")
def step_pause_with_text(context, n, duration_ms):
    context.fleet.pause_router(address_of(n), duration_ms)
    context.fleet.run_until(context.fleet.now_ms + 1_000)
    context.fleet.publish(build_fleet_text(out=("bole",)))


@then("on resuming, member {n:d} trusts its view only with text version {version:d}")
def step_trust_with_text(context, n, version):
    paused = router(context, n)
    fleet = context.fleet
    fleet.run_until(paused.paused_until_ms)
    while not paused.view.trusted:
        fleet.run_until(fleet.now_ms + 1)
        assert fleet.now_ms < paused.paused_until_ms + 3_000
    assert paused.view.text.version == version, paused.view.text.version
