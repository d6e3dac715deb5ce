"""Steps for single decisions of the scheduler."""

import math

from behave import given, then, when

from damaskrill.scheduling import (
    ReleaseOutcome,
    SlotAssignment,
    SlotQueued,
    SlotRefusal,
    SlotRefusalReason,
)
from damaskrill.scheduling._demand import MAX_CLASSES
from damaskrill.steering import ServerLoad
from features.support.slot_requests import ScheduledService

LIMIT_MS = 1_500.0
FIRST_URGENT = 1_000


@given("a service with {n_servers:d} servers of {n_slots:d} slots")
@given("a service with {n_servers:d} server of {n_slots:d} slots")
def step_service(context, n_servers, n_slots):
    context.servers = {n: n_slots for n in range(1, n_servers + 1)}
    context.service = ScheduledService(context.servers)


@given("a takeover of a service with {n_servers:d} server of {n_slots:d} slots")
def step_takeover(context, n_servers, n_slots):
    context.servers = {n: n_slots for n in range(1, n_servers + 1)}
    context.service = ScheduledService(context.servers, is_takeover=True)


@when("requests {first:d} to {last:d} ask")
def step_ask(context, first, last):
    for number in range(first, last + 1):
        context.service.request(number)


@when("request {number:d} asks")
def step_ask_one(context, number):
    context.service.request(number)


@when("request {number:d} of priority {priority:d} asks")
def step_ask_priority(context, number, priority):
    context.service.request(number, priority=priority)


@when("request {number:d} of priority {priority:d} asks with {left_ms:d} ms left")
def step_ask_left(context, number, priority, left_ms):
    context.service.request(number, priority=priority, limit_left_ms=left_ms)


@when("request {number:d} asks, which server {server:d} may not run")
def step_ask_excluded(context, number, server):
    context.service.request(number, excluded=frozenset({server}))


@when("request {number:d} asks, which no server may run")
def step_ask_all_excluded(context, number):
    context.service.request(number, excluded=frozenset(context.servers))


@when("{n_requests:d} requests ask at once")
def step_ask_many(context, n_requests):
    step_ask(context, 1, n_requests)


@when("{n_requests:d} requests of priority {priority:d} ask")
def step_ask_many_urgent(context, n_requests, priority):
    for number in range(FIRST_URGENT, FIRST_URGENT + n_requests):
        context.service.request(number, priority=priority)


@when("request {number:d} ends")
def step_end(context, number):
    context.ended = context.service.release(number)


@when("request {number:d} is withdrawn")
def step_withdraw(context, number):
    context.service.release(number, ReleaseOutcome.UNUSED)


@when("the server of request {number:d} rejects it")
def step_reject(context, number):
    context.rejecting = context.service.decisions[number].server
    context.service.release(number, ReleaseOutcome.REJECTED)


@when("the requests 1, 2 and 3 end one after the other")
def step_three_end(context):
    context.order = [
        each.number
        for number in (1, 2, 3)
        for each in context.service.release(number)
        if isinstance(each, SlotAssignment)
    ]


