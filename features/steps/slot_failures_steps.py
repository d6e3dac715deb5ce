"""Steps for failures halfway of the scheduling of slots."""

import asyncio
import itertools
import json
import threading
import time
from functools import cache

from behave import given, then, when

from damaskrill.fakes.platform import MAX_SERVERS, StoreMode
from damaskrill.gateway._process import GatewayProcess
from damaskrill.platform import build_platform_binding
from damaskrill.scheduling import SlotAssignment, SlotRelease
from features.steps.slot_path_steps import (
    SETTLE_S,
    count_messages,
    find_scheduler,
    wait_until_linked,
)
from features.support.former_build import FormerRouter
from features.support.gateways import GatewayTestbed
from features.support.router_process import RouterProcess
from features.support.slot_load import (
    TARGET_MS,
    build_slot_configuration,
    draw_arrivals,
    find_shares,
    play,
    start_server,
    start_servers,
)

SEED, SECONDS, RATE_PER_S = 11, 8, 55
SCALE = 2
EIGHTH_MS = SCALE * TARGET_MS / 8
JOIN_S = 15
LATE_S = 0.3
LOSS_S = 0.3
# Time in which routers are back, and in which they know each other and the servers.
RESTART_S = 0.3
BACK_S = 5.0
# News of a server reaches all routers within this time.
NEWS_S = 1.0
# Teams inside their share may be served less by so much, by the users' word.
SERVED_SHARE = 0.95


def draw():
    return draw_arrivals(seed=SEED, seconds=SECONDS, rate_per_s=RATE_PER_S)


@cache
def find_shares_without(kind):
    """Return the figures of the same load without the scheduling, played once."""
    testbed = GatewayTestbed()
    try:
        testbed.configure(**build_slot_configuration(scale=SCALE))
        start_servers(testbed, n_places=2, scale=SCALE)
        for server in testbed.servers.values():
            server.slots.states_slowness = False
        for _ in range(3):
            testbed.add_gateway()
        wait_until_linked(testbed)
        replies, _ = play(testbed, draw(), kind=kind, scale=SCALE)
        return find_shares(replies, list(testbed.servers.values()))
    finally:
        testbed.close()


@given("{n:d} gateways that schedule, and a process that ranks before them")
def step_process(context, n):
    context.execute_steps(f"Given {n} gateways that schedule")
    testbed = context.testbed
    context.process = RouterProcess(
        service="app",
        seeds=[each._settings.peer_address for each in testbed.gateways],
        store=testbed.store.address,
    )
    context.add_cleanup(context.process.close)
    for gateway in testbed.gateways:
        assert testbed.wait_for(
            lambda g=gateway: g._slots._choice.find("app") == context.process.address,
            JOIN_S,
        )


@given("a router of the former build that joins them")
def step_former(context):
    testbed = context.testbed
    seeds = ",".join(
        "{}:{}".format(*each._settings.peer_address) for each in testbed.gateways
    )
    context.former = FormerRouter(number=7, seeds=seeds, store=testbed.store.address)
    context.add_cleanup(context.former.close)
    for gateway in testbed.gateways:
        assert testbed.wait_for(lambda g=gateway: g._mesh.n_links == 2, JOIN_S)
        gateway.slot_messages.clear()


def run_with(context, failure, *, addresses=None):
    """Play actions and cause a failure after 2 s."""
    testbed = context.testbed
    timer = threading.Timer(2.0, failure)
    timer.start()
    context.kind = "issue"
    context.replies, context.lag_ms = play(
        testbed, draw(), addresses=addresses, kind="issue", scale=SCALE
    )
    timer.join()
    servers = list(testbed.servers.values())
    context.shares = find_shares(context.replies, servers)
    print(f"lag {context.lag_ms:.0f} ms", context.shares)


@when("55 requests a second come for 8 s, and after 2 s the process is {failure:w}")
def step_process_fails(context, failure):
    fail = {"killed": "kill", "frozen": "freeze", "stopped": "stop"}[failure]
    run_with(context, getattr(context.process, fail))


