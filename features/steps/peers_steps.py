"""Steps for the transport between routers."""

import asyncio

import attrs
from behave import given, then, when

from damaskrill.messages import AttemptEnded, CancelAttempt
from damaskrill.peers import PeerLimits, _handshake
from features.support.peer_networks import (
    SMALL_LIMITS,
    LoopRunner,
    Peer,
    Relay,
    collect_log,
    wait_until,
)

CHUNK_BYTES = 16 * 1024
N_CHUNKS = 400


def start_runner(context):
    collect_log(context)
    context.runner = LoopRunner()
    context.peers = []
    context.add_cleanup(stop_runner, context)


def stop_runner(context):
    for peer in context.peers:
        context.runner.run(peer.network.stop())
    context.runner.close()
    assert not context.runner.unhandled, context.runner.unhandled


def start_peer(context, n, fleet_key, limits=SMALL_LIMITS, **options):
    peer = Peer(n, fleet_key, limits, **options)
    context.runner.run(peer.network.start("127.0.0.1", 0))
    context.peers.append(peer)
    return peer


def start_two(context, first_key, second_key):
    start_runner(context)
    context.first = start_peer(context, 1, first_key)
    context.second = start_peer(context, 2, second_key)


@given('two peer networks with the fleet key "{key}" on loopback')
def step_two_networks(context, key):
    start_two(context, key, key)


@given("two peer networks whose fleet keys differ")
def step_two_keys(context):
    start_two(context, "k1", "k2")


@given("the second uses another protocol version")
def step_other_protocol(context):
    original = _handshake._build_greeting

    def build(own):
        greeting = original(own)
        if own == context.second.network.own:
            return attrs.evolve(greeting, protocol=99)
        return greeting

    _handshake._build_greeting = build
    context.add_cleanup(setattr, _handshake, "_build_greeting", original)


@given("the second has stopped")
def step_second_stopped(context):
    context.runner.run(context.second.network.stop())


@when(
    'the first sends {n:d} chunks of stream "{stream_id}" and then the end of attempt '
    '"{attempt_id}" with a body of {n_bytes:d} bytes'
)
def step_send_stream(context, n, stream_id, attempt_id, n_bytes):
    async def send():
        network = context.first.network
        for i in range(n):
            await network.send_chunk(context.second.address, stream_id, i, b"x")
        ended = AttemptEnded(attempt_id=attempt_id, n_bytes=n, digest="ab")
        assert network.send_payload(context.second.address, ended, b"b" * n_bytes)
        await wait_until(lambda: context.second.handler.of_kind("payload"))

    context.stream_id, context.body = stream_id, b"b" * n_bytes
    context.runner.run(send())


@then("the second receives the chunks in order and then the payload with its body")
def step_in_order(context):
    events = context.second.handler.events
    kinds = [each[0] for each in events]
    assert kinds == ["connected", "chunk", "chunk", "chunk", "payload"], kinds
    assert [each[2:4] for each in events[1:4]] == [
        (context.stream_id, 0),
        (context.stream_id, 1),
        (context.stream_id, 2),
    ]
    assert events[4][3] == context.body
    assert events[4][1] == context.first.network.own


@then("both have reported the other as connected")
def step_both_connected(context):
    first, second = context.first, context.second
    assert first.handler.of_kind("connected") == [("connected", second.network.own)]
    assert second.handler.of_kind("connected") == [("connected", first.network.own)]


@then('the first has counted as many sent bytes of "{name}" as the second has received')
def step_counted(context, name):
    sent = context.first.network.counters.sent[name]
    received = context.second.network.counters.received[name]
    assert sent == received > 0, (sent, received)
    assert context.first.network.counters.n_sent[name] == 1


@when('the first sends a cancellation of attempt "{attempt_id}" and the second replies')
def step_send_and_reply(context, attempt_id):
    async def exchange():
        assert context.first.cancel(context.second.address, attempt_id)
        await wait_until(lambda: context.second.handler.of_kind("payload"))
        sender = context.second.handler.of_kind("payload")[0][1]
        assert context.second.cancel(sender.address, attempt_id)
        await wait_until(lambda: context.first.handler.of_kind("payload"))

    context.runner.run(exchange())


@then("each network has {n:d} link")
def step_n_links(context, n):
    assert [each.network.n_links for each in context.peers] == [n, n]


@when('the first sends a cancellation of attempt "{attempt_id}" to the second')
def step_send_cancel(context, attempt_id):
    assert context.first.cancel(context.second.address, attempt_id)


