"""Steps for servers of unequal speed."""

import struct
from functools import partial
from random import Random

import cbor2
from behave import given, then, when

from benchmarks._uneven_fleet import FleetResult, UnevenFleet, UnevenLoad
from benchmarks._uneven_policies import (
    LeastLoaded,
    Product,
    TwoChoices,
    WithoutSpeeds,
)
from damaskrill.exceptions import PeerFrameError
from damaskrill.mesh import Update, decode, encode
from damaskrill.steering import (
    Candidate,
    FailureDetector,
    FailureShares,
    FleetHealth,
    FleetRetryBudget,
    LoadReport,
    ServerLoad,
    ServerLoads,
    ServerOutcome,
    ServerSelector,
    ServerSpeeds,
    UnevenChoice,
    early_budget_fraction,
    expected_time_ms,
    short_server_id,
)
from features.support.builders import build_engine
from features.support.former_build import echo_frames

SERVER = 7
KEY = ("s-1", 5)
ID = short_server_id(KEY)
SEED = 1
SEEDS = range(1, 5)
MS_PER_S = 1_000


def build_load(slowness=None, *, n_running=0, n_waiting=0, n_slots=6):
    return ServerLoad(
        n_running=n_running, n_waiting=n_waiting, n_slots=n_slots, slowness=slowness
    )


@when(
    "{n_ahead:d} requests are at a server of {n_slots:d} slots that takes "
    "{slowness:g} times as long"
)
def step_server(context, n_ahead, n_slots, slowness):
    context.server = {"n_ahead": n_ahead, "n_slots": n_slots, "slowness": slowness}


@then("a request of {work_ms:g} ms is expected to take {expected_ms:g} ms")
def step_expected_time(context, work_ms, expected_ms):
    found = expected_time_ms(**context.server, work_ms=work_ms)
    assert round(found, 6) == expected_ms, found


@given("a server that stated a slowness of {slowness} every {ms:d} ms for {n_s:d} s")
def step_long_stated(context, slowness, ms, n_s):
    context.speeds = ServerSpeeds()
    for at_ms in range(0, n_s * MS_PER_S + 1, ms):
        context.speeds.observe(SERVER, build_load(float(slowness)), at_ms)
    context.now_ms = n_s * MS_PER_S + ms


@when("it states a slowness of {slowness}")
def step_states(context, slowness):
    load = build_load(float(slowness))
    context.speeds.observe(SERVER, load, context.now_ms)


@when("a slowness of {slowness} that is {age_ms:d} ms old arrives")
def step_arrives(context, slowness, age_ms):
    load = build_load(float(slowness))
    context.speeds.observe(SERVER, load, context.now_ms, age_ms)


@then("its slowness is {slowness:g} after {ms:d} ms")
def step_slowness(context, slowness, ms):
    found = context.speeds.slowness(SERVER, context.now_ms + ms)
    assert found == slowness, found


@then("its slowness is between {low:g} and {high:g} after {ms:d} ms")
def step_slowness_between(context, low, high, ms):
    found = context.speeds.slowness(SERVER, context.now_ms + ms)
    assert low <= found <= high, found


@given("two routers that tell each other the loads of servers")
def step_two_routers(context):
    context.router_loads = [ServerLoads() for _ in range(3)]
    for loads in context.router_loads:
        loads.register_server(KEY)


@when(
    "the first router is told a load of {n:d} requests, {n_slots:d} slots and a "
    "slowness of {slowness:g}"
)
def step_told(context, n, n_slots, slowness):
    load = build_load(slowness, n_running=n, n_slots=n_slots)
    context.router_loads[0].observe_stated(KEY, load, 1_000.0)


@when("the second router hears of it {ms:d} ms later")
def step_hears(context, ms):
    context.now_ms = 1_000.0 + ms
    pass_on(context, 0, 1)


def pass_on(context, sender, receiver):
    now_ms = context.now_ms
    reports, _ = context.router_loads[sender].reports_after(0, now_ms=now_ms)
    update = decode(encode(Update(loads=tuple(reports))))
    context.router_loads[receiver].apply_reports(
        update.loads, now_ms=now_ms, source=f"router-{sender}"
    )
    return update.loads


