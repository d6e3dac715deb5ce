"""Steps for the bounds on what callers make a router hold."""

import asyncio
import tempfile

from behave import given, then, when

from damaskrill.fakes.platform import build_settings
from damaskrill.gateway import UnreadableSettingsError
from damaskrill.http1._caller_memory import CallerMemory
from damaskrill.limits import (
    CallerGuard,
    CauseLines,
    ConnectionBound,
    Eviction,
    Hold,
    HostBounds,
    MemoryAccount,
    ParsingTurns,
    body_time_left_ms,
)
from damaskrill.platform._settings import read_platform_settings
from damaskrill.utils import monotonic_now_ms
from features.support.crowds import send_chunked
from features.support.gateways import Caller, GatewayTestbed, build_request

MB, KB = 1_000_000, 1_000
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MB,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 2_000,
}
CALM_LIMITS = {"maxBodyBytes": 4 * MB, "idleTimeoutMs": 15_000}


class Ledger:
    """Holds of one account, and what became of them."""

    def __init__(self, n_mb):
        self.account = MemoryAccount(capacity_bytes=n_mb * MB)
        self.now_ms = 0.0
        self.granted, self.evicted = [], {}
        self.holds = []

    def build(self, **fields):
        hold = Hold(evict=lambda reason: self.evicted.update({hold: reason}), **fields)
        hold.begin(self.now_ms)
        self.holds.append(hold)
        return hold

    def request(self, n_bytes):
        hold = self.build()
        if self.account.request(
            hold, n_bytes, self.now_ms, lambda: self.granted.append(hold)
        ):
            self.granted.append(hold)
        return hold

    def advance(self, duration_ms, step_ms=100):
        for _ in range(int(duration_ms // step_ms)):
            self.now_ms += step_ms
            self.account.review(self.now_ms)


@given("an account of {n_mb:d} MB")
def step_account(context, n_mb):
    context.ledger = Ledger(n_mb)


@when("{n:d} bodies of {n_mb:d} MB are asked for, and none of them ends")
def step_ask(context, n, n_mb):
    for _ in range(n):
        context.ledger.request(n_mb * MB)


@then("at most {n_mb:d} MB are held, and {n:d} bodies have memory")
def step_held(context, n_mb, n):
    ledger = context.ledger
    assert ledger.account.n_bytes <= n_mb * MB, ledger.account.n_bytes
    assert len(ledger.granted) == n, len(ledger.granted)
    context.first = list(ledger.granted)


@when("{duration_ms:d} ms have passed")
def step_pass(context, duration_ms):
    context.ledger.advance(duration_ms)


@then('the {n:d} bodies without progress were given up as "{reason}"')
def step_given_up(context, n, reason):
    assert len(context.first) == n
    for hold in context.first:
        assert context.ledger.evicted[hold] is Eviction(reason)


@then("{n:d} other bodies have memory")
def step_others(context, n):
    held = [each for each in context.ledger.holds if each.n_bytes]
    assert len(held) == n and not set(held) & set(context.first), len(held)


@when("{n:d} bodies of {n_mb:d} MB are asked for, and each ends after {ms:d} ms")
def step_ask_and_end(context, n, n_mb, ms):
    ledger = context.ledger
    for _ in range(n):
        ledger.request(n_mb * MB)
    for _ in range(n):
        ledger.now_ms += ms
        held = next(each for each in ledger.holds if each.n_bytes)
        ledger.account.release(held)
        ledger.account.review(ledger.now_ms)


@then("each of them had memory, and none was given up")
def step_all(context):
    ledger = context.ledger
    assert set(ledger.granted) == set(ledger.holds) and not ledger.evicted


@when("{n:d} bodies of {n_mb:d} MB are asked for, and all are served for long")
def step_served_long(context, n, n_mb):
    for _ in range(n):
        context.ledger.request(n_mb * MB)
    for hold in context.ledger.granted:
        hold.is_evictable = False


@then('{n:d} body was given up as "{reason}"')
def step_n_given_up(context, n, reason):
    evicted = list(context.ledger.evicted.values())
    assert evicted == [Eviction(reason)] * n, evicted


@then("{n:d} bodies of {n_kb:d} KB have memory at once")
def step_small(context, n, n_kb):
    ledger = context.ledger
    small = [ledger.build() for _ in range(n)]
    for hold in small:
        ledger.account.charge(hold, n_kb * KB, ledger.now_ms)
    assert all(each.n_bytes for each in small)
    assert not set(small) & set(ledger.evicted)


@when("1 body of {n_mb:d} MB is asked for")
def step_one(context, n_mb):
    context.ledger.request(n_mb * MB)


@then("it has memory at once")
def step_at_once(context):
    assert context.ledger.granted


@when(
    "{n:d} answers of {n_kb:d} KB are not read, and 1 of {n_large:d} KB is read slowly"
)
def step_unread(context, n, n_kb, n_large):
    ledger = context.ledger
    left = n_large * KB
    read = ledger.build()
    read.measure = lambda: left
    ledger.account.charge(read, left, 0)
    context.read = read
    for _ in range(n):
        ledger.now_ms += 10
        left -= 100
        hold = ledger.build()
        hold.measure = lambda: n_kb * KB
        ledger.account.charge(hold, n_kb * KB, ledger.now_ms)


@then("at most {n_mb:d} MB are held")
def step_at_most(context, n_mb):
    assert context.ledger.account.n_bytes <= n_mb * MB


@then("the answer that is read was not given up")
def step_not_given_up(context):
    assert context.ledger.evicted and context.read not in context.ledger.evicted


@given("a host with {n_mb:d} MB and {n:d} descriptors")
def step_host(context, n_mb, n):
    context.bounds = HostBounds(memory_mb=n_mb, max_descriptors=n)


@then("callers may hold {n_bytes:d} bytes on {n:d} connections")
def step_bounds(context, n_bytes, n):
    bounds = context.bounds
    assert (bounds.capacity_bytes, bounds.max_connections) == (n_bytes, n), (
        bounds.capacity_bytes,
        bounds.max_connections,
    )


@then('settings with a memory of "{first}", "{second}" or "{third}" are refused')
def step_no_number(context, *values, **named):
    ports = (1, 2, 3)
    text = build_settings(
        name="r",
        data_centre="bole",
        host="127.0.0.1",
        ports=ports,
        seeds="",
        store=("127.0.0.1", 4),
        grace_s=4,
    )
    for value in named.values():
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(f"{text}limits.memoryMb={value}\n")
            file.flush()
            try:
                read_platform_settings(file.name)
            except UnreadableSettingsError:
                continue
        raise AssertionError(value)


class FakeLoop:
    def __init__(self):
        self.timers = []

    def call_soon(self, action):
        action()

    def call_later(self, _delay_s, action):
        self.timers.append(action)


@given("a guard whose account has a body that waits")
def step_guard(context):
    context.loop = FakeLoop()
    bounds = HostBounds(memory_mb=0, max_descriptors=0)
    guard = CallerGuard(loop=context.loop, report=lambda *_, **__: None, bounds=bounds)
    served = Hold(evict=lambda _: None, is_evictable=False)
    guard.account.charge(served, 5 * MB, 0.0)
    guard.account.request(Hold(evict=lambda _: None), 4 * MB, 0.0, lambda: None)
    context.guard = guard


@when("a review fails")
def step_fail(context):
    def fail(_now_ms):
        raise ZeroDivisionError

    context.guard.watch()
    context.guard.account.review = fail
    try:
        context.loop.timers.pop()()
    except ZeroDivisionError:
        return
    raise AssertionError("the review did not fail")


@then("another review is due")
def step_due(context):
    assert len(context.loop.timers) == 1


class FakeConnection:
    def __init__(self, since_ms):
        self.waits_since_ms = self.idle_since_ms = since_ms
        self.is_lingering = self.is_dropped = False

    def close_if_idle(self):
        self.is_lingering = True
        self.waits_since_ms = self.idle_since_ms = None

    def drop(self):
        self.is_lingering = self.is_dropped = True
        self.waits_since_ms = self.idle_since_ms = None


@given("a bound of {n:d} connections")
def step_bound(context, n):
    context.bound = ConnectionBound(max_connections=n)


@when("{n:d} connections are open that have been idle for 1 to {last:d} s")
def step_idle(context, n, last):
    context.now_ms = last * 1_000.0
    context.old = [FakeConnection(number * 1_000.0) for number in range(n)]


@when("{n:d} more are opened")
def step_more(context, n):
    context.new = []
    for _ in range(n):
        connections = [
            each for each in context.old + context.new if not each.is_dropped
        ]
        if context.bound.make_room(connections, context.now_ms):
            context.new.append(FakeConnection(context.now_ms))
        context.now_ms += 100


@then("the {n:d} that were idle longest are closed, and no new one is")
def step_longest(context, n):
    closed = [each for each in context.old if each.is_lingering]
    assert closed[:n] == context.old[:n]
    assert all(each.is_lingering for each in context.old[:n])
    assert sum(each.is_dropped for each in context.old) <= n
    assert len(context.new) == n
    assert not any(each.is_lingering for each in context.new)


@when("an idle connection becomes busy between two looks")
def step_becomes_busy(context):
    bound, first = context.bound, FakeConnection(0.0)
    others = [FakeConnection(None) for _ in range(9)]
    bound.n_busy = 8
    bound._scan([first, *others], 5_000.0)
    # The first part of its request has come.
    first.idle_since_ms = None
    first.close_if_idle = lambda: None
    bound.make_room([first, *others], 5_010.0)
    first.waits_since_ms = None
    bound.n_busy = 9
    bound.make_room([first, *others, FakeConnection(None)], 5_020.0)
    context.first = first


@then("it is not dropped")
def step_not_dropped(context):
    assert not context.first.is_dropped


@then("60 KB at 2 KB/s with an idle timeout of 5 s are read to the end")
def step_steady(context):
    for second in range(1, 31):
        left_ms = body_time_left_ms(
            elapsed_ms=second * 1_000.0,
            n_received=second * 2_000,
            idle_timeout_ms=5_000,
        )
        assert left_ms >= 1_000, (second, left_ms)


@when("a caller sends a byte of its body each 1.9 s with an idle timeout of 2 s")
def step_drip(context):
    now_ms, n_received = 0.0, 0
    while True:
        left_ms = body_time_left_ms(
            elapsed_ms=now_ms, n_received=n_received, idle_timeout_ms=2_000
        )
        if left_ms < 1_900:
            break
        now_ms, n_received = now_ms + 1_900, n_received + 1
    context.read_ms = now_ms + left_ms


@then("it is read for no more than {n:d} s")
def step_read_for(context, n):
    assert 1_900 <= context.read_ms <= n * 1_000, context.read_ms


@given("two connections with {n:d} turns each")
def step_turns(context, n):
    context.calls, context.ran, context.n_turns = [], [], n
    context.turns = ParsingTurns(context.calls.append)

    def build(name, left):
        def turn():
            context.ran.append(name)
            if left > 1:
                context.turns.add(build(name, left - 1))

        return turn

    context.turns.add(build("a", n))
    context.turns.add(build("b", n))


@when("their turns run")
def step_run_turns(context):
    context.per_iteration = []
    while context.calls:
        calls, context.calls[:] = list(context.calls), []
        before = len(context.ran)
        for call in calls:
            call()
        context.per_iteration.append(len(context.ran) - before)


@then("each iteration of the event loop ran one of them, in alternation")
def step_alternate(context):
    assert context.ran == ["a", "b"] * context.n_turns, context.ran
    assert set(context.per_iteration) == {1}


@then("a body that has waited for memory goes before them")
def step_first(context):
    order = []
    for name in ("c", "d"):
        context.turns.add(lambda name=name: order.append(name))
    context.turns.add(lambda: order.append("waited"), is_first=True)
    while context.calls:
        context.calls.pop(0)()
    assert order == ["waited", "c", "d"], order


@when("a caller is rejected each {ms:d} ms for {duration:d} s")
def step_rejected(context, ms, duration):
    lines, context.counts = CauseLines(), []
    for now_ms in range(0, duration * 1_000, ms):
        n_events = lines.record("rejected", now_ms)
        if n_events is not None:
            context.counts.append(n_events)
    context.counts += [n for _, n in lines.flush(duration * 1_000 + 1_000)]


@then("there are 3 or 4 lines, which count {n:d} events")
def step_lines(context, n):
    assert len(context.counts) in (3, 4) and sum(context.counts) == n, context.counts


@given("a platform with {n:d} app servers that answer with {n_kb:d} KB")
def step_platform(context, n, n_kb):
    context.testbed = GatewayTestbed()
    context.add_cleanup(context.testbed.close)
    context.testbed.configure(limits=LIMITS)
    for number in range(n):
        context.testbed.add_server(f"a-{number}", "app")
        context.testbed.servers[f"a-{number}"].n_body_bytes = n_kb * KB


@given("a platform with {n:d} app servers and bodies of up to 4 MB")
def step_calm_platform(context, n):
    step_platform(context, n, 10)
    context.testbed.configure(limits={**LIMITS, **CALM_LIMITS})


@given("a router with {n_mb:d} MB of memory")
def step_router(context, n_mb):
    context.gateway = context.testbed.add_gateway(memory_mb=n_mb)
    context.testbed.wait_until_ready()
    context.account = context.gateway._guard.account


@when("{n:d} callers send bodies of 1 MB at the same time")
def step_uploads(context, n):
    address = context.gateway._settings.caller_address

    async def send():
        caller = await Caller.open(address)
        caller.send(build_request("/read/1", body=b"x" * MB)[0])
        reply = await caller.read_reply()
        caller.close()
        return reply.status

    async def run():
        return await asyncio.gather(*(send() for _ in range(n)))

    context.statuses = context.testbed.call(run)


@then("each of them gets {status:d}")
def step_each(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("no more than {n_mb:d} MB were held")
def step_held_at_most(context, n_mb):
    assert context.account.max_bytes <= n_mb * MB, context.account.max_bytes


@when("its memory is held by others, and a caller sends a body of 1 MB")
def step_full(context):
    def fill():
        others = Hold(evict=lambda reason: None, is_evictable=False)
        context.account.charge(others, 5 * MB, 0.0)

    context.testbed.call(fill)
    context.reply = context.testbed.send("/read/1", body=b"x" * MB)


@then("the caller gets {status:d} with a Retry-After, and no server ran it")
def step_refused(context, status):
    reply = context.reply
    assert reply.status == status, reply.status
    assert float(reply.headers["retry-after"]) > 0
    assert context.testbed.runs_of(reply.request_id) == 0
    assert any(
        each["event"] == "caller_rejected" for each in context.testbed.logs[0].lines
    )


@when("a caller sends {n:d} requests ahead, and reads after {ms:d} ms")
def step_ahead(context, n, ms):
    requests = [build_request("/read/1", body=b"") for _ in range(n)]

    async def run():
        caller = await Caller.open(context.gateway._settings.caller_address)
        caller.writer.transport.pause_reading()
        caller.send(b"".join(data for data, _ in requests))
        await asyncio.sleep(ms / 1_000)
        caller.writer.transport.resume_reading()
        replies = [await caller.read_reply() for _ in range(n)]
        caller.close()
        return replies

    context.ids = [request_id for _, request_id in requests]
    context.replies = context.testbed.call(run)


@then("it gets {n:d} complete answers in their order")
def step_order(context, n):
    replies = context.replies
    assert len(replies) == n and all(each.is_complete for each in replies)
    for reply, request_id in zip(replies, context.ids, strict=True):
        assert f'"{request_id}"'.encode() in reply.body


@when("a caller sends 1 request and reads nothing for {n:d} s")
def step_reads_nothing(context, n):
    async def run():
        caller = await Caller.open(context.gateway._settings.caller_address)
        caller.writer.transport.pause_reading()
        caller.send(build_request("/read/1", body=b"")[0])
        await asyncio.sleep(n)
        context.n_left = len(context.gateway._callers.connections)
        caller.close()

    context.testbed.call(run)


@then("the router has no connection and holds nothing")
def step_no_connection(context):
    assert context.n_left == 0
    assert context.account.max_bytes >= MB and context.account.n_bytes == 0


@when("a caller sends chunks of a byte without end, each {ms:d} ms")
def step_tiny(context, ms):
    data, request_id = build_request("/read/1")
    head = data.partition(b"Content-Length")[0]

    async def run():
        caller = await Caller.open(context.gateway._settings.caller_address)
        loop = asyncio.get_running_loop()
        started = loop.time()
        caller.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        reply = asyncio.ensure_future(caller.read_reply())
        while not reply.done():
            caller.send(b"1\r\nx\r\n")
            await asyncio.sleep(ms / 1_000)
        context.reply = await reply
        context.reply.request_id = request_id
        context.elapsed_s = loop.time() - started
        caller.close()

    context.testbed.call(run)


@then("it gets {status:d} after {low:d} to {high:d} s, and no server ran it")
def step_refused_late(context, status, low, high):
    assert context.reply.status == status, context.reply.status
    assert low <= context.elapsed_s <= high, context.elapsed_s
    assert context.testbed.runs_of(context.reply.request_id) == 0


@when("its handler fails, and a caller sends a body of {n:d} chunks")
def step_handler_fails(context, n):
    def fail(_connection, _request):
        raise ZeroDivisionError

    async def run():
        context.gateway._callers.handle = fail
        caller = await Caller.open(context.gateway._settings.caller_address)
        head = build_request("/read/1")[0].partition(b"Content-Length")[0]
        body = b"1\r\nx\r\n" * n + b"0\r\n\r\n"
        caller.send(head + b"Transfer-Encoding: chunked\r\n\r\n" + body)
        try:
            context.end = await asyncio.wait_for(caller.reader.read(), 1)
        except (ConnectionError, TimeoutError) as error:
            context.end = error
        context.n_busy = context.gateway._guard.bound.n_busy
        caller.close()

    context.testbed.call(run)


@then("the caller is disconnected, and no connection counts as busy")
def step_disconnected(context):
    assert not isinstance(context.end, TimeoutError)
    assert context.n_busy == 0, context.n_busy


@when("{n:d} callers send heads of {n_headers:d} headers and no body")
def step_heads(context, n, n_headers):
    async def run():
        address = context.gateway._settings.caller_address
        callers = [await Caller.open(address) for _ in range(n)]
        lines = b"".join(b"%x:\r\n" % number for number in range(n_headers))
        for caller in callers:
            caller.send(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n" + lines)
            caller.send(b"\r\n")
        await asyncio.sleep(0.5)
        context.n_held = context.account.n_bytes
        for caller in callers:
            caller.close()

    context.testbed.call(run)


@then("at least {n_mb:d} MB were held, and nothing is held when they have gone")
def step_heads_held(context, n_mb):
    assert context.n_held >= n_mb * MB, context.n_held
    assert context.testbed.wait_for(lambda: not context.account.n_bytes, timeout_s=2)


@when("a caller sends a request and {n_kb:d} KB ahead, and disconnects")
def step_ahead_and_leave(context, n_kb):
    data = build_request("/read/1", body=b"")[0]
    context.ended = []

    def handle(connection, _request):
        connection.on_disconnect = lambda: context.ended.append(connection)

    async def run():
        context.gateway._callers.handle = handle
        caller = await Caller.open(context.gateway._settings.caller_address)
        caller.send(data * (1 + n_kb * KB // len(data)))
        await asyncio.sleep(0.1)
        caller.close()

    context.testbed.call(run)


@then("its request's handler learns of it within {n:d} s")
def step_learns(context, n):
    assert context.testbed.wait_for(lambda: context.ended, timeout_s=n)


@when("a request runs with {n_kb:d} KB sent ahead, and others need the memory")
def step_runs(context, n_kb):
    ledger = context.ledger
    context.dropped = []
    memory = CallerMemory(
        account=ledger.account,
        transport=None,
        evict=context.dropped.append,
        go_on=lambda: None,
        review=lambda: None,
    )
    memory.take()
    memory.note_ahead(n_kb * KB, is_paused=True)
    for _ in range(20):
        ledger.request(2 * MB)
    ledger.now_ms = monotonic_now_ms() + 1_000
    ledger.account.review(ledger.now_ms)
    for _ in range(400):
        ledger.account.charge(ledger.build(), 120 * KB, ledger.now_ms)


@then("the others were given up, and not the running one")
def step_others_given_up(context):
    assert context.ledger.evicted and not context.dropped


@when(
    "{n:d} callers send bodies of {n_kb:d} KB in {framing}, with {pause:d} ms of pauses"
)
def step_framed(context, n, n_kb, framing, pause):
    address = context.gateway._settings.caller_address
    head = build_request("/read/1")[0].partition(b"Content-Length")[0]
    n_bytes = n_kb * KB
    length = head + b"Content-Length: %d\r\n\r\n" % n_bytes
    parts, between_s = [], 0.0
    if framing == "chunks of 500 bytes":
        chunk = b"1f4\r\n" + b"x" * 500 + b"\r\n"
        parts = [
            head + b"Transfer-Encoding: chunked\r\n\r\n",
            chunk * (n_bytes // 500) + b"0\r\n\r\n",
        ]
    elif framing == "parts of 64 KB":
        part = b"x" * 64_000
        parts = [length, *[part] * (n_bytes // 64_000), b"x" * (n_bytes % 64_000)]
        between_s = pause / 1_000 / len(parts)
    else:
        parts = [length + b"x" * (n_bytes // 2), b"x" * (n_bytes // 2)]
        between_s = pause / 1_000

    async def send():
        caller = await Caller.open(address)
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(between_s)
            caller.send(part)
            await caller.writer.drain()
        reply = await caller.read_reply()
        caller.close()
        return reply.status

    async def run():
        return await asyncio.gather(*(send() for _ in range(n)))

    context.statuses = context.testbed.call(run)


@when("{n:d} connections to its readiness address are opened and send nothing")
def step_readiness(context, n):
    address = context.gateway._settings.readiness_address

    async def run():
        opened = [await Caller.open(address) for _ in range(n)]
        await asyncio.sleep(0.1)
        context.n_open = len(context.gateway._readiness.connections)
        await asyncio.sleep(1.1)
        caller = await Caller.open(address)
        path = context.gateway._binding.readiness_path
        caller.send(b"GET %b HTTP/1.1\r\nHost: r\r\n\r\n" % path)
        context.reply = await caller.read_reply()
        for each in (caller, *opened):
            each.close()

    context.testbed.call(run)


@then("at most {n:d} of them are open, and a readiness check is answered after 1.1 s")
def step_ready(context, n):
    assert context.n_open <= n, context.n_open
    assert context.reply.status == 200, context.reply.status


@when("{n:d} callers send bodies of {n_kb:d} KB to the first gateway")
def step_through_peer(context, n, n_kb):
    address = context.testbed.gateways[0]._settings.caller_address

    async def send():
        caller = await Caller.open(address)
        caller.send(build_request("/read/1", body=b"x" * n_kb * KB)[0])
        reply = await caller.read_reply()
        caller.close()
        return reply.status

    async def run():
        return await asyncio.gather(*(send() for _ in range(n)))

    context.statuses = context.testbed.call(run)


@then("each of the 2 routers has held at least {n_kb:d} KB, and holds nothing now")
def step_both(context, n_kb):
    accounts = [each._guard.account for each in context.testbed.gateways]
    assert all(each.max_bytes >= n_kb * KB for each in accounts)
    assert context.testbed.wait_for(
        lambda: not any(each.n_bytes for each in accounts), timeout_s=3
    )


@when("{n:d} callers send bodies of {n_kb:d} KB in chunks of a byte, and no turn comes")
def step_no_turn(context, n, n_kb):
    gateway = context.gateway
    context.turns = gateway._guard.turns

    async def run():
        # As if one were due that does not come.
        context.turns._is_scheduled = True
        data = send_chunked(n_kb * KB, chunk_bytes=1)
        for _ in range(n):
            caller = await Caller.open(gateway._settings.caller_address)
            caller.send(data)

    context.testbed.call(run)
    assert context.testbed.wait_for(lambda: context.turns.n_queued >= n)
    context.crowd = context.testbed.call(lambda: list(gateway._callers.connections))


@then("{n:d} turns are queued")
def step_n_queued(context, n):
    assert context.turns.n_queued == n, context.turns.n_queued
    assert all(each._reader.n_unparsed for each in context.crowd)


@when("the router refuses half of these callers and drops the others")
def step_refuse_half(context):
    def run():
        for number, connection in enumerate(context.crowd):
            if number % 2:
                connection._evict(Eviction.MEMORY_FULL)
            else:
                connection.drop()

    context.testbed.call(run)


@then("no turn is queued, and the connections keep no bytes")
def step_nothing_kept(context):
    def is_empty():
        n_kept = sum(each._reader.n_unparsed for each in context.crowd)
        return not context.turns.n_queued and not n_kept

    assert context.testbed.wait_for(is_empty, timeout_s=0.5), context.turns.n_queued
