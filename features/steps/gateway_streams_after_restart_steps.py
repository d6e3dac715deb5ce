"""Steps for streams that are taken up after all routers were killed at once."""

import asyncio

import orjson
from behave import given, then, when

from damaskrill.fakes.platform import build_entry
from damaskrill.feed import (
    BaseStoreClient,
    Change,
    HistoryExpiredError,
    Position,
    read_history,
)
from damaskrill.gateway._server_history import build_server_history
from damaskrill.platform._items import ItemDecoder
from features.steps.gateway_stream_versions_steps import (
    resume_check,
    run_all,
    send_check,
    versions_of,
)

AWAY_MS = 500


@given('engines "{one}" and "{other}" have never been there')
def step_never(context, one, other):
    testbed = context.testbed
    for each in (one, other):
        testbed.call(testbed.store.delete, f"servers/{each}")
        testbed.entries.pop(each)
    testbed.call(testbed.store.forget_keys, {f"servers/{one}", f"servers/{other}"})
    restart(context, AWAY_MS)


@when("{n:d} callers break their checks off at all routers after 2 events")
def step_begin(context, n):
    gateways = context.testbed.gateways
    checks = [
        send_check(gateways[number % len(gateways)], number, n_events=2)
        for number in range(n)
    ]
    context.first = run_all(context, checks)
    assert all(each.body for each in context.first)


@when("all routers are killed at once and are back after {away_ms:d} ms")
def step_restart(context, away_ms):
    restart(context, away_ms)


@when(
    'all routers are killed at once, engines "{one}" and "{other}" leave, '
    "and they are back"
)
def step_leave_meanwhile(context, one, other):
    restart(context, AWAY_MS, leaving=(one, other))


@when("all routers are killed at once and the store discards its history")
def step_restart_discarded(context):
    testbed = context.testbed
    restart(context, AWAY_MS, meanwhile=testbed.store.discard_history)


@when('the store discards its history, and engines "{one}" and "{other}" leave')
def step_discard_before(context, one, other):
    testbed = context.testbed
    testbed.call(testbed.store.discard_history)
    context.execute_steps(f'When engines "{one}" and "{other}" leave')


@when("the store discards its history, and the operators write a configuration")
def step_discard_and_write(context):
    testbed = context.testbed
    testbed.call(testbed.store.discard_history)
    testbed.configure(version=2)


def restart(context, away_ms, *, leaving=(), meanwhile=None):
    testbed = context.testbed
    n_gateways = len(testbed.gateways)
    for gateway in testbed.gateways:
        testbed.call(gateway.close)
    testbed.gateways.clear()
    for each in leaving:
        testbed.call(testbed.store.delete, f"servers/{each}")
        testbed.entries.pop(each)
    if meanwhile is not None:
        testbed.call(meanwhile)
    testbed.call(asyncio.sleep, away_ms / 1_000)
    for _ in range(n_gateways):
        testbed.add_gateway()
    for gateway in testbed.gateways:
        testbed.wait_until_ready(gateway)
        assert testbed.wait_for(
            lambda each=gateway: each._mesh.n_links == n_gateways - 1
        )


@when("these callers resume their checks at all routers")
def step_resume(context):
    gateways = context.testbed.gateways
    resumed = [
        resume_check(gateways[(number + 1) % len(gateways)], number, first)
        for number, first in enumerate(context.first)
    ]
    context.replies = run_all(context, resumed)
    context.streams = list(zip(context.first, context.replies, strict=True))


@then("at most {n:d} streams have events of two versions")
def step_at_most(context, n):
    mixed = [each for each in context.streams if len(versions_of(context, each)) > 1]
    assert len(mixed) <= n, f"{len(mixed)} of {len(context.streams)} are mixed"


@then("each refusal says when to come back")
def step_retry_after(context):
    refused = [each for each in context.replies if each.status == 503]
    assert refused
    assert all(float(each.headers["retry-after"]) > 1 for each in refused), refused[0]


class ProbedStore(BaseStoreClient):
    """Store with the changes after some revision, whose probes are counted."""

    def __init__(self, start, *, n_discarded=0):
        self.start = start
        self.n_discarded = n_discarded
        self.n_probes = 0
        self.read_after = None

    async def has_history(self, *, after):
        self.n_probes += 1
        return after.revision >= self.start

    async def read_server_changes(self, *, after):
        self.start += self.n_discarded
        self.n_discarded = 0
        if after.revision < self.start:
            raise HistoryExpiredError(revision=after.revision)
        self.read_after = after.revision
        return ()

    async def list_items(self):
        raise NotImplementedError

    async def watch(self, *, after, wait_ms):
        raise NotImplementedError


@when("a store at revision {at:d} has the changes after revision {start:d}")
def step_probe(context, at, start):
    context.probed = ProbedStore(start)
    context.read = asyncio.run(read_history(context.probed, Position(1, at)))


@then("its history {state} whole")
def step_whole(context, state):
    assert context.read.is_whole == (state == "is")


@when(
    "a store at revision {at:d} that has the changes after {start:d} discards {n:d} "
    "meanwhile"
)
def step_probe_discarding(context, at, start, n):
    context.probed = ProbedStore(start, n_discarded=n)
    asyncio.run(read_history(context.probed, Position(1, at)))


@then("they are read from a revision between {first:d} and {last:d}")
def step_between(context, first, last):
    assert first <= context.probed.read_after <= last, context.probed.read_after


@when("a store at revision {at:d} has no changes any more")
def step_probe_none(context, at):
    context.probed = ProbedStore(at)
    try:
        asyncio.run(read_history(context.probed, Position(1, at)))
    except HistoryExpiredError:
        context.is_unknown = True


@then("its history is not known")
def step_not_known(context):
    assert context.is_unknown


@then("they are read from there with at most {n:d} probes")
def step_probes(context, n):
    assert context.probed.read_after == context.probed.start
    assert context.probed.n_probes <= n, context.probed.n_probes


NOW_MS = 1_000_000
HISTORY_MS = 20_000


def build_change(text):
    """Return the change that a word such as ``+a=v1`` stands for.

    An exclamation mark marks a server that has just started.
    """
    if text.startswith("-"):
        return Change(key=f"servers/{text[1:]}", value=None, revision=1)
    name, _, version = text.removeprefix("+").partition("=")
    entry = build_entry(service="pool", address=("127.0.0.1", 1))
    entry["version"] = version.removesuffix("!")
    entry["born"] = NOW_MS - 5_000 if version.endswith("!") else 1_000
    return Change(key=f"servers/{name}", value=orjson.dumps(entry), revision=1)


@given('a store that lists "{listed}" and whose history is "{history}"')
def step_listed(context, listed, history):
    words = [] if history == "nothing" else history.split()
    context.history = build_server_history(
        [build_change(each) for each in words],
        [build_change(each) for each in listed.split()],
        decode=ItemDecoder().decode,
        duration_ms=HISTORY_MS,
        now_ms=NOW_MS,
    )


@then('the versions that served are "{versions}"')
def step_versions(context, versions):
    if versions == "unknown":
        assert context.history.duration_ms == 0
        return
    served = {each.version for each in context.history.servers["pool"]}
    assert served == set(versions.split()), served