@then(
    "the second router takes the server's slowness for less than {high:g} and more "
    "than {low:g}"
)
def step_taken(context, high, low):
    found = context.router_loads[1].speeds.slowness(ID, context.now_ms)
    assert low < found < high, found


@then("a third router hears the same from the second")
def step_third(context):
    (report,) = pass_on(context, 1, 2)
    assert (report.n_requests, report.n_slots, report.slowness) == (5, 6, 2.5)
    speeds = [each.speeds for each in context.router_loads]
    assert speeds[2].slowness(ID, context.now_ms) == speeds[1].slowness(
        ID, context.now_ms
    )


@then("the former build reads a frame with speeds, and this build a frame without them")
def step_former(context):
    plain = LoadReport(7, 3, 90)
    frame = Update(loads=(LoadReport(5, 3, 90, 6, 2.5), plain))
    (echoed,) = echo_frames([encode(frame)])
    assert decode(echoed).loads == (LoadReport(5, 3, 90), plain)
    assert decode(encode(frame)) == frame


@then("speeds that are cut are refused with a typed error")
def step_cut_speeds(context):
    content = cbor2.loads(encode(Update(loads=(LoadReport(5, 3, 90, 6, 2.5),))))
    *before, sound_speeds, soundness = content
    assert sound_speeds and not soundness, content
    for speeds in (sound_speeds[:-1], sound_speeds[:4], [1], "x", None, 7):
        try:
            decode(cbor2.dumps([*before, speeds, soundness]))
        except PeerFrameError:
            continue
        raise AssertionError(f"speeds {speeds} were accepted")


@then(
    "speeds of no time, of 10,000,000 percent and of a server without a load are "
    "ignored"
)
def step_wrong_speeds(context):
    loads = ServerLoads()
    loads.register_server(KEY)
    *before, _, soundness = cbor2.loads(encode(Update(loads=(LoadReport(ID, 3, 90),))))
    for percent in (0, 10_000_000):
        speeds = struct.pack("<6I", ID, 6, percent, ID + 1, 6, 250)
        update = decode(cbor2.dumps([*before, speeds, soundness]))
        assert len(update.loads) == 1
        loads.apply_reports(update.loads, now_ms=1_000.0, source="peer")
        assert not loads.speeds.is_stated([ID, ID + 1])


@given(
    "{n:d} routers before servers of which each takes 2.5 times as long a seventh of "
    "the time"
)
def step_uneven(context, n):
    context.load = {"n_routers": n}


@given(
    "{n:d} routers before servers of which one always states the tenth of its slowness"
)
def step_lying(context, n):
    context.load = {"n_routers": n, "lying": (0.1, 1.0, 1.0, 1.0)}


@given(
    "{n:d} routers before servers of which one is {kind:g} times slower and does not "
    "state it"
)
def step_untold(context, n, kind):
    context.load = {
        "n_routers": n,
        "kinds": (kind, 1.0, 1.0, 1.0),
        "lying": (1 / kind, 1.0, 1.0, 1.0),
    }


@when("each choice gets the same arrivals for {n_s:d} s")
def step_arrivals(context, n_s):
    load = UnevenLoad(duration_ms=n_s * MS_PER_S, **context.load)
    context.p99_ms = {}
    for policy in (Product, WithoutSpeeds, LeastLoaded, TwoChoices):
        times_ms = []
        for seed in SEEDS:
            fleet = UnevenFleet(load=load, seed=seed)
            times_ms += fleet.run(partial(policy, fleet)).times_ms
        context.p99_ms[policy] = FleetResult(
            times_ms=sorted(times_ms), n_probes=0
        ).percentile(99)


@then(
    "99 in 100 answers come sooner than by the choice without speeds, the least loaded "
    "and two choices"
)
def step_sooner(context):
    found = context.p99_ms
    assert min(found, key=found.get) is Product, found


@then("99 in 100 answers come sooner than by the choice without speeds")
def step_sooner_than_without(context):
    found = context.p99_ms
    assert found[Product] < found[WithoutSpeeds], found