@when("55 requests a second come for 8 s, and after 2 s all routers restart")
def step_restart(context):
    testbed = context.testbed
    run_with(context, lambda: testbed.call(restart_all, testbed))
    assert len(testbed.gateways) == len(testbed.logs)


async def restart_all(testbed):
    before, testbed.gateways = testbed.gateways, []
    for gateway in before:
        gateway.close()
        for connection in list(gateway._callers.connections):
            connection.abort()
    await asyncio.sleep(RESTART_S)
    for gateway, log in zip(before, testbed.logs, strict=True):
        started = GatewayProcess(
            settings=gateway._settings,
            binding=build_platform_binding(
                reactor=testbed.reactor, address=gateway._settings.store_address
            ),
            reactor=testbed.reactor,
            log=log,
            reread_settings=lambda each=gateway: each._settings,
            random_state=2,
        )
        started.start()
        count_messages(testbed, started)
        testbed.gateways.append(started)


@when("55 requests a second come for 8 s through all of them")
def step_all(context):
    addresses = [each._settings.caller_address for each in context.testbed.gateways]
    addresses.append(context.former.callers)
    run_with(context, lambda: None, addresses=addresses)


@when("55 requests a second come for 8 s, and after 2 s {failure}")
def step_fails(context, failure):
    testbed = context.testbed
    scheduler, others = find_scheduler(testbed)
    run_with(context, lambda: FAILURES[failure](testbed, scheduler, others))


def cut_off(testbed, scheduler, others):
    """Let nothing pass between the scheduler and the others."""
    own = scheduler._members.own.address

    def cut(gateway, is_cut):
        mesh = gateway._mesh
        handle_frame, send = mesh._handle_frame, mesh._send
        mesh._handle_frame = lambda link, frame: (
            None if is_cut(link.address) else handle_frame(link, frame)
        )
        mesh._send = lambda link, frame: (
            None if is_cut(link.address) else send(link, frame)
        )
        direct_send, direct_handle = mesh._direct.send, mesh._direct._handle
        mesh._direct.send = lambda address, message: (
            None if is_cut(address) else direct_send(address, message)
        )
        mesh._direct._handle = lambda address, message: (
            None if is_cut(address) else direct_handle(address, message)
        )

    testbed.call(cut, scheduler, lambda address: True)
    for each in others:
        testbed.call(cut, each, lambda address: address == own)


def split_view(testbed, scheduler, others):
    """Let one of the routers take itself for the scheduler."""
    own = others[0]._members.own.address
    client = others[0]._slots.client
    testbed.call(setattr, client, "_find_scheduler", lambda service, unanswering: own)


def change_messages(gateway, kind, change):
    """Change each tenth message of a kind that a gateway sends."""
    outbox, counter = gateway._slots.client._outbox, itertools.count(1)
    put = outbox.put

    def put_changed(address, service, message):
        if isinstance(message, kind) and next(counter) % 10 == 0:
            change(put, address, service, message)
        else:
            put(address, service, message)

    outbox.put = put_changed


def lose(put, address, service, message):
    pass


def delay(put, address, service, message):
    from asyncio import get_running_loop

    get_running_loop().call_later(LATE_S, put, address, service, message)


def lose_assignments(testbed, scheduler, others):
    testbed.call(change_messages, scheduler, SlotAssignment, lose)


def lose_releases(testbed, scheduler, others):
    for each in others:
        outbox = each._slots.client._outbox
        put, until = outbox.put, time.monotonic() + LOSS_S

        def put_others(address, service, message, put=put, until=until):
            if not isinstance(message, SlotRelease) or time.monotonic() > until:
                put(address, service, message)

        outbox.put = put_others


def delay_assignments(testbed, scheduler, others):
    testbed.call(change_messages, scheduler, SlotAssignment, delay)


def leave(testbed, scheduler, others):
    """Let a server leave, of which the scheduler learns last, and start another."""
    host = scheduler._slots.host
    find_servers, known = host._find_servers, host._find_servers("app")
    host._find_servers = lambda service: known
    add_server(testbed, "s-new")
    testbed.change_entry("s-0", state="draining")
    time.sleep(NEWS_S)
    host._find_servers = find_servers


