"""Steps for fleets on a virtual clock whose readers lose the store."""

import asyncio
from random import Random

from behave import given, then, when

from damaskrill.feed import Change, FeedReader, FeedReplica
from features.support.store_readers import Fleet, LargeStore
from features.support.virtual_loop import VirtualLoop

SETTLING_S = 6.0
LEAD_S = 1.5


def play(context, duration_s):
    context.loop.run_until_complete(asyncio.sleep(duration_s))


def close(loop):
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@given("{n:d} routers, two of which read the store")
def step_fleet(context, n):
    context.loop = VirtualLoop()
    context.add_cleanup(close, context.loop)

    async def build():
        context.fleet = Fleet(context.loop, n)
        context.fleet.start()

    context.loop.run_until_complete(build())
    play(context, SETTLING_S)


@when(
    "the first {n_first:d} readers and every third router lose the store for "
    "{duration_ms:d} ms"
)
def step_lose(context, n_first, duration_ms):
    fleet = context.fleet
    fleet.store.refused = fleet.by_rank(n_first) | set(
        range(0, len(fleet.routers), 3)
    ) - fleet.by_rank(6)
    context.n_calls_before = fleet.store.n_calls
    context.cut_s = duration_ms / 1_000
    context.loop.call_later(context.cut_s, fleet.store.refused.clear)


@when("the operators write a version each {gap_ms:d} ms meanwhile")
def step_write(context, gap_ms):
    for number in range(int(context.cut_s * 1_000 / gap_ms)):
        context.loop.call_later(number * gap_ms / 1_000, context.fleet.store.write)


@when("the operators write a version after {delay_ms:d} ms")
def step_write_one(context, delay_ms):
    context.loop.call_later(delay_ms / 1_000, context.fleet.store.write)


@then("each version is known to all routers within {limit_ms:d} ms")
def step_known(context, limit_ms):
    play(context, context.cut_s + 5.0)
    late = {
        revision: ms
        for revision, ms in context.fleet.spread_ms().items()
        if ms > limit_ms
    }
    assert context.fleet.spread_ms()
    assert not late, late


@when("the store is back for {duration_ms:d} ms")
def step_back(context, duration_ms):
    play(context, context.cut_s + duration_ms / 1_000)


@then("at most {n:d} routers read it")
def step_readers(context, n):
    now_ms = context.loop.now_ms
    reading = [each for each in context.fleet.routers if each.role.should_read(now_ms)]
    assert len(reading) <= n, len(reading)


@then("at most {n:d} calls reach the store in this time")
def step_calls(context, n):
    play(context, context.cut_s)
    n_calls = context.fleet.store.n_calls - context.n_calls_before
    assert n_calls <= n, n_calls


@given("a reader whose link takes {mbps:d} Mbit/s and a version of {kb:d} kB")
def step_large(context, mbps, kb):
    context.loop = VirtualLoop()
    context.add_cleanup(close, context.loop)
    store = LargeStore(context.loop, mbps=mbps, n_bytes=kb * 1_000)
    replica = FeedReplica()
    context.store, context.known_at_ms = store, {}

    def record(listed):
        context.known_at_ms.setdefault(replica.revision, context.loop.now_ms)

    context.large_reader = FeedReader(
        client=store,
        replica=replica,
        should_read=lambda: True,
        on_changes=record,
        report=lambda *args, **fields: None,
        random_state=Random(1),
        leaving_limit_ms=3_000,
    )


@given("the store lists {n:d} servers")
def step_servers(context, n):
    context.store.servers = tuple(
        Change(key=f"servers/{number}", value=bytes(300), revision=1)
        for number in range(n)
    )


@when("the operators write {n:d} versions of that size, one each {gap_ms:d} ms")
def step_write_large(context, n, gap_ms):
    async def run():
        reading = asyncio.ensure_future(context.large_reader.run())
        await asyncio.sleep(5)
        for _ in range(n):
            context.store.write()
            await asyncio.sleep(gap_ms / 1_000)
        await asyncio.sleep(30)
        reading.cancel()

    context.loop.run_until_complete(run())


@then("the reader knows each version, or a newer one, within {limit_ms:d} ms")
def step_known_large(context, limit_ms):
    late = {}
    for revision, written_at_ms in context.store.written_at_ms.items():
        known = [at for each, at in context.known_at_ms.items() if each >= revision]
        if min(known) - written_at_ms > limit_ms and revision > 1:
            late[revision] = min(known) - written_at_ms
    assert not late, late


@then("the reader has listed the items once")
def step_listed_once(context):
    assert context.store.n_lists == 1, context.store.n_lists
