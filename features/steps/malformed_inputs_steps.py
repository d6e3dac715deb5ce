"""Steps for malformed inputs."""

import asyncio
import contextlib

import cbor2
from behave import given, then, when
from hypothesis import strategies as st
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from damaskrill.configuration import (
    FleetText,
    InvalidConfigurationError,
    Settings,
    apply_sections,
    parse_settings,
    parse_text,
    split_sections,
)
from damaskrill.exceptions import DamaskrillError, PeerFrameError
from damaskrill.messages import Member
from damaskrill.peers import ByteCounters
from damaskrill.peers._frames import Chunk, Proof, decode_frame, encode_frame
from damaskrill.peers._handshake import handshake_as_dialler
from features.support.builders import MINIMAL_SETTINGS, MINIMAL_TEXT
from features.support.malformed import (
    malformed_files,
    malformed_frames,
    run_examples,
)
from features.support.peer_networks import (
    SMALL_LIMITS,
    LoopRunner,
    Peer,
    collect_log,
    wait_until,
)

TEXT_WITH_ALL = (
    MINIMAL_TEXT
    + b"""
[backend_servers issuance]
find = host_list

[limits]
max_queue_wait_ms = 5 s

[teams]
quotes = 3 4
field-office = 20 1
"""
)


@when("{n:d} malformed frames are decoded")
def step_decode_frames(context, n):
    def check(content):
        try:
            frame = decode_frame(content)
        except PeerFrameError as error:
            assert error.sentence
            return
        assert decode_frame(encode_frame(frame)) == frame

    context.n_expected = n
    context.n_seen = run_examples(malformed_frames(), n, check)


@then(
    "each gave a frame or a peer frame error, and a frame is encoded and decoded to "
    "itself"
)
def step_frames_checked(context):
    assert context.n_seen >= context.n_expected, context.n_seen


@given("a peer network that accepts connections")
def step_accepting_network(context):
    collect_log(context)
    context.runner = LoopRunner()
    context.peer = Peer(1, "k1", SMALL_LIMITS)
    context.runner.run(context.peer.network.start("127.0.0.1", 0))
    context.add_cleanup(stop_network, context)


def stop_network(context):
    context.runner.run(context.peer.network.stop())
    context.runner.close()


async def send_malformed(address, stage, contents):
    """Send malformed data to a peer at a stage of the connection."""
    if stage == "tcp":
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(contents))
        writer.write_eof()
        await reader.read()
        writer.close()
        return
    async with connect(
        f"ws://{address}/", proxy=None, compression=None, max_size=None, open_timeout=20
    ) as connection:
        if stage == "greeted":
            own = Member(address="127.0.0.1:9", data_centre="x", incarnation="stranger")
            await handshake_as_dialler(
                connection,
                own=own,
                fleet_key="k1",
                address=address,
                counters=ByteCounters(),
            )
        if stage == "large":
            await connection.send(b"\0" * (SMALL_LIMITS.max_message_bytes + 1))
        if stage == "text":
            await connection.send("a text message")
        for content in contents:
            await connection.send(content)
        connection.transport.write_eof()
        with contextlib.suppress(WebSocketException):
            await connection.recv()


@when("{n:d} clients send malformed data to it")
def step_malformed_clients(context, n):
    stages = st.sampled_from(["tcp", "greeting", "greeted", "greeted", "large", "text"])
    inputs = st.tuples(stages, st.lists(malformed_frames(), max_size=4))

    def check(example):
        stage, contents = example
        errors = (WebSocketException, OSError, DamaskrillError, EOFError)
        with contextlib.suppress(*errors):
            context.runner.run(send_malformed(context.peer.address, stage, contents))

    context.n_expected = n
    context.n_seen = run_examples(inputs, n, check)


@then("none caused an unhandled error, and it still receives a valid peer's payload")
def step_still_works(context):
    assert context.n_seen >= context.n_expected, context.n_seen
    assert not context.runner.unhandled, context.runner.unhandled
    assert not [each for each in context.log_records if each["exception"]]
    network = context.peer.network
    context.runner.run(wait_until(lambda: network.n_links == 0))
    valid = Peer(2, "k1", SMALL_LIMITS)
    context.runner.run(valid.network.start("127.0.0.1", 0))
    assert valid.cancel(context.peer.address, "from a valid peer")

    def arrived():
        payloads = context.peer.handler.of_kind("payload")
        return any(each[1] == valid.network.own for each in payloads)

    context.runner.run(wait_until(arrived))
    context.runner.run(valid.network.stop())


