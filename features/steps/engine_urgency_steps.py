"""Steps for the urgency that is stated to engines."""

import math
from random import Random

from behave import given, then, when

from damaskrill.fakes.platform import build_configuration
from damaskrill.steering import PriorityRanks, map_urgency
from damaskrill.steering._urgency import is_in_floor
from features.support.gateways import PROMPT

SEED = 7
# How long callers wait.
LIMIT_MS = 4_000
URGENCY = b"damaskrill-request-priority"


@given("an engine that reads {per_ms:f} tokens a ms and the most urgent first")
def step_engine(context, per_ms):
    context.per_ms = per_ms


@when(
    "{n_long:d} prompts of {long:d} tokens of priority {low:d} and {n_short:d} of "
    "{short:d} of priority {high:d} come each second for {seconds:d} s"
)
def step_load(context, n_long, long, low, n_short, short, high, seconds):
    random = Random(SEED)
    ranks = PriorityRanks([low, high])
    arrivals = []
    for per_s, n_tokens, priority in ((n_long, long, low), (n_short, short, high)):
        at_ms = 0.0
        while (at_ms := at_ms + random.expovariate(per_s) * 1_000) < seconds * 1_000:
            request_id = f"{priority}-{at_ms:.3f}"
            rank = 0 if is_in_floor(request_id, "salt") else ranks.rank_of(priority)
            urgency = map_urgency(rank, len(ranks))
            arrivals.append((at_ms, n_tokens, priority, urgency))
    arrivals.sort()
    context.waits = read_prompts(arrivals, context.per_ms)
    alike = [(at, n, priority, 5) for at, n, priority, _ in arrivals]
    context.waits_alike = read_prompts(alike, context.per_ms)


def read_prompts(arrivals, per_ms):
    """Return (priority, wait in ms) of prompts, read one after the other."""
    waits, waiting, free_ms = [], [], 0.0
    left = list(arrivals)
    while left or waiting:
        if not waiting:
            free_ms = max(free_ms, left[0][0])
        while left and left[0][0] <= free_ms:
            waiting.append(left.pop(0))
        first = min(waiting, key=lambda each: (each[3], each[0]))
        waiting.remove(first)
        read_ms = first[1] / per_ms
        if free_ms + read_ms - first[0] > LIMIT_MS:
            # Its caller leaves before.
            waits.append((first[2], math.inf))
            continue
        free_ms += read_ms
        waits.append((first[2], free_ms - first[0]))
    return waits


def share_within(waits, priority, limit_ms):
    own = [wait for each, wait in waits if each == priority]
    return sum(wait <= limit_ms for wait in own) / len(own)


@then("at least {n:d} in 100 of priority {priority:d} are read within {limit:d} ms")
def step_within(context, n, priority, limit):
    share = share_within(context.waits, priority, limit)
    assert share >= n / 100, share
    context.priority, context.limit_ms = priority, limit


@then("without urgency more than {n:d} in 100 of them are not")
def step_alike(context, n):
    share = share_within(context.waits_alike, context.priority, context.limit_ms)
    assert 1 - share > n / 100, share


@then("at least 1 in {n:d} of priority {priority:d} are read within {limit:d} ms")
def step_floor(context, n, priority, limit):
    share = share_within(context.waits, priority, limit)
    assert share >= 1 / n, share


@given("{n:d} ranks of priorities")
def step_ranks(context, n):
    context.new = [map_urgency(rank, n) for rank in range(n)]
    context.moved = [map_urgency(rank, n, was_sent=True) for rank in range(n)]


@then("no urgency of a rank is less urgent than that of a later rank")
def step_order(context):
    assert context.new == sorted(context.new)
    assert context.moved == sorted(context.moved)


@then("a request that was at a server is more urgent than new ones of its rank")
def step_moved(context):
    pairs = zip(context.moved, context.new, strict=True)
    assert all(moved < new for moved, new in pairs)


@then("the urgencies are from 0 to 9")
def step_range(context):
    assert set(context.new + context.moved) <= set(range(10))


@then("all urgencies of new and moved requests differ")
def step_apart(context):
    assert len(set(context.new + context.moved)) == 10


@given("ranks of the priorities -7, 0, 3 and 9000000000000000")
def step_far(context):
    context.ranks = PriorityRanks([3, -7, 9_000_000_000_000_000, 0])


@then("the ranks of -7, 3, 4 and 9000000000000001 are 0, 2, 3 and 3")
def step_far_ranks(context):
    priorities = (-7, 3, 4, 9_000_000_000_000_001)
    assert [context.ranks.rank_of(each) for each in priorities] == [0, 2, 3, 3]


@given('all its servers state the load "{load}"')
def step_state(context, load):
    for server in context.testbed.servers.values():
        server.stated_load = load.encode()


@when("the gateway gets 12 streams and 4 reads whose callers state urgency 0")
def step_requests(context):
    stated = ("Damaskrill-Request-Priority", "0")
    for _ in range(12):
        context.testbed.send("/chat/1", headers=[PROMPT, stated])
    for _ in range(4):
        context.testbed.send("/read/1", method="GET", body=b"", headers=[stated])


def stated_urgencies(context, kind):
    servers = context.testbed.servers
    requests = [
        (at, request.find_header(URGENCY), request)
        for name, server in servers.items()
        if name.startswith(kind)
        for (at, _), request in zip(server.arrivals, server.requests, strict=True)
    ]
    return sorted(requests, key=lambda each: each[0])


@then("the servers got {told} urgency from the second stream at any engine on")
def step_told(context, told):
    first, *others = [value for _, value, _ in stated_urgencies(context, "e-")]
    assert first is None
    assert len(others) == 11
    assert set(others) <= ({None} if told == "no" else {b"0", b"1"}), others


@then("app servers got no urgency")
def step_app(context):
    values = [value for _, value, _ in stated_urgencies(context, "a-")]
    assert values == [None] * 4


@when("the gateway gets 40 streams that callers resume after event 2")
def step_resumed(context):
    resumed = [PROMPT, ("Last-Event-Id", "2"), ("Resumes", "earlier")]
    for _ in range(40):
        context.testbed.send("/check/1", headers=resumed)


@then("the resumed ones are stated as urgent as 0 and the others as 1")
def step_stated(context):
    requests = stated_urgencies(context, "e-")[1:]
    by_target = {b"/chat/1": set(), b"/check/1": set()}
    for _, value, request in requests:
        by_target[request.target].add(value)
    assert by_target == {b"/chat/1": {b"1"}, b"/check/1": {b"0"}}, by_target


@given("the operators give the team priority 0")
def step_team_priority(context):
    teams = build_configuration()["tenants"]
    teams[0]["priority"] = 0
    context.testbed.configure(tenants=teams)


@given("it knows of {n:d} routers")
def step_fleet_size(context, n):
    (gateway,) = context.testbed.gateways
    gateway._dispatcher.engines._n_routers = lambda: n


@then('all streams of the team are stated as urgent as "{urgency}"')
def step_team_stated(context, urgency):
    values = [value for _, value, _ in stated_urgencies(context, "e-")]
    expected = None if urgency == "none" else urgency.encode()
    assert values == [expected] * 12, values
