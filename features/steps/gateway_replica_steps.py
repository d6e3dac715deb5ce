"""Steps for replicas of the store and what they send to peers."""

from behave import given, then, when

from damaskrill.feed import Change, FeedReplica, Position


def change(key, value, revision):
    return Change(key=key, value=value, revision=revision)


def send_to_peer(replica, peer):
    """Deliver what a replica sends to a peer, as the links do."""
    changes = None
    if peer.position.era == replica.position.era:
        changes = replica.changes_after(peer.revision)
    if changes is None:
        peer.apply_list(replica.items, replica.position)
    else:
        peer.apply_changes(changes, replica.position)


@given('two replicas at revision 10 of a store with an item "{key}"')
def step_two(context, key):
    context.one, context.other = FeedReplica(), FeedReplica()
    for replica in (context.one, context.other):
        replica.apply_list([change(key, b"1", 9)], Position(1, 10))
    context.key = key


@when('the one reads {kind} as of revision 10 to which "{key}" has been written at 11')
def step_list(context, kind, key):
    era = 2 if kind == "a list of a later era" else 1
    context.at = Position(era, 10)
    context.one.apply_list([change(key, b"2", 11)], context.at)
    if era == 2:
        # The other one has read the list before the write.
        context.other.apply_list([change(key, b"1", 9)], context.at)


@when("the one reads the changes after it up to revision 12")
def step_watch(context):
    changes = [change(context.key, b"2", 11), change("t", b"1", 12)]
    context.one.apply_changes(changes, Position(context.at.era, 12))


@when("the other gets what the one sends to a peer at revision 10")
def step_send(context):
    assert context.other.revision == 10
    send_to_peer(context.one, context.other)


def content(replica):
    return {each.key: each.value for each in replica.items}


@then("both replicas have the same items")
def step_same(context):
    assert context.other.position == context.one.position
    assert content(context.one) == content(context.other)


@given("a replica whose list as of revision 10 has an item of revision 5000")
def step_late_item(context):
    context.one = FeedReplica()
    context.one.apply_list([change("late", b"1", 5_000)], Position(1, 10))
    context.history = [change("late", b"1", 5_000)]


@when("{n:d} more changes follow")
def step_more(context, n):
    for revision in range(11, 11 + n):
        each = change(f"k-{revision}", b"1", revision)
        context.one.apply_changes([each], Position(1, revision))
        context.history.append(each)


@then("a peer at each revision gets all later changes or all items")
def step_complete(context):
    for revision in range(10, context.one.revision):
        changes = context.one.changes_after(revision)
        wanted = {each.key for each in context.history if each.revision > revision}
        assert changes is None or {each.key for each in changes} == wanted, revision
