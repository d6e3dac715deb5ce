"""Steps for gateways whose store is restored from a copy some seconds old."""

import time
from random import Random

from behave import given, then, when

from damaskrill.catalog import Catalog, DataCentreOutItem
from damaskrill.fakes.platform import build_configuration
from damaskrill.feed import FeedReplica
from features.support.store_histories import EmulatedStore, apply_page, apply_peer

N_OPERATIONS = 120


def used_servers(gateway):
    return [each.server_id for each in gateway._catalog.find_servers("app")]


@given("a copy of the store is taken")
def step_copy(context):
    context.copy = context.testbed.call(context.testbed.store.take_copy)
    context.n_written = 0


@when("{n:d} more items are written and the store is restored")
def step_write_and_restore(context, n):
    testbed = context.testbed
    for _ in range(n):
        context.n_written += 1
        testbed.call(testbed.store.put, f"other/{context.n_written}", {"x": 1})
    newest = testbed.store._revision
    assert testbed.wait_for(lambda: testbed.gateways[-1]._replica.revision >= newest)
    step_restore(context)


@when("the store is restored")
def step_restore(context):
    context.announced_at = time.monotonic()
    context.testbed.call(context.testbed.store.restore, context.copy)
    era = context.testbed.store._era
    gateway = context.testbed.gateways[0]
    if gateway._stop_requested.is_set():
        return
    assert context.testbed.wait_for(lambda: gateway._replica.position.era == era)


@then("within {limit_ms:d} ms both gateways are in the new era")
def step_both_eras(context, limit_ms):
    testbed = context.testbed
    assert testbed.wait_for(
        lambda: (
            {each._replica.position.era for each in testbed.gateways}
            == {testbed.store._era}
        ),
        limit_ms / 1_000,
    )


@then("within {duration_ms:d} ms the gateway calls the store at most {n:d} times")
def step_few_calls(context, duration_ms, n):
    reader = context.testbed.gateways[0]._reader
    before = reader.n_calls
    time.sleep(duration_ms / 1_000)
    assert reader.n_calls - before <= n, reader.n_calls - before


@then('the log of the first gateway has {n:d} line "{event}"')
def step_n_lines(context, n, event):
    lines = [each for each in context.testbed.logs[0].lines if each["event"] == event]
    assert len(lines) == n, lines


@when("a second gateway starts")
def step_second(context):
    gateway = context.testbed.add_gateway()
    context.testbed.wait_until_ready(gateway)


@when("the first gateway ends")
def step_first_ends(context):
    gateway = context.testbed.gateways[0]
    gateway._stop_requested.set()
    context.testbed.call(gateway.close)


@when('the operators withdraw "{key}"')
def step_withdraw(context, key):
    tenants = [{"name": "desk", "apiKeys": ["key-2"], "priority": 1}]
    content = build_configuration(version=7, tenants=tenants)
    context.testbed.call(context.testbed.store.put, "op/config", content)
    gateway = context.testbed.gateways[0]
    assert context.testbed.wait_for(
        lambda: key not in gateway._catalog.configuration.team_by_key
    )


@then('the second gateway refuses "{key}" within {limit_ms:d} ms')
def step_second_refuses(context, key, limit_ms):
    gateway = context.testbed.gateways[1]
    assert context.testbed.wait_for(
        lambda: key not in gateway._catalog.configuration.team_by_key, limit_ms / 1_000
    )
    reply = context.testbed.send("/read/1", method="GET", body=b"", gateway=gateway)
    assert reply.status == 401, reply


@then('the second gateway knows within {limit_ms:d} ms that "{name}" leaves')
def step_second_knows(context, limit_ms, name):
    gateway = context.testbed.gateways[1]
    assert context.testbed.wait_for(
        lambda: name not in used_servers(gateway), limit_ms / 1_000
    )


@when('the entry of "{name}" is removed')
def step_removed(context, name):
    testbed = context.testbed
    testbed.call(testbed.store.remove_server, name)
    gateway = testbed.gateways[0]
    assert testbed.wait_for(lambda: name not in used_servers(gateway))


@when('app server "{name}" writes its entry again')
def step_writes_again(context, name):
    context.testbed.change_entry(name, sequence=99)


@when('app server "{name}" starts and the gateway uses it')
def step_starts(context, name):
    context.testbed.add_server(name, "app")
    step_uses(context, name, 3_000)


@then('the gateway uses "{name}" within {limit_ms:d} ms')
def step_uses(context, name, limit_ms):
    gateway = context.testbed.gateways[0]
    assert context.testbed.wait_for(
        lambda: name in used_servers(gateway), limit_ms / 1_000
    ), used_servers(gateway)


@then('the gateway does not use "{name}"')
def step_does_not_use(context, name):
    assert name not in used_servers(context.testbed.gateways[0])


@when("{duration_ms:d} ms pass")
def step_pass(context, duration_ms):
    time.sleep(duration_ms / 1_000)


@when('the data centre "{name}" is taken out again and put back')
def step_out_and_back(context, name):
    store = context.testbed.store
    context.testbed.call(store.evacuate, name)
    context.testbed.call(store.cancel_evacuation, name)


@then("a read succeeds within {limit_ms:d} ms")
def step_read_succeeds(context, limit_ms):
    testbed = context.testbed
    assert testbed.wait_for(
        lambda: testbed.send("/read/1", method="GET", body=b"").status == 200,
        limit_ms / 1_000,
    )


@given("{n:d} seeded histories of a store with up to 4 eras")
def step_histories(context, n):
    context.seeds = range(n)


@when("lists, watches and frames of peers reach 4 replicas in random order")
def step_play(context):
    context.failures = []
    for seed in context.seeds:
        random = Random(seed)
        store = EmulatedStore(random)
        replicas = [FeedReplica() for _ in range(4)]
        pages = []
        for _ in range(N_OPERATIONS):
            store.step()
            pages.append(store.read(random.choice(replicas).position))
            replica = random.choice(replicas)
            before = replica.position
            if random.random() < 0.5:
                # A page may arrive late, and to another replica than the one that
                # asked for it.
                apply_page(replica, random.choice(pages[-6:]))
            else:
                apply_peer(replica, random.choice(replicas))
            if replica.position < before:
                context.failures.append((seed, "went back"))
        apply_page(replicas[0], store.read_list())
        for replica in replicas[1:]:
            apply_peer(replica, replicas[0])
        states = [{each.key: each.value for each in r.items} for r in replicas]
        if any(state != store.state for state in states):
            context.failures.append((seed, "differs from the store"))


@then("no replica goes back, and all end in the store's newest state")
def step_converged(context):
    assert not context.failures, context.failures[:5]


@given('a catalog in which a restored store lacks an order to take out "{name}"')
def step_unconfirmed(context, name):
    context.catalog = Catalog(report=lambda event, **fields: None)
    item = DataCentreOutItem(data_centre=name)
    context.catalog.put(item, 0)
    context.catalog.remove(item, 1_000, is_restored=True)


@then('"{name}" is out for {out_ms:d} ms and back after {back_ms:d} ms')
def step_out_for(context, name, out_ms, back_ms):
    context.catalog.purge(1_000 + out_ms)
    assert name in context.catalog.data_centres_out
    context.catalog.purge(1_000 + back_ms)
    assert name not in context.catalog.data_centres_out