@given("{n:d} servers that state no slowness")
def step_silent(context, n):
    context.servers = [build_engine(f"s-{i}", n_slots=6) for i in range(n)]


@then("{n:d} choices with the same random numbers are those of the least utilization")
def step_as_before(context, n):
    loads = ServerLoads()
    selector = ServerSelector(
        loads=loads, own_data_centre="other", random_state=Random(SEED)
    )
    numbers = Random(SEED)
    for number in range(n):
        load = build_load(n_running=(number * 7) % 5)
        loads.observe_stated(context.servers[number % 4].key, load, float(number))
        found = selector.select(
            [Candidate(server=each) for each in context.servers],
            affinity_keys=(),
            now_ms=float(number),
        )
        costs = [
            (max(loads.estimate(each.key, number) / 6, 0.25), numbers.random())
            for each in context.servers
        ]
        assert found is context.servers[costs.index(min(costs))]


@given("{n:d} routers that send {per_s:d} requests a second to {n_servers:d} servers")
def step_senders(context, n, per_s, n_servers):
    context.servers = [(f"s-{i}", 0) for i in range(n_servers)]
    context.routers = [
        FailureDetector(router=f"10.0.0.{i}:7", data_centre=f"centre-{i % 4}")
        for i in range(n)
    ]
    context.per_s, context.now_ms = per_s, 0.0


@when("one server fails {bad:d} in 100 and the others {good:d} in 100 for {n_s:d} s")
def step_one_fails(context, bad, good, n_s):
    run_failures(context, [bad / 100, *[good / 100] * 3], n_s)


@when("all servers fail {share:d} in 100 for {n_s:d} s")
def step_all_fail(context, share, n_s):
    run_failures(context, [share / 100] * 4, n_s)


def run_failures(context, shares, n_s):
    random = Random(SEED)
    health = [FleetHealth(detector=each) for each in context.routers]
    end_ms = context.now_ms + n_s * MS_PER_S
    while context.now_ms < end_ms:
        context.now_ms += random.expovariate(context.per_s / MS_PER_S)
        n = random.randrange(4)
        is_failed = random.random() < shares[n]
        outcome = ServerOutcome.ERROR_STATUS if is_failed else ServerOutcome.GOOD
        number = random.randrange(len(health))
        record_choice(context, number)
        health[number].record(context.servers[n], outcome, context.now_ms)
        tell_failures(context, context.routers[number])


def record_choice(context, number):
    chances = {short_server_id(each): 0.25 for each in context.servers}
    context.routers[number].shares.record_choice(chances, context.now_ms)


def tell_failures(context, sender):
    if not sender.has_unpublished:
        return
    sender.flush()
    reports, _ = sender.reports_after(0, now_ms=context.now_ms, include_relayed=False)
    for detector in context.routers:
        if detector is not sender:
            detector.apply_reports(reports, now_ms=context.now_ms, source="peer")


def find_shares(context):
    ids = [short_server_id(each) for each in context.servers]
    found = [
        each.shares.find(ids, n_routers=len(context.routers), now_ms=context.now_ms)
        for each in context.routers
    ]
    return [[each[server] for server in ids] for each in found]


@then(
    "every router takes the share of the failing server for {more:g} above the others"
)
def step_share_above(context, more):
    found = find_shares(context)
    assert all(each[0] >= max(each[1:]) + more for each in found), found


@then("no router takes a share for more than {most:g} above another")
def step_no_share_above(context, most):
    found = find_shares(context)
    assert all(max(each) - min(each) <= most for each in found), found


@when("a server fails 2 of 3 requests")
def step_two_of_three(context):
    health = FleetHealth(detector=context.routers[0])
    outcomes = (
        ServerOutcome.ERROR_STATUS,
        ServerOutcome.GOOD,
        ServerOutcome.ERROR_STATUS,
    )
    for outcome in outcomes:
        record_choice(context, 0)
        health.record(context.servers[0], outcome, context.now_ms)
    tell_failures(context, context.routers[0])