def add_server(testbed, server_id):
    start_server(testbed, server_id, n_places=2, scale=SCALE)


def put_store_away(testbed, scheduler, others):
    testbed.call(testbed.store.set_mode, StoreMode.SILENT)


def replace_servers(testbed, scheduler, others):
    for number in range(2):
        add_server(testbed, f"n-{number}")
        testbed.change_entry(f"s-{number}", state="draining")


FAILURES = {
    "the scheduler is cut off from the others": cut_off,
    "two routers schedule in a split view": split_view,
    "each tenth assignment is lost": lose_assignments,
    "the releases of 300 ms are lost": lose_releases,
    "each tenth assignment comes 300 ms late": delay_assignments,
    "assignments come after one of the servers left": leave,
    "the store is away": put_store_away,
    "all servers are replaced one after the other": replace_servers,
}


@then("the callers are served at least as without the scheduling")
def step_as_without(context):
    without = find_shares_without(context.kind)
    print(without)
    n_served = context.shares["statuses"].get(200, 0)
    n_without = without["statuses"].get(200, 0)
    found = (context.shares, without)
    assert n_served >= SERVED_SHARE * n_without, found
    assert context.shares["served_inside"] >= SERVED_SHARE * without["served_inside"]
    assert context.shares["in_time_0"] >= SERVED_SHARE * without["in_time_0"], found


@then("no action has run twice, and no request has reached too many servers")
def step_once(context):
    for reply in context.replies:
        for request_id in reply.request_ids:
            assert context.testbed.runs_of(request_id) <= 1, reply
    for line in lines_of(context, "request_ended"):
        assert line.get("n_servers_in_all", 0) <= MAX_SERVERS, line


def lines_of(context, event):
    lines = [line for log in context.testbed.logs for line in log.lines]
    return [each for each in lines if each["event"] == event]


@then(
    "nobody has waited for an answer of the scheduler longer than an eighth of the "
    "target"
)
def step_waits(context):
    for line in lines_of(context, "scheduler_unanswering"):
        assert line["wait_ms"] <= EIGHTH_MS, line


@then("from 3 s later on the most urgent are served at least as without the scheduling")
def step_back(context):
    without = find_shares_without(context.kind)
    late = [
        reply
        for (at, *_), reply in zip(draw(), context.replies, strict=True)
        if at > BACK_S and reply.priority == 0
    ]
    n_served = sum(each.is_served for each in late)
    assert n_served >= SERVED_SHARE * without["served_0"] * len(late), (
        n_served,
        len(late),
        without,
    )


@then("another router schedules in the end")
def step_other(context):
    testbed = context.testbed
    found = {each._slots._choice.find("app") for each in testbed.gateways}
    own = {each._members.own.address for each in testbed.gateways}
    assert found <= own and len(found) == 1, found
    assert lines_of(context, "scheduling_started")


@then("each slot that a router got has been released")
def step_released(context):
    testbed = context.testbed
    assert testbed.wait_for(
        lambda: all(
            not each._slots.client.n_held and not each._slots.client.n_pending
            for each in testbed.gateways
        ),
        SETTLE_S,
    )
    for gateway in testbed.gateways:
        numbers = [
            message.number
            for _, batch in gateway.slot_messages
            for message in batch.messages
            if isinstance(message, SlotRelease)
        ]
        assert len(numbers) == len(set(numbers))
    # Slots whose release was lost are free in the end.
    assert testbed.wait_for(
        lambda: (
            not any(
                status.n_assigned or status.n_waiting
                for each in testbed.gateways
                for status in each._slots.statuses()
            )
        ),
        SETTLE_S,
    ), [each._slots.statuses() for each in testbed.gateways]


@then("no router has asked for a slot")
def step_not_asked(context):
    for gateway in context.testbed.gateways:
        assert gateway.slot_messages == []
    text = context.former.log.read_text(encoding="utf-8")
    events = [json.loads(each) for each in text.splitlines() if each[:1] == "{"]
    assert not [each for each in events if each["event"] == "router_frame_refused"]
