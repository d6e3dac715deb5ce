"""Steps for the messages about slots, and for who is asked."""

import cbor2
import websockets.asyncio.client
from behave import then, when

from damaskrill.exceptions import PeerFrameError
from damaskrill.mesh import (
    ASKS_FOR_SLOTS,
    ASSIGNS_SLOTS,
    NO_SLOTS,
    DirectHello,
    Hello,
    MemberEntry,
    MemberTable,
    SchedulerChoice,
    Suspicion,
    decode,
    encode,
)
from features.support.former_build import echo_frames
from features.support.slot_messages import build_malformed_items, build_slot_batch

NOW_MS = 1_000


@when("batches with a malformed message about slots are decoded")
def step_malformed(context):
    context.frames = [
        cbor2.dumps(["k", "app", [each]]) for each in build_malformed_items()
    ]
    context.frames += [
        cbor2.dumps(each)
        for each in (
            ["k"],
            ["k", "app"],
            ["k", 5, []],
            ["k", "app", {}],
            ["k", "s" * 2_000, []],
            ["k", "app", [[1, 1, 80, 5]] * 51],
        )
    ]


@then("each is refused with a peer frame error")
def step_refused(context):
    assert len(context.frames) > 200
    for frame in context.frames:
        try:
            decoded = decode(frame)
        except PeerFrameError:
            continue
        raise AssertionError(f"{cbor2.loads(frame)} was read as {decoded}")


@when("a later build sends messages about slots with further fields, and a new kind")
def step_later(context):
    kind, service, items = cbor2.loads(encode(build_slot_batch()))
    items = [[*each, {"new": 1}] for each in items]
    context.decoded = decode(cbor2.dumps([kind, service, [[9, "new"], *items], "new"]))


@then("the known ones are read as if the others were not there")
def step_known(context):
    assert context.decoded == build_slot_batch()


@when("a router sends a malformed batch of messages about slots to the first gateway")
def step_send_malformed(context):
    testbed = context.testbed
    host, port = testbed.gateways[0]._settings.peer_address

    async def send():
        uri = f"ws://{host}:{port}/"
        async with websockets.asyncio.client.connect(uri, proxy=None) as socket:
            await socket.recv()
            await socket.send(encode(DirectHello(address="127.0.0.1:1")))
            await socket.send(cbor2.dumps(["k", "app", [[0, -1, "team"]]]))
            await socket.wait_closed()

    testbed.thread.run(send())


@then("the first gateway refuses the frame, and both go on serving")
def step_goes_on(context):
    testbed = context.testbed
    events = [each["event"] for each in testbed.logs[0].lines]
    assert events.count("router_frame_refused") == 1
    assert "task_failed" not in events
    for gateway in testbed.gateways:
        assert testbed.send("/read/1", gateway=gateway).status == 200
        assert gateway._mesh.n_links == 1


@when("the views of a router have these members")
def step_members(context):
    context.entries = {}
    for row in context.table:
        context.entries[row["address"]] = MemberEntry(
            row["address"],
            5,
            "bole",
            3,
            has_path=row["has path"] == "yes",
            slots=ASSIGNS_SLOTS if row["schedules"] == "yes" else ASKS_FOR_SLOTS,
        )
    suspected = [row["address"] for row in context.table if row["suspected"] == "yes"]
    context.build_view = lambda own: _build_view(context.entries, own, suspected)
    context.view = context.build_view("own")


def _build_view(entries, own, suspected):
    table = MemberTable(own=MemberEntry(own, 5, "bole", 3, slots=ASSIGNS_SLOTS))
    others = {**entries, "own": MemberEntry("own", 5, "bole", 3, slots=ASSIGNS_SLOTS)}
    for address, entry in others.items():
        if address != own:
            table.merge(entry, NOW_MS, source=address)
    for address in suspected:
        table.suspect(Suspicion(address, 5, 3), NOW_MS)
    return table


def _asked(table):
    choice = SchedulerChoice(table)
    return [choice.find(f"service-{number}") for number in range(200)]


@then('over {n:d} services only itself and "a" are asked')
def step_asked(context, n):
    assert set(_asked(context.view)) == {"own", "a"}


@then("the same router is asked by all that have the same view")
def step_same(context):
    assert _asked(context.build_view("a")) == _asked(context.view)


@then("once it stops it is not asked any more")
def step_stops(context):
    context.view.stop_scheduling(NOW_MS)
    assert set(_asked(context.view)) == {"a"}
    other = context.build_view("a")
    other.merge(context.view.own, NOW_MS, source="own")
    assert set(_asked(other)) == {"a"}


@then("one that does not ask for slots does not say so when it stops either")
def step_stops_unasking(context):
    table = MemberTable(own=MemberEntry("own", 5, "bole", 3, slots=NO_SLOTS))
    table.stop_scheduling(NOW_MS)
    assert table.own.slots == NO_SLOTS


@then("no slots are asked for while over a tenth of the routers do not know them")
def step_unaware(context):
    table = MemberTable(own=MemberEntry("own", 5, "bole", 3, slots=ASSIGNS_SLOTS))
    assert table.do_most_ask
    for number in range(9):
        slots = 0 if number == 0 else ASKS_FOR_SLOTS
        entry = MemberEntry(f"m-{number}", 5, "bole", 3, slots=slots)
        table.merge(entry, NOW_MS, source=entry.address)
        assert table.do_most_ask == (number == 8), number
    table.merge(MemberEntry("m-9", 5, "bole", 3), NOW_MS, source="m-9")
    assert not table.do_most_ask


@then("entries of the former build say nothing of slots")
def step_former(context):
    frame = Hello(entry=context.entries["a"])
    assert decode(encode(frame)) == frame
    echoed = decode(echo_frames([encode(frame)])[0])
    assert echoed.entry.address == "a"
    assert echoed.entry.slots == 0
