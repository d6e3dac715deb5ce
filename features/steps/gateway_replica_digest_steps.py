"""Steps for replicas that are compared with those of peers."""

import time
from random import Random

from behave import given, then, when

from damaskrill.catalog import ServerItem
from damaskrill.fakes.platform import build_configuration
from damaskrill.feed import FeedReplica, Position, ReplicaComparison
from features.support.store_histories import EmulatedStore, apply_page

OWN = (Position(1, 10), 7)
REPORTS = {
    "same": OWN,
    "other": (Position(1, 10), 8),
    "none": (Position(1, 10), 0),
    "elsewhere": (Position(1, 11), 8),
}


@when('a gateway that does not read the store loses the entry "{name}"')
def step_lose(context, name):
    testbed = context.testbed
    gateway = next(each for each in testbed.gateways if not each._members.is_reader())

    def lose():
        replica = gateway._replica
        del replica._items[f"servers/{name}"]
        replica._digest = None
        now_ms = round(time.monotonic() * 1_000)
        gateway._catalog.remove(ServerItem(server_id=name), now_ms)

    testbed.call(lose)
    assert not gateway._catalog.find_all_servers("app")
    context.losing = gateway


@then('within {limit_ms:d} ms it has the entry "{name}" again')
def step_again(context, limit_ms, name):
    catalog = context.losing._catalog
    assert context.testbed.wait_for(
        lambda: name in {each.server_id for each in catalog.find_servers("app")},
        limit_ms / 1_000,
    )


def differences(context):
    return [
        line
        for log in context.testbed.logs
        for line in log.lines
        if line["event"] == "replica_differs"
    ]


@then("a log names the difference")
def step_named(context):
    assert differences(context)


@then("no log names a difference")
def step_none_named(context):
    assert not differences(context)


@when("the operators write {n:d} versions within {limit_ms:d} ms")
def step_versions(context, n, limit_ms):
    testbed = context.testbed
    for version in range(2, 2 + n):
        content = build_configuration(version=version)
        testbed.call(testbed.store.put, "op/config", content)
        time.sleep(limit_ms / 1_000 / n)


@when("{pause_ms:d} ms pass")
def step_pass(context, pause_ms):
    time.sleep(pause_ms / 1_000)


@when("a peer tells its digest {reports}")
def step_reports(context, reports):
    comparison = ReplicaComparison()
    context.n_lists = 0
    for report in reports.split(", "):
        kind, _, at_ms = report.partition(" at ")
        context.n_lists += comparison.needs_list(
            "peer", own=OWN, other=REPORTS[kind], now_ms=float(at_ms)
        )


@then("the store is read {n:d} times")
def step_lists(context, n):
    assert context.n_lists == n, context.n_lists


@given(
    "two replicas that receive {n:d} drawn changes, lists and eras, the one all of them"
)
def step_drawn(context, n):
    context.compared = []
    for seed in range(20):
        random = Random(seed)
        store = EmulatedStore(random)
        one, other = FeedReplica(), FeedReplica()
        for _ in range(n):
            store.step()
            for replica in (one, other):
                if replica is one or random.random() < 0.6:
                    apply_page(replica, store.read(replica.position))
            keys = [
                {(each.key, each.revision) for each in replica.items}
                for replica in (one, other)
            ]
            context.compared.append((keys[0] == keys[1], one.digest == other.digest))


@then("their digests are the same exactly when their items are")
def step_exact(context):
    assert all(same == equal for same, equal in context.compared)
    assert {same for same, _ in context.compared} == {True, False}
