"""Steps for the replica of the store and the catalog built from it."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from damaskrill.catalog import (
    BackendServer,
    CallerLimits,
    Catalog,
    Configuration,
    ConfigurationItem,
    DataCentreOutItem,
    ServerItem,
    ServiceSpec,
)
from damaskrill.fakes.platform import build_settings
from damaskrill.feed import Change, Contact, FeedReplica, Freshness, Position
from damaskrill.platform import SETTINGS_VARIABLE
from features.support.gateways import build_request, free_addresses


def build_server(server_id="a-1", **changes):
    values = {
        "server_id": server_id,
        "service": "app",
        "address": ("127.0.0.1", 9),
        "data_centre": "bole",
        "n_slots": 4,
    }
    return BackendServer(**{**values, **changes})


@given('a catalog with server "{name}" whose store returned at {at_ms:d} ms')
def step_catalog(context, name, at_ms):
    context.catalog = Catalog(report=lambda event, **fields: None)
    context.item = ServerItem(server_id=name, server=build_server(name))
    context.catalog.put(context.item, at_ms - 9_000)
    context.catalog.record_store_recovery(at_ms)


@when("the entry expires at {at_ms:d} ms")
def step_expires(context, at_ms):
    context.catalog.remove(context.item, at_ms)


@then("the server is usable at {at_ms:d} ms")
def step_usable(context, at_ms):
    context.catalog.purge(at_ms)
    assert context.catalog.is_usable(context.item.server.key)


@then("the server is removed at {at_ms:d} ms")
def step_removed(context, at_ms):
    context.catalog.purge(at_ms)
    assert not context.catalog.is_usable(context.item.server.key)
    assert not context.catalog.find_servers("app")


@given("an empty replica of the store")
def step_replica(context):
    context.replica = FeedReplica()


def build_change(revision, key="k"):
    return Change(key=key, value=b"%d" % revision, revision=revision)


@when("changes of one key arrive with revisions 5, 3 and 7 in this order")
def step_changes(context):
    for revision in (5, 3, 7):
        context.replica.apply_changes([build_change(revision)], Position(0, revision))


@then("the replica contains the change of revision 7")
def step_holds(context):
    assert [each.value for each in context.replica.items] == [b"7"]
    assert context.replica.revision == 7


@when("a list as of revision 9 arrives without the key")
def step_list(context):
    context.replica.apply_list([], Position(0, 9))


@then("the replica is empty")
def step_replica_empty(context):
    assert context.replica.items == []


@then("the change of revision 6 does not restore the key")
def step_not_back(context):
    context.replica.apply_changes([build_change(6)], Position(0, 9))
    assert context.replica.items == []


@when("a list as of revision 20 and 2500 changes arrive")
def step_many(context):
    context.replica.apply_list([build_change(15)], Position(0, 20))
    context.lagging = {}
    for revision in range(21, 2_521):
        change = build_change(revision, key=f"k-{revision % 50}")
        context.replica.apply_changes([change], Position(0, revision))
        context.lagging[revision] = list(context.replica.items)


@then("the changes after revision {revision:d} bring a peer there to the same items")
def step_can_send(context, revision):
    peer = FeedReplica()
    peer.apply_list(context.lagging[revision], Position(0, revision))
    changes = context.replica.changes_after(revision)
    peer.apply_changes(changes, context.replica.position)
    assert set(peer.items) == set(context.replica.items)
    # Each key is sent once, in its newest state.
    assert len(changes) == len({each.key for each in changes}) == 50
    assert min(each.revision for each in changes) > revision


@then("the changes after revision {revision:d} cannot be sent")
def step_cannot_send(context, revision):
    assert context.replica.changes_after(revision) is None


@given("a router whose last contact with the store was at {at_ms:d} ms")
def step_contact(context, at_ms):
    context.freshness = Freshness()
    context.freshness.record_own(at_ms)


@when("a peer reports at {now_ms:d} ms a contact at {at_ms:d} ms")
def step_peer_contact(context, now_ms, at_ms):
    contact = Contact(origin=7, number=at_ms, age_ms=now_ms - at_ms)
    context.has_returned = context.freshness.record(contact, now_ms)


@then("the store has not returned")
def step_not_returned(context):
    assert not context.has_returned


@then("the store has returned")
def step_returned(context):
    assert context.has_returned


@when("the process detects that its host was suspended")
def step_suspended(context):
    assert context.freshness.is_fresh(1_001)
    context.freshness.mark_stale()


@then("the replica is not fresh at {now_ms:d} ms")
def step_not_fresh(context, now_ms):
    assert not context.freshness.is_fresh(now_ms)


@then("a contact at {at_ms:d} ms makes it fresh at {now_ms:d} ms")
def step_fresh(context, at_ms, now_ms):
    assert not context.freshness.record_own(at_ms)
    assert context.freshness.is_fresh(now_ms)


@given("16 gateways in two data centres that start at the same time")
def step_large_fleet(context):
    for number in range(16):
        data_centre = ("bole", "kality")[number % 2]
        context.testbed.add_gateway(data_centre=data_centre)


@then(
    "within {limit_ms:d} ms each has discovered all 16 and the 3 seeds have fewer than "
    "12 links"
)
def step_few_links(context, limit_ms):
    gateways = context.testbed.gateways

    def is_connected():
        n_discovered = [len(each._members.addresses()) for each in gateways]
        n_links = [each._mesh.n_links for each in gateways]
        return set(n_discovered) == {16} and max(n_links[:3]) < 12 and min(n_links) >= 2

    assert context.testbed.wait_for(is_connected, limit_ms / 1_000), [
        (len(each._members.addresses()), each._mesh.n_links) for each in gateways
    ]


@then(
    "within {limit_ms:d} ms all 16 know which engine has its prefix and what load "
    "it stated"
)
def step_all_received(context, limit_ms):
    gateways = context.testbed.gateways

    def states():
        return [
            (len(each._prefix_index._entries_by_part), len(each._loads._loads))
            for each in gateways
        ]

    def is_received():
        return all(n_parts == 2 and n_loads for n_parts, n_loads in states())

    assert context.testbed.wait_for(is_received, limit_ms / 1_000), states()


@then("within {duration_ms:d} ms no more than {n:d} of them call the store")
def step_few_readers(context, duration_ms, n):
    gateways = context.testbed.gateways
    before = [each._reader.n_calls for each in gateways]
    time.sleep(duration_ms / 1_000)
    after = [each._reader.n_calls for each in gateways]
    n_readers = sum(late > early for early, late in zip(before, after, strict=True))
    assert 1 <= n_readers <= n, (before, after)


@when("its task for the links between routers fails")
def step_task_fails(context):
    def fail(now_ms):
        raise RuntimeError("a fault of the test")

    context.testbed.gateways[0]._mesh._maintain_links = fail


@then('the log contains "{event}" and the gateway is requested to stop')
def step_stop_requested(context, event):
    gateway = context.testbed.gateways[0]
    assert context.testbed.wait_for(gateway._stop_requested.is_set)
    lines = [each for each in context.testbed.logs[0].lines if each["event"] == event]
    assert "a fault of the test" in lines[0]["sentence"], lines


@given(
    'a catalog with a server "{name}" that started at {started_at_ms:d} at an address'
)
def step_catalog_with_address(context, name, started_at_ms):
    context.catalog = Catalog(report=lambda event, **fields: None)
    context.items = {}
    put_at_address(context, name, started_at_ms)


@when('server "{name}" that started at {started_at_ms:d} at the same address is stored')
def step_same_address(context, name, started_at_ms):
    put_at_address(context, name, started_at_ms)


def put_at_address(context, name, started_at_ms):
    item = ServerItem(
        server_id=name, server=build_server(name, started_at_ms=started_at_ms)
    )
    context.items[name] = item
    context.catalog.put(item, 5_000)


def put_services(context, version, *names):
    configuration = Configuration(
        version=version,
        routes=(),
        services={name: ServiceSpec(name=name) for name in names},
        team_by_key=None,
        limits=CallerLimits(),
    )
    context.catalog.put(ConfigurationItem(configuration=configuration), 5_000)


@given("operators who know its service only")
def step_known_service(context):
    put_services(context, 1, "app")


@when(
    'an entry "{name}" of service "{service}" that started at {started_at_ms:d} names '
    "its address"
)
def step_foreign(context, name, service, started_at_ms):
    server = build_server(name, service=service, started_at_ms=started_at_ms)
    context.catalog.put(ServerItem(server_id=name, server=server), 5_000)


@then('only "{name}" of them is usable for its service')
def step_usable_for(context, name):
    found = [each.server_id for each in context.catalog.find_servers("app")]
    assert found == [name], found


@when('the operators\' next version knows the service "{service}" too')
def step_knows_too(context, service):
    put_services(context, 2, "app", service)


@then("no server of its service is usable")
def step_none_usable(context):
    assert context.catalog.find_servers("app") == ()


@when('server "{name}" is removed')
def step_server_removed(context, name):
    context.catalog.remove(context.items[name], 6_000)


@then('only "{name}" of them is usable')
def step_only_usable(context, name):
    found = [each.server_id for each in context.catalog.find_servers("app")]
    assert found == [name], found
    for other, item in context.items.items():
        assert context.catalog.is_usable(item.server.key) == (other == name), other


@given("a catalog with 6 engines in each of {n:d} data centres")
def step_engines(context, n):
    context.catalog = Catalog(report=lambda event, **fields: None)
    spec = ServiceSpec(name="pool", is_engine=True)
    configuration = Configuration(
        version=1,
        routes=(),
        services={"pool": spec},
        team_by_key=None,
        limits=CallerLimits(),
    )
    context.catalog.put(ConfigurationItem(configuration=configuration), 0)
    for number in range(6 * n):
        server = build_server(
            f"e-{number}",
            service="pool",
            address=("127.0.0.1", 1_000 + number),
            data_centre=f"centre-{number % n}",
        )
        item = ServerItem(server_id=server.server_id, server=server)
        context.catalog.put(item, 0)


@when("one of the data centres is taken out of service")
def step_centre_out_of_service(context):
    context.catalog.put(DataCentreOutItem(data_centre="centre-0"), 100)


@then("no large part is unavailable")
def step_no_part_unavailable(context):
    assert not context.catalog.has_major_capacity_loss


@then("a large part is unavailable: {is_unavailable}")
def step_part_unavailable(context, is_unavailable):
    assert context.catalog.has_major_capacity_loss == (is_unavailable == "yes")


@when(
    'changes no longer reach the second gateway and app server "{name}" starts draining'
)
def step_no_changes(context, name):
    second = context.testbed.gateways[1]
    second._mesh._replication._apply_feed = lambda feed, source: None
    context.testbed.change_entry(name, state="draining")


@then("within {limit_ms:d} ms the second gateway's replica is stale")
def step_stale(context, limit_ms):
    freshness = context.testbed.gateways[1]._freshness
    assert context.testbed.wait_for(
        lambda: not freshness.is_fresh(round(time.monotonic() * 1_000)),
        limit_ms / 1_000,
    )


@when("a router process starts and a caller connects as soon as it can")
def step_start_process(context):
    address, log, _ = start_process(context)
    caller = connect_soon(address)
    context.add_cleanup(caller.close)
    context.connected_at_ms = time.time() * 1_000
    context.status = read_status(caller)
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    starts = [each["at_ms"] for each in lines if each["event"] == "process_started"]
    context.started_at_ms = starts[0]


def start_process(context):
    """Start a router; return its address for callers, its log and its process."""
    testbed = context.testbed
    host, ports = "127.0.0.1", [port for _, port in free_addresses("127.0.0.1", 3)]
    text = build_settings(
        name="early",
        data_centre="bole",
        host=host,
        ports=tuple(ports),
        seeds="",
        store=testbed.store.address,
        grace_s=4,
    )
    folder = Path(tempfile.mkdtemp(prefix="damaskrill-early-"))
    (folder / "settings.conf").write_text(text, encoding="utf-8")
    log = folder / "router.log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", "damaskrill.platform"],
            env={**os.environ, SETTINGS_VARIABLE: str(folder / "settings.conf")},
            stdout=output,
        )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    return (host, ports[0]), log, process


def read_status(caller):
    data, _ = build_request("/read/1", method="GET", body=b"")
    caller.sendall(data)
    return caller.recv(65_536).split()[1]


@when("a router process gets {name} as soon as a caller can connect")
def step_early_signal(context, name):
    address, context.early_log, context.process = start_process(context)
    caller = connect_soon(address)
    context.add_cleanup(caller.close)
    context.process.send_signal(getattr(signal, name))
    context.status = read_status(caller)
    caller.close()


@then("the caller gets {statuses}, and the process {end}")
def step_early_end(context, statuses, end):
    assert context.status.decode() in statuses.split(" or "), context.status
    if end == "runs on":
        time.sleep(0.3)
        assert context.process.poll() is None
        assert "settings_reloaded" in context.early_log.read_text()
    else:
        assert context.process.wait(timeout=10) == 0
        assert "process_stopped" in context.early_log.read_text()


def connect_soon(address):
    ends_at = time.monotonic() + 10
    while time.monotonic() < ends_at:
        try:
            return socket.create_connection(address, timeout=10)
        except ConnectionRefusedError:
            time.sleep(0.005)
    raise AssertionError("the router does not listen")


@then("the caller was connected before the router had started, and gets {status:d}")
def step_early(context, status):
    # The imports take several times as long.
    assert context.started_at_ms - context.connected_at_ms >= 50
    assert int(context.status) == status, context.status


@given("two gateways that have not discovered each other")
def step_strangers(context):
    testbed = context.testbed
    testbed.add_gateway()
    testbed.wait_until_ready()
    first = testbed.gateways.pop()
    second = testbed.add_gateway()
    testbed.gateways.insert(0, first)
    testbed.wait_until_ready(second)


@when("they dial each other at the same time, {n:d} times in a row")
def step_dial_each_other(context, n):
    testbed = context.testbed
    meshes = [each._mesh for each in testbed.gateways]
    addresses = [each._settings.peer_address for each in testbed.gateways]
    names = [f"{host}:{port}" for host, port in addresses]

    def dial():
        for mesh, name in zip(meshes, reversed(names), strict=True):
            mesh._dialled_at_ms[name] = time.monotonic() * 1_000
            mesh._start_dial(name)

    def release():
        for mesh in meshes:
            for link in list(mesh._links.values()):
                link.is_released = True
                mesh._close_link(link, "the test closes it")

    context.n_linked = 0
    for _ in range(n):
        testbed.call(dial)
        time.sleep(0.15)
        context.n_linked += testbed.wait_for(
            lambda: [mesh.n_links for mesh in meshes] == [1, 1], 0.35
        )
        testbed.call(release)
    context.n_dials = n


@then("each time they have one link within 500 ms and no link was lost")
def step_one_link(context):
    lost = [
        line
        for log in context.testbed.logs
        for line in log.lines
        if line["event"] == "router_link_lost"
    ]
    assert not lost, lost[:3]
    assert context.n_linked == context.n_dials, context.n_linked


@given("{n:d} routers in a ring that tell each other the newest contact with the store")
def step_ring(context, n):
    context.ring = [Freshness(origin=number + 1) for number in range(n)]


@when("the last contact is at {at_ms:d} ms, and each message takes {delay_ms:d} ms")
def step_circulate(context, at_ms, delay_ms):
    context.ring[0].record_own(at_ms)
    context.stale_at_ms = {}
    for now_ms in range(at_ms, at_ms + 20_000, delay_ms):
        messages = [each.contact(now_ms) for each in context.ring]
        for number, contact in enumerate(messages):
            receiver = context.ring[(number + 1) % len(context.ring)]
            if contact is not None:
                receiver.record(contact, now_ms + delay_ms)
        for number, each in enumerate(context.ring):
            if each.is_fresh(now_ms + delay_ms):
                context.stale_at_ms[number] = now_ms + delay_ms


@then("all are stale at {limit_ms:d} ms")
def step_all_stale(context, limit_ms):
    assert max(context.stale_at_ms.values()) <= limit_ms, context.stale_at_ms