@when("slots are released for {duration_ms:d} ms")
def step_release_for(context, duration_ms):
    service = context.service
    for _ in range(duration_ms // 25):
        service.advance(25)
        for number in service.numbers(SlotAssignment):
            service.release(number)


@when("nothing happens for {duration_ms:d} ms")
def step_pass(context, duration_ms):
    context.service.advance(duration_ms)


@when("all servers leave")
def step_leave(context):
    context.waiting = context.service.numbers(SlotQueued)
    context.service.set_servers({})


@when("a request ends at a server that has left")
def step_end_left(context):
    step_end(context, context.service.numbers(SlotAssignment)[0])


@when("the servers come back")
def step_return(context):
    for number in context.service.numbers(SlotAssignment):
        context.service.release(number)
    context.service.set_servers(context.servers)


@when("server {server:d} states {n_requests:d} requests")
def step_state(context, server, n_requests):
    context.service.state(server, n_requests)


@when("server {server:d} states {n_requests:d} requests in each of {n:d} answers")
def step_state_often(context, server, n_requests, n):
    for _ in range(n):
        context.service.state(server, n_requests)


@when(
    "server {server:d} states {n_requests:d} requests "
    "and that work takes {slowness:g} times as long"
)
def step_state_slow(context, server, n_requests, slowness):
    context.service.state(server, n_requests, slowness=slowness)


@when(
    "{n_requests:d} requests of {duration_ms:d} ms run one after the other, "
    "of which 3 of 4 fail"
)
def step_fail(context, n_requests, duration_ms):
    for number in range(n_requests):
        context.service.request(number)
        context.service.advance(duration_ms)
        outcome = ReleaseOutcome.FAILED if number % 4 else ReleaseOutcome.COMPLETED
        context.service.release(number, outcome)


@then("a request is known to take {duration_ms:d} ms")
def step_known_time(context, duration_ms):
    found = context.service.core.status().work_ms
    assert abs(found - duration_ms) < 1, found


@when("server {server:d} stated {n_requests:d} requests {age_ms:d} ms ago")
def step_stated(context, server, n_requests, age_ms):
    context.service.state(server, n_requests, age_ms=age_ms)


@when("all requests end or are withdrawn")
def step_all_end(context):
    service = context.service
    for number in service.numbers(SlotQueued) + service.numbers(SlotAssignment):
        service.release(number, ReleaseOutcome.UNUSED)
    for number in service.numbers(SlotAssignment):
        service.release(number, ReleaseOutcome.UNUSED)
    assert service.core.status().n_assigned == 0
    service.decisions.clear()


@when("requests ask with times and priorities that cannot be right")
def step_bad_requests(context):
    wrong = (math.nan, math.inf, -math.inf, -1.0, 1e300)
    number = 1
    for value in wrong:
        context.service.request(number, target_left_ms=value)
        context.service.request(number + 1, limit_left_ms=value)
        context.service.request(number + 2, priority=-(10**9))
        context.service.request(number + 3, priority=10**9)
        number += 4


@when("servers state loads that cannot be right")
def step_bad_loads(context):
    for n_requests in (-5, 10**12):
        for slowness in (None, 0.0, -1.0, math.nan, math.inf, 1e9):
            for server in (1, 77):
                load = ServerLoad(
                    n_running=n_requests,
                    n_waiting=0,
                    n_slots=-1,
                    slowness=slowness,
                )
                service = context.service
                service.core.observe_load(server, load, service.now_ms, -10.0)


@then("the requests {first:d} to {last:d} have slots and the others wait")
def step_slots(context, first, last):
    service = context.service
    assert service.numbers(SlotAssignment) == list(range(first, last + 1))
    assert not service.numbers(SlotRefusal)


@then("the requests 7, 6 and 5 get slots in this order")
def step_order(context):
    assert context.order == [7, 6, 5], context.order


@then("each has a slot, waits, or is refused at the same moment")
def step_decided(context):
    assert set(context.service.n_decisions.values()) == {1}
    assert len(context.service.numbers(SlotAssignment)) == 4
    assert context.service.numbers(SlotQueued)


@then("the refused ones may come back at different times within a third of their limit")
def step_spread(context):
    service = context.service
    refused = [service.decisions[n] for n in service.numbers(SlotRefusal)]
    delays = [each.retry_after_ms for each in refused]
    assert len(delays) > 20 and len(set(delays)) == len(delays)
    assert all(0 < each <= LIMIT_MS / 3 for each in delays), delays


@then("request {number:d} has got a slot")
def step_has_slot(context, number):
    found = context.service.decisions.get(number)
    assert isinstance(found, SlotAssignment), found


@then("request {number:d} waits")
def step_waits(context, number):
    found = context.service.decisions.get(number)
    assert isinstance(found, SlotQueued), found


@then("all that waited are refused for want of a server")
def step_refused_all(context):
    assert context.waiting
    for number in context.waiting:
        step_refused(context, number)


@then("request {number:d} is refused for want of a server")
def step_refused(context, number):
    assert context.service.decisions[number].reason is SlotRefusalReason.NO_SERVER


@then("nothing is assigned")
def step_nothing(context):
    assert context.ended == []


@then("{n_slots:d} slots are in use")
def step_in_use(context, n_slots):
    found = context.service.core.status().n_assigned
    assert found == n_slots, found


@then("some of these are refused only if {n_slots:d} slots are in use")
def step_refused_if_full(context, n_slots):
    assert context.service.numbers(SlotRefusal)
    step_in_use(context, n_slots)


@then("one slot is in use")
def step_one_in_use(context):
    step_in_use(context, 1)


@then("no slot is in use")
def step_none_in_use(context):
    step_in_use(context, 0)


@then("no more than {n_slots:d} slots are in use")
def step_at_most_in_use(context, n_slots):
    assert context.service.core.status().n_assigned <= n_slots


@then("request 1 is at server 2 and request 2 at server 1")
def step_excluded_servers(context):
    decisions = context.service.decisions
    assert (decisions[1].server, decisions[2].server) == (2, 1)


@then("the requests {first:d} and {second:d} are at server {server:d}")
def step_at_server(context, first, second, server):
    decisions = context.service.decisions
    assert {decisions[first].server, decisions[second].server} == {server}


@then("no request is at the server that rejected one")
def step_not_at_rejecting(context):
    decisions = context.service.decisions
    assert context.rejecting not in {decisions[2].server, decisions[3].server}


@then("each of these has a decision")
def step_all_decided(context):
    assert set(range(50, 61)) <= set(context.service.decisions)


@then("at most {n_teams:d} teams are remembered")
def step_bounded(context, n_teams):
    assert n_teams == MAX_CLASSES
    assert len(context.service.core._demand._counts) <= n_teams
