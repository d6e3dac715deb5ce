"""Steps for servers and stores that send bytes without end."""

import itertools
import time

from behave import given, then, when

from damaskrill.exceptions import DamaskrillError
from damaskrill.fakes.platform import (
    EndlessPart,
    FakeStore,
    Misbehaviour,
    StoreMode,
    build_endless_answer,
)
from damaskrill.gateway._events import EventSplitter, parse_last_event_id
from damaskrill.http1 import FailureKind, OutgoingRequest, fetch
from features.support.reactor_thread import get_reactor_thread
from features.support.server_answers import open_exchange

# Bytes that a connection passes on at once.
READ_BYTES = 65_536
# Bytes after which a test stops to feed a receiver that has not failed.
GIVE_UP_BYTES = 1_000_000


def send_without_end(server, part):
    server.misbehaviour = Misbehaviour.ENDLESS
    server.endless_part = EndlessPart(part)


@given("both app servers send {part} without end")
def step_apps_endless(context, part):
    for name in ("a-1", "a-2"):
        send_without_end(context.testbed.servers[name], part)


@given("both engines send {part} without end")
def step_engines_endless(context, part):
    for name in ("e-1", "e-2"):
        send_without_end(context.testbed.servers[name], part)


@given('app server "{name}" sends {part} without end')
@given('engine "{name}" sends {part} without end')
def step_one_endless(context, name, part):
    send_without_end(context.testbed.servers[name], part)


@then("each reply arrived within {limit_ms:d} ms")
def step_all_in_time(context, limit_ms):
    times = [reply.elapsed_ms for reply in context.replies]
    assert max(times) <= limit_ms, times


@then("the reply arrived within {limit_ms:d} ms")
def step_in_time(context, limit_ms):
    assert context.reply.elapsed_ms <= limit_ms, context.reply.elapsed_ms


@then('a failed attempt at "{name}" is logged with cause "{code}"')
def step_blamed(context, name, code):
    lines = context.testbed.logs[0].lines
    failures = [line for line in lines if line["event"] == "attempt_failed"]
    codes = {
        line["causes"][0]["code"] for line in failures if line["backend_server"] == name
    }
    assert codes == {code}, failures


@when("a connection to a server receives {part} without end")
def step_feed(context, part):
    context.exchange = connection, _, sink = open_exchange()
    headers = ((b"Damaskrill-Response-Seal", b"seal"),)
    first, block = build_endless_answer(EndlessPart(part), headers)
    # Small pieces, so that the count of accepted bytes is exact.
    size = 1 if part == "junk" else 1_024
    pieces = itertools.chain(
        [first] if first else [],
        itertools.cycle([block[n : n + size] for n in range(0, len(block), size)]),
    )
    context.n_bytes = 0
    while not sink.failures and context.n_bytes < GIVE_UP_BYTES:
        piece = next(pieces)
        context.n_bytes += len(piece)
        connection.dataReceived(piece)


@then("its exchange fails as malformed after at most {n_bytes:d} bytes")
def step_fails_early(context, n_bytes):
    failures = context.exchange[2].failures
    assert [each.kind for each in failures] == [FailureKind.MALFORMED], failures
    assert context.n_bytes <= n_bytes, context.n_bytes


@then("the connection is aborted")
def step_aborted(context):
    assert context.exchange[1].is_aborted
    assert not context.exchange[0].is_open


@when(
    "a connection to a server receives {n_heads:d} informational heads "
    "and {n_chunks:d} chunks of {size:d} bytes"
)
def step_feed_chatty(context, n_heads, n_chunks, size):
    context.exchange = connection, _, sink = open_exchange()
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    data = b"HTTP/1.1 102 Processing\r\n\r\n" * n_heads
    data += b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += chunk * n_chunks + b"0\r\n\r\n"
    for start in range(0, len(data), READ_BYTES):
        connection.dataReceived(data[start : start + READ_BYTES])
    assert not sink.failures, sink.failures


@then("its exchange ends as complete with {n_bytes:d} bytes")
def step_complete(context, n_bytes):
    sink = context.exchange[2]
    assert sink.is_complete and len(sink.body) == n_bytes, len(sink.body)


@when("an event arrives in pieces of {size:d} bytes and never ends")
def step_endless_event(context, size):
    # Local variables only: each access to behave's context takes some 50 us, which
    # must not count as the splitter's processor time.
    splitter, piece = EventSplitter(), b"x" * size
    n_bytes, is_refused = 0, False
    started_at = time.process_time()
    while not is_refused and n_bytes < GIVE_UP_BYTES:
        n_bytes += size
        try:
            splitter.feed(piece)
        except DamaskrillError:
            is_refused = True
    context.cpu_ms = (time.process_time() - started_at) * 1_000
    context.n_bytes, context.is_refused = n_bytes, is_refused


@then(
    "it is refused after at most {n_bytes:d} bytes and {limit_ms:d} ms of "
    "processor time"
)
def step_event_refused(context, n_bytes, limit_ms):
    figures = (context.is_refused, context.n_bytes, context.cpu_ms)
    assert context.is_refused and context.n_bytes <= n_bytes, figures
    assert context.cpu_ms <= limit_ms, figures


@given("a platform whose store sends {part} without end")
def step_endless_store(context, part):
    thread = get_reactor_thread()

    async def start():
        from twisted.internet import reactor

        context.reactor = reactor
        store = FakeStore(reactor=reactor)
        store.set_mode(StoreMode.ENDLESS)
        store.endless_part = EndlessPart(part)
        return store

    async def close():
        context.store.close()

    context.store = thread.run(start())
    context.add_cleanup(lambda: thread.run(close()))


@when("the store is called with a time limit of {limit_ms:d} ms")
def step_call_store(context, limit_ms):
    async def run():
        request = OutgoingRequest(
            method=b"GET", target=b"/", headers=((b"Host", b"store"),)
        )
        try:
            await fetch(
                context.reactor, context.store.address, request, timeout_ms=limit_ms
            )
        except OSError as error:
            return error
        return None

    started_at = time.monotonic()
    context.error = get_reactor_thread().run(run())
    context.elapsed_ms = (time.monotonic() - started_at) * 1_000


@then("the call fails within {limit_ms:d} ms")
def step_call_fails(context, limit_ms):
    assert context.error is not None
    assert context.elapsed_ms <= limit_ms, (context.elapsed_ms, context.error)


@then("the store's connections are closed within {limit_ms:d} ms")
def step_store_connections(context, limit_ms):
    ends_at = time.monotonic() + limit_ms / 1_000
    connections = context.store._listener.factory.connections
    while connections and time.monotonic() < ends_at:
        time.sleep(0.01)
    assert not connections


@given("an event whose number has {n_digits:d} digits")
def step_long_number(context, n_digits):
    context.event = b"id: " + b"1" * n_digits + b"\ndata: x\n\n"


@then("the event is read as one without a number")
def step_no_number(context):
    assert parse_last_event_id(context.event) is None
