"""Steps for servers whose refusals carry no request ID."""

from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from damaskrill.utils import monotonic_now_ms
from features.support.gateways import Caller, build_request


@given('server "{name}" refuses without request IDs, and repeats that late')
def step_unnamed(context, name):
    context.server = context.testbed.servers[name]
    context.server.names_refusals = False
    context.server.copies_refusals = True


@given('server "{name}" repeats nothing')
def step_no_copies(context, name):
    context.testbed.servers[name].copies_refusals = False


def set_full(context, is_full):
    context.server.misbehaviour = Misbehaviour.FULL if is_full else Misbehaviour.NONE


def send_action(context):
    return context.testbed.send("/issue/1")


def send_read(context):
    return context.testbed.send("/read/1", method="GET", body=b"")


def send_read_without_id(context):
    testbed = context.testbed
    data, request_id = build_request("/read/1", method="GET", body=b"")
    data = data.replace(f"Damaskrill-Request-Id: {request_id}\r\n".encode(), b"")

    async def run():
        caller = await Caller.open(testbed.gateways[0]._settings.caller_address)
        caller.send(data)
        reply = await caller.read_reply()
        caller.close()
        return reply

    return testbed.thread.run(run())


@when("a caller sends {n:d} {kind}, and a read without an ID before each")
def step_after_unnamed(context, n, kind):
    send = {"actions": send_action, "reads": send_read}[kind]
    context.replies = []
    for _ in range(n):
        send_read_without_id(context)
        context.replies.append(send(context))


@when('"{name}" is full for each second of {n:d} actions')
def step_sheds_actions(context, name, n):
    context.replies = []
    for number in range(n):
        set_full(context, number % 2 == 0)
        context.replies.append(send_action(context))


@when('"{name}" is full for {n:d} reads, each of which an action follows')
def step_sheds_reads(context, name, n):
    context.replies = []
    for _ in range(n):
        set_full(context, True)
        send_read(context)
        set_full(context, False)
        context.replies.append(send_action(context))


@when(
    '"{name}" is full for {n:d} reads, at first with request IDs and then without them'
)
def step_only_shed(context, name, n):
    pool = context.testbed.gateways[0]._dispatcher.pool
    set_full(context, True)
    context.n_opened = []
    for names_refusals in (True, False):
        context.server.names_refusals = names_refusals
        n_before = pool.n_opened
        for _ in range(n):
            send_read(context)
        context.n_opened.append(pool.n_opened - n_before)


@when('the gateway asks "{name}" {question}, and the connection is idle again')
def step_question(context, name, question):
    testbed = context.testbed
    (gateway,) = testbed.gateways
    (server,) = gateway._catalog.find_servers("app")
    context.key = server.key
    match question:
        case "for its start":
            checks = gateway._incarnations
            testbed.call(checks._ask, server, monotonic_now_ms())
        case "for its cached parts":
            testbed.call(gateway._streams._cached._reader._ask, server)
        case "whether it is reached":
            gateway._relay._catalog.find_servers = lambda service: (
                (server,) if service == "app" else ()
            )
            testbed.call(gateway._relay._run_probe)


@then("an action does not get that connection, and a read gets it")
def step_not_got(context):
    pool = context.testbed.gateways[0]._dispatcher.pool
    (idle,) = pool._idle[context.key]
    assert context.testbed.call(pool.acquire_idle, context.key) is idle
    pool._idle[context.key].append(idle)
    assert (
        context.testbed.call(pool.acquire_idle, context.key, may_repeat=False) is None
    )


def check_not_twice(context):
    runs = context.server.runs
    assert max(runs[each.request_id] for each in context.replies) == 1, runs


@then("no action has run twice, and all are served")
def step_all_served(context):
    check_not_twice(context)
    assert {each.status for each in context.replies} == {200}, context.replies


@then("no action has run twice, and those that have run are served")
def step_run_served(context):
    check_not_twice(context)
    for reply in context.replies:
        has_run = context.server.runs[reply.request_id] > 0
        assert has_run == (reply.status == 200), reply


@then("each action that has not run is told so")
def step_told(context):
    statuses = [
        each.status
        for each in context.replies
        if not context.server.runs[each.request_id]
    ]
    assert statuses and set(statuses) == {503}, statuses


@then("each read is served with its own answer")
def step_own_answer(context):
    for reply in context.replies:
        assert reply.status == 200, reply
        assert reply.request_id.encode() in reply.body, reply


@then("no more connections are opened than with request IDs")
def step_opened(context):
    named, unnamed = context.n_opened
    assert unnamed <= named, context.n_opened