@when(
    'the first sends a cancellation of attempt "{attempt_id}" for incarnation "{name}" '
    "of the second"
)
def step_send_cancel_to_incarnation(context, attempt_id, name):
    address = context.second.address
    assert context.first.cancel(address, attempt_id, incarnation=name)


@then("the payload for the second is reported to the first as not sent")
def step_reported_unsent(context):
    handler = context.first.handler
    context.runner.run(wait_until(lambda: handler.of_kind("unreachable")))
    payload = CancelAttempt(attempt_id="a1")
    expected = [("unreachable", context.second.address, payload)]
    assert handler.of_kind("unreachable") == expected, handler.events


@then('a log line "{event}" contains "{words}"')
def step_log_line(context, event, words):
    def found():
        return any(
            record["extra"].get("event") == event and words in record["message"]
            for record in context.log_records
        )

    context.runner.run(wait_until(found))
    assert not any(record["exception"] for record in context.log_records)


@then("the second has received no payload")
def step_no_payload(context):
    assert context.second.handler.of_kind("payload") == []


@when("the first sends a body above the message limit")
def step_send_too_large(context):
    body = b"b" * (SMALL_LIMITS.max_message_bytes + 1)
    context.was_queued = context.first.cancel(context.second.address, body=body)


@then("the call returns that nothing was queued")
def step_not_queued(context):
    assert context.was_queued is False
    assert context.first.network.n_links == 0


@given("the second accepts no chunks")
def step_accept_no_chunks(context):
    context.second.handler.accepts_chunks.clear()


@when("the first sends chunks until it is blocked")
def step_send_until_blocked(context):
    context.n_queued = 0

    async def send_all():
        network = context.first.network
        data = b"c" * CHUNK_BYTES
        for i in range(N_CHUNKS):
            await network.send_chunk(
                context.second.address, "s1", i * CHUNK_BYTES, data
            )
            context.n_queued += 1

    async def send_until_blocked():
        context.sending = asyncio.create_task(send_all())
        n_before = -1
        while context.n_queued != n_before and not context.sending.done():
            n_before = context.n_queued
            await asyncio.sleep(0.3)

    context.runner.run(send_until_blocked())


@then("some but not all of the chunks were queued")
def step_was_blocked(context):
    assert not context.sending.done()
    assert 0 < context.n_queued < N_CHUNKS, context.n_queued


@when("the second accepts chunks again")
def step_accept_chunks(context):
    context.second.handler.accepts_chunks.set()


@then("all chunks arrive in order")
def step_all_in_order(context):
    handler = context.second.handler

    async def finish():
        await context.sending
        await wait_until(lambda: len(handler.of_kind("chunk")) == N_CHUNKS)

    context.runner.run(finish())
    offsets = [each[3] for each in handler.of_kind("chunk")]
    assert offsets == [i * CHUNK_BYTES for i in range(N_CHUNKS)]


@given('two peer networks with the fleet key "{key}" on loopback behind a relay')
def step_two_with_relay(context, key):
    start_runner(context)
    context.relay = Relay(lambda: f"127.0.0.1:{context.second_port}")
    relay_port = context.runner.run(context.relay.start())
    context.add_cleanup(lambda: context.runner.run(context.relay.stop()))
    context.first = start_peer(context, 1, key)
    second = Peer(2, key, SMALL_LIMITS, address=f"127.0.0.1:{relay_port}")
    context.second_port = context.runner.run(second.network.start("127.0.0.1", 0))
    context.second = second
    context.peers.append(second)


@given("the first has sent a payload through the relay")
@given("the first has sent a payload to the second")
def step_first_sent(context):
    assert context.first.cancel(context.second.address)
    handler = context.second.handler
    context.runner.run(wait_until(lambda: handler.of_kind("payload")))


@when("the relay stops forwarding but stays connected and the silence timeout passes")
def step_relay_stalled(context):
    context.relay.stall_open_connections()
    advance(context, [context.first], SMALL_LIMITS.silence_timeout_ms)


def advance(context, peers, duration_ms, step_ms=500):
    async def pass_time():
        for _ in range(0, duration_ms, step_ms):
            for peer in peers:
                peer.clock.advance(step_ms)
                peer.network.check_links()
            for _ in range(20):
                await asyncio.sleep(0.001)

    context.runner.run(pass_time())


