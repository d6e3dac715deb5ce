"""Steps for limits of the whole fleet while routers come and go."""

from behave import given, then, when

from damaskrill.catalog import ServiceSpec
from damaskrill.steering import cold_start_limit, stated_limit
from features.support.limit_fleet import LimitFleet, max_within

COLD_FACTOR, COLD_SLACK = 1.5, 5
N_PLAYS = 5
N_PLAYS_OF_MANY = 2
MANY_ROUTERS = 100
# By then, routers that started together know each other and may send.
SETTLED_MS = 10_000
# What happens to the fleet each second, at random.
EVENTS = ("kill_one", "kill_one", "kill_all", "cut", "cut", "heal", "none")


def build_fleets(n, limit):
    n_plays = N_PLAYS if n < MANY_ROUTERS else N_PLAYS_OF_MANY
    return [LimitFleet(n=n, limit=limit, random_state=seed) for seed in range(n_plays)]


@given(
    "{n:d} routers and a cold server that can handle {per_s:d} requests a second, with "
    "requests for it at all of them"
)
def step_cold(context, n, per_s):
    spec = ServiceSpec(name="pool", cold_requests_per_s=per_s)
    context.window_ms = 1_000
    context.n_allowed = int(per_s * COLD_FACTOR + COLD_SLACK)
    context.limit = cold_start_limit(spec, factor=COLD_FACTOR, slack=COLD_SLACK)
    context.fleets = build_fleets(n, context.limit)


@given(
    "{n:d} routers and a server that states a limit of {per_s:d} requests a second, "
    "with requests for it at all of them"
)
def step_stated(context, n, per_s):
    context.window_ms = 4_000
    context.n_allowed = 4 * per_s
    context.limit = stated_limit(per_s)
    context.fleets = build_fleets(n, context.limit)


@when("they have been cut into {n:d} islands for {seconds:d} seconds when it starts")
def step_cut(context, n, seconds):
    for fleet in context.fleets:
        fleet.run(SETTLED_MS, is_cold=False)
        fleet.cut(n)
        fleet.run(SETTLED_MS + 1_000 * seconds, is_cold=False)
        fleet.run(fleet.now_ms + 5_000)


@when("the cut heals while it is cold")
def step_heals(context):
    for fleet in context.fleets:
        fleet.cut(1)
        fleet.run(fleet.now_ms + 5_000)


@when("all routers of one of the islands are started again while it is cold")
def step_island_starts(context):
    for fleet in context.fleets:
        for router in fleet.routers:
            if router.island == 0:
                fleet.kill(router, away_ms=200)
        fleet.run(fleet.now_ms + 8_000)


@when("each second another one is killed and starts {ms:d} ms later")
def step_in_turn(context, ms):
    for fleet in context.fleets:
        fleet.run(SETTLED_MS)
        for router in fleet.routers[:20]:
            fleet.kill(router, away_ms=ms)
            fleet.run(fleet.now_ms + 1_000)


@when("all are killed {n:d} times within a second and start {ms:d} ms later")
def step_all_killed(context, n, ms):
    for fleet in context.fleets:
        fleet.run(SETTLED_MS)
        for _ in range(n):
            fleet.kill_all(away_ms=ms)
            fleet.run(fleet.now_ms + 1_000 // n // 10 * 10)
        fleet.run(fleet.now_ms + 10_000)


@when("a half of them is killed for {seconds:d} seconds and starts again")
def step_half_killed(context, seconds):
    for fleet in context.fleets:
        fleet.run(SETTLED_MS)
        for router in fleet.routers[::2]:
            fleet.kill(router, away_ms=1_000 * seconds)
        fleet.run(fleet.now_ms + 1_000 * seconds + 10_000)


@when("for {seconds:d} seconds routers are killed, started, cut off and in touch again")
def step_play(context, seconds):
    for fleet in context.fleets:
        fleet.run(SETTLED_MS)
        for _ in range(seconds):
            disturb(fleet)
            fleet.run(fleet.now_ms + 1_000)


def disturb(fleet):
    away_ms = fleet.random.choice((100, 200, 500, 1_000, 3_000))
    match fleet.random.choice(EVENTS):
        case "kill_one":
            fleet.kill(fleet.random.choice(fleet.routers), away_ms=away_ms)
        case "kill_all":
            fleet.kill_all(away_ms=away_ms)
        case "cut":
            fleet.cut(fleet.random.choice((2, 3)))
        case "heal":
            fleet.cut(1)


@then("in no window of any play it gets more than it can handle")
def step_kept(context):
    most = [max_within(each.arrivals, context.window_ms) for each in context.fleets]
    assert max(most) <= context.n_allowed, (most, context.n_allowed)


@then("in the last {seconds:d} seconds of each play it gets a part of it")
def step_used(context, seconds):
    for fleet in context.fleets:
        since_ms = fleet.now_ms - 1_000 * seconds
        n_arrivals = sum(each > since_ms for each in fleet.arrivals)
        n_handled = context.n_allowed * 1_000 * seconds / context.window_ms
        assert n_arrivals >= 0.25 * n_handled, (n_arrivals, n_handled)