def check_faults(context, error, content):
    n_lines = content.count(b"\n") + 1
    assert error.faults
    for fault in error.faults:
        assert 0 <= fault.line <= n_lines, fault
        shown = fault.describe("file")
        assert shown.isprintable(), shown


def count_examples(context, strategy, n, check):
    context.n_expected = n
    context.n_seen = run_examples(strategy, n, check)


@when("{n:d} malformed settings files are read")
def step_malformed_settings(context, n):
    def check(content):
        try:
            assert isinstance(parse_settings(content), Settings)
        except InvalidConfigurationError as error:
            check_faults(context, error, content)

    count_examples(context, malformed_files(MINIMAL_SETTINGS), n, check)


@when("{n:d} malformed texts are parsed")
def step_malformed_texts(context, n):
    def check(content):
        try:
            text = parse_text(content, version=1)
        except InvalidConfigurationError as error:
            check_faults(context, error, content)
            return
        assert apply_sections(FleetText(), split_sections(content), (), 1) == text

    count_examples(context, malformed_files(TEXT_WITH_ALL), n, check)


@when("{n:d} malformed updates by section are applied")
def step_malformed_updates(context, n):
    context.base_text = parse_text(TEXT_WITH_ALL, version=1)
    sections = split_sections(TEXT_WITH_ALL)
    headers = st.sampled_from([*sections, "teams 1024", "teams x", "", "x y"])

    def check(change):
        changed, removed = change
        try:
            apply_sections(context.base_text, changed, removed, 2)
        except InvalidConfigurationError as error:
            check_faults(context, error, b"\n".join(changed.values()) + b"\n" * 20)

    contents = st.sampled_from(list(sections.values())) | st.one_of(
        *(malformed_files(content) for content in sections.values())
    )
    changes = st.tuples(
        st.dictionaries(headers, contents, max_size=3), st.lists(headers, max_size=2)
    )
    count_examples(context, changes, n, check)


@then(
    "each resulted in settings or faults with a line, a code and a sentence on one line"
)
@then(
    "each resulted in a text or faults with a line, a code and a sentence on one line"
)
def step_all_seen(context):
    assert context.n_seen >= context.n_expected, context.n_seen


@then("no update modified the original text")
def step_base_unchanged(context):
    assert context.base_text == parse_text(TEXT_WITH_ALL, version=1)


MALFORMED_MESSAGES = {
    "a text message": "text",
    "a truncated frame": encode_frame(Chunk(stream_id="s", offset=0, data=b"d"))[:-1],
    "a frame of unknown kind": cbor2.dumps([99]),
    "a second greeting": encode_frame(Proof(digest=b"d")),
    "a tagged value": cbor2.dumps([3, "s", cbor2.CBORTag(4, [1, 2]), b""]),
    "a kernel-only message": cbor2.dumps([2, {"type": "Tick"}, b""]),
    "a frame above the limit": b"\0" * (SMALL_LIMITS.max_message_bytes + 1),
}


@when("a greeted peer sends {what}")
def step_greeted_peer_sends(context, what):
    async def send():
        address = context.peer.address
        async with connect(
            f"ws://{address}/", proxy=None, compression=None
        ) as connection:
            await handshake_as_dialler(
                connection,
                own=Member(address="127.0.0.1:9", data_centre="x", incarnation="s"),
                fleet_key="k1",
                address=address,
                counters=ByteCounters(),
            )
            await connection.send(MALFORMED_MESSAGES[what])
            with contextlib.suppress(WebSocketException):
                await connection.recv()

    context.runner.run(send())


@then('the log has "{event}" with the code "{code}" and the link is closed')
def step_lost_with_code(context, event, code):
    network = context.peer.network
    context.runner.run(wait_until(lambda: network.n_links == 0))
    found = [
        each["extra"]["code"]
        for each in context.log_records
        if each["extra"].get("event") == event
    ]
    assert found == [code], (found, context.log_records)
    assert len(context.peer.handler.of_kind("lost")) == 1


@when("a client connects and sends nothing for the greeting timeout")
def step_silent_client(context):
    async def stay_silent():
        address = context.peer.address
        async with connect(f"ws://{address}/", proxy=None) as connection:
            with contextlib.suppress(WebSocketException):
                await connection.recv()
            context.close_code = connection.close_code

    context.runner.run(stay_silent())


@then('its connection is closed and the log has "{words}"')
def step_client_closed(context, words):
    assert context.close_code == 1008, context.close_code
    assert any(words in each["message"] for each in context.log_records)