@then("the second is reported to the first as lost")
def step_reported_lost(context):
    handler = context.first.handler
    context.runner.run(wait_until(lambda: handler.of_kind("lost")))
    assert handler.of_kind("lost") == [("lost", context.second.network.own)]
    assert context.first.network.n_links == 0


@when("the relay forwards the bytes of new connections")
def step_relay_forwards(context):
    assert not context.relay.is_silent


@when("the first sends another payload through the relay")
def step_send_another(context):
    assert context.first.cancel(context.second.address, "a2")


@then("the second receives it over a new connection")
def step_over_new_connection(context):
    handler = context.second.handler
    context.runner.run(wait_until(lambda: len(handler.of_kind("payload")) == 2))
    assert handler.of_kind("payload")[1][2].attempt_id == "a2"
    assert len(handler.of_kind("connected")) == 2


@when("{n:d} heartbeat intervals pass on the clock")
def step_heartbeats_pass(context, n):
    duration_ms = n * SMALL_LIMITS.heartbeat_interval_ms
    advance(context, context.peers, duration_ms)


@then("the connection is still open and heartbeats were counted")
def step_open_with_heartbeats(context):
    for peer in context.peers:
        assert peer.network.n_links == 1, peer.handler.events
        assert peer.handler.of_kind("lost") == []
        assert peer.network.counters.n_received["Heartbeat"] > 0


@when("the idle timeout passes on the clock")
def step_idle_passes(context):
    duration_ms = SMALL_LIMITS.idle_timeout_ms + 1_000
    advance(context, context.peers, duration_ms)


@then("both networks have no link and no peer was reported as lost")
def step_no_links(context):
    def none_left():
        return all(each.network.n_links == 0 for each in context.peers)

    context.runner.run(wait_until(none_left))
    for peer in context.peers:
        assert peer.handler.of_kind("lost") == []


@when("the first process is paused for longer than the silence timeout")
def step_first_paused(context):
    async def pause():
        context.first.clock.advance(SMALL_LIMITS.silence_timeout_ms + 1_000)
        context.first.network.check_links()
        await asyncio.sleep(0.05)

    context.runner.run(pause())


@then("the connection is still open")
def step_still_open(context):
    assert context.first.network.n_links == 1
    assert context.first.handler.of_kind("lost") == []


@when("the second sends a last payload and stops")
def step_last_payload(context):
    assert context.second.cancel(context.first.address, "last")
    context.runner.run(context.second.network.stop())


@then("the first receives that payload before the second is reported as lost")
def step_payload_then_lost(context):
    handler = context.first.handler
    context.runner.run(wait_until(lambda: handler.of_kind("lost")))
    kinds = [each[0] for each in handler.events]
    assert kinds == ["connected", "payload", "lost"], handler.events


@given("a peer network with a limit of {n_links:d} links and {n_others:d} others")
def step_bounded_links(context, n_links, n_others):
    start_runner(context)
    limits = PeerLimits(max_links=n_links)
    context.first = start_peer(context, 0, "k1", limits)
    context.others = [start_peer(context, n + 1, "k1") for n in range(n_others)]
    context.max_links_seen = 0


@when("each of the others sends it a payload, one after another")
def step_each_sends(context):
    handler = context.first.handler
    for n, other in enumerate(context.others):
        assert other.cancel(context.first.address, f"a{n}")
        context.runner.run(
            wait_until(lambda n=n: len(handler.of_kind("payload")) == n + 1)
        )
        n_links = context.first.network.n_links
        context.max_links_seen = max(context.max_links_seen, n_links)
        advance(context, [context.first], 2_500)


@then("it receives all payloads and never has more than {n:d} links")
def step_bounded(context, n):
    handler = context.first.handler
    assert len(handler.of_kind("payload")) == len(context.others)
    assert context.max_links_seen <= n
    assert handler.of_kind("lost") == []


@when(
    "the first sends {n:d} cancellations to the second, each after the previous one "
    "failed"
)
def step_repeated_attempts(context, n):
    handler = context.first.handler
    for i in range(n):
        assert context.first.cancel(context.second.address)
        context.runner.run(
            wait_until(lambda i=i: len(handler.of_kind("unreachable")) == i + 1)
        )


@then(
    "{n_unsent:d} payloads were reported as not sent and {n_lines:d} log line "
    '"{event}" was written'
)
def step_one_log_line(context, n_unsent, n_lines, event):
    assert len(context.first.handler.of_kind("unreachable")) == n_unsent
    events = [each["extra"].get("event") for each in context.log_records]
    assert events.count(event) == n_lines, events
