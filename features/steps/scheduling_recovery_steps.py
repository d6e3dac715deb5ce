"""Steps for decisions after wrong counts, pauses and long requests."""

from behave import then, when

from damaskrill.scheduling import SlotAssignment, SlotQueued
from damaskrill.scheduling._slot_server import SlotServer
from damaskrill.steering import ServerLoad
from features.support.call_counter import CallCounter

LONG_LIMIT_MS = 30_000.0
FIRST_EXCLUDED = 1_000
N_SLOTS = 24
DAY_MS = 86_400_000


@when("{n_requests:d} requests of {duration_ms:d} ms have run one after the other")
def step_run(context, n_requests, duration_ms):
    service = context.service
    for number in range(-n_requests, 0):
        service.request(
            number, limit_left_ms=LONG_LIMIT_MS, target_left_ms=LONG_LIMIT_MS
        )
        service.advance(duration_ms)
        service.release(number, duration_ms=duration_ms)
        service.advance(5)


@when("request {number:d} asks, with only {left_ms:d} ms left")
def step_ask_short(context, number, left_ms):
    context.service.request(number, limit_left_ms=left_ms)


@when("the scheduler is suspended for {duration_ms:d} ms")
def step_suspend(context, duration_ms):
    context.service.now_ms += duration_ms


@when("the requests {first:d} to {last:d} end")
def step_all_end(context, first, last):
    for number in range(first, last + 1):
        context.service.release(number)


@when(
    "for {duration_ms:d} ms server {server:d} states {n_requests:d} requests, "
    "each figure {age_ms:d} ms old, while requests ask"
)
def step_old_loads(context, duration_ms, server, n_requests, age_ms):
    service = context.service
    for number in range(duration_ms // 10):
        service.state(server, n_requests, age_ms=age_ms)
        service.request(5_000 + number, limit_left_ms=LONG_LIMIT_MS)
        service.advance(10)


@when("request {number:d} ends with the load of {n_requests:d} requests after it")
def step_end_load(context, number, n_requests):
    load = ServerLoad(n_running=n_requests, n_waiting=0, n_slots=4, slowness=1.0)
    context.service.release(number, load=load)


@when("request {number:d} of {duration_ms:d} ms is released {held_ms:d} ms later")
def step_release_late(context, number, duration_ms, held_ms):
    context.service.advance(held_ms)
    context.service.release(number, duration_ms=duration_ms)


@then("a request is known to take at most {duration_ms:d} ms")
def step_known_at_most(context, duration_ms):
    found = context.service.core.status().work_ms
    assert found <= duration_ms, found


@then("the requests {first:d} to {last:d} have slots")
def step_all_have(context, first, last):
    found = context.service.numbers(SlotAssignment)
    missing = set(range(first, last + 1)) - set(found)
    assert not missing, (missing, context.service.decisions)


@then("request {number:d} is at server {server:d}")
def step_is_at(context, number, server):
    found = context.service.decisions[number]
    assert isinstance(found, SlotAssignment) and found.server == server, found


@then("request {number:d} has been told twice that it waits")
def step_told_twice(context, number):
    service = context.service
    assert isinstance(service.decisions[number], SlotQueued)
    assert service.n_decisions[number] == 2, service.n_decisions[number]


@when("{n_requests:d} requests ask, which server {server:d} may not run")
def step_ask_many_excluded(context, n_requests, server):
    service = context.service
    for number in range(FIRST_EXCLUDED, FIRST_EXCLUDED + n_requests):
        service.request(
            number,
            excluded=frozenset({server}),
            limit_left_ms=LONG_LIMIT_MS,
            target_left_ms=LONG_LIMIT_MS,
        )
    context.n_waiting = service.core.status().n_waiting
    assert context.n_waiting > n_requests // 4, context.n_waiting


@when("a request at server {server:d} ends")
def step_end_at(context, server):
    service = context.service
    ended = next(
        number
        for number in service.numbers(SlotAssignment)
        if number > 0 and service.decisions[number].server == server
    )
    assert service.core.status().n_assigned == N_SLOTS
    with CallCounter() as context.calls:
        service.release(ended)
    assert service.core.status().n_assigned == N_SLOTS - 1


@then("that takes at most {n_calls:d} calls for each request that waits")
def step_calls(context, n_calls):
    found = context.calls.n_calls / context.n_waiting
    assert found <= n_calls, found


@when("server {server:d} states {n_requests:d} requests each 10 ms for {n_ms:d} ms")
def step_state_always(context, server, n_requests, n_ms):
    service = context.service
    for _ in range(n_ms // 10):
        service.now_ms += 10
        service.state(server, n_requests)
        service.advance(0)


@then("no request waits")
def step_none_waits(context):
    found = context.service.core.status().n_waiting
    assert found == 0, found


@when("a server rejects a request on each of {n_days:d} days")
def step_reject_daily(context, n_days):
    context.slot_server = SlotServer(n_slots=4)
    for day in range(n_days):
        context.now_ms = day * DAY_MS
        context.slot_server.observe_rejection(context.now_ms)


@then("it gets no more than its slots for {n_ms:d} ms")
def step_barred(context, n_ms):
    found = context.slot_server.barred_until_ms - context.now_ms
    assert found == n_ms, found