@given(
    "a server that fails {percent:d} in 100 requests, and two that take {a:g} and "
    "{b:g} times as long"
)
def step_failing(context, percent, a, b):
    context.servers = [build_engine(f"s-{i}", n_slots=6) for i in range(3)]
    context.loads = ServerLoads()
    for server, slowness in zip(context.servers, (1.0, a, b), strict=True):
        context.loads.observe_stated(server.key, build_load(slowness), 1_000.0)
    context.shares = FailureShares()
    ids = [short_server_id(each.key) for each in context.servers]
    for at_ms in range(1_000):
        context.shares.record_choice(dict.fromkeys(ids, 1 / 3), at_ms)
    context.shares.record_failures(ids[0], round(percent / 100 * 1_000 / 3), 500.0)


@then(
    "of {n:d} requests that may go to no further server at most {most:d} go to the "
    "failing one"
)
def step_avoided(context, n, most):
    choice = UnevenChoice(
        loads=context.loads,
        speeds=context.loads.speeds,
        failures=context.shares,
        own_data_centre="bole",
        random_state=Random(SEED),
    )
    chosen = [choice.choose(context.servers, 1_100.0, is_last=True) for _ in range(n)]
    assert chosen.count(context.servers[0]) <= most, chosen.count(context.servers[0])


@then(
    "the answer's load is of {n} requests and {slots} slots, with a slowness of "
    "{slowness}"
)
def step_stated_load(context, n, slots, slowness):
    load = context.answer.load
    found = (load.n_requests, load.n_slots, load.slowness) if load else (None,) * 3
    assert [str(each) for each in found] == [n, slots, slowness], load


@given("the app servers state that work takes as usual")
def step_states_usual(context):
    for name in ("a-1", "a-2"):
        context.testbed.servers[name].stated_load = b"1,0,8,100"
    # The gateway learns it from answers of both.
    replies = [
        context.testbed.send("/read/1", method="GET", body=b"") for _ in range(8)
    ]
    assert {each.status for each in replies} == {200}


@then("no failure of an app server is counted")
def step_no_failure(context):
    (gateway,) = context.testbed.gateways
    detector = gateway._failures
    assert not detector.n_reports and not detector.has_unpublished


@then("every issuance has run once")
def step_once_each(context):
    for reply in context.replies:
        assert reply.status == 200, reply
        assert context.testbed.runs_of(reply.request_id) == 1


@given("a router whose retry budget allows {n:d} more retries")
def step_budget(context, n):
    # Of the budget, 0.7 is used.
    context.budget = FleetRetryBudget(
        ratio=0.0, slack=(n + 0.001) / 0.7, window_ms=10_000, has_predecessor=False
    )


@then("early attempts of priority 0, 1 and 2 may use {a:d}, {b:d} and {c:d} of them")
def step_early(context, a, b, c):
    found = []
    for priority in (2, 1, 0):
        fraction = early_budget_fraction(priority)
        while context.budget.can_acquire("app", 1, 0.0, fraction=fraction):
            context.budget.try_acquire("app", 1, 0.0)
        found.append(context.budget.n_retries("app"))
    assert found == [c, b, a], found


@given('app server "{name}" states that work takes {n:d} times as long')
def step_states_slow(context, name, n):
    context.testbed.servers[name].stated_load = b"1,0,8,%d" % (100 * n)


@then('the log tells once that "{name}" was passed over because it is "{cause}"')
def step_passed_over(context, name, cause):
    lines = [
        each
        for each in context.testbed.logs[0].lines
        if each["event"] == "server_passed_over"
    ]
    found = [each["cause"] for each in lines if each["backend_server"] == name]
    assert found == [cause], lines


@then("the metric of its slowness is {slowness:g}")
def step_slowness_metric(context, slowness):
    (gateway,) = context.testbed.gateways
    text = gateway._metrics.render({}).decode()
    line = f'damaskrill_gateway_server_slowness{{server="a-1"}} {slowness}'
    assert line in text.splitlines(), text


@given("a gateway that is ready and places requests on its own")
def step_ready_without_slots(context):
    context.testbed.add_gateway(schedules_slots=False)
    context.testbed.wait_until_ready()
