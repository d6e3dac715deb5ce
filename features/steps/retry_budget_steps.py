"""Steps for the retry budget of routers that come and go, on a virtual clock."""

from random import Random

from behave import given, then, when

from damaskrill.mesh import MemberEntry, MemberTable
from damaskrill.soak._repeats import RepeatBudget, find_worst_window
from damaskrill.steering import FleetRetryBudget, FleetSize

SERVICE = "pool"
WINDOW_MS = 10_000
N_PLAYS = 20
FAILED_SHARE = 0.9
SETTLED_MS = 60_000
# What happens to the fleet each second, at random.
EVENTS = ("kill_one", "kill_one", "kill_all", "cut", "heal", "move", "none")
# How long a router is away, and how long it takes the others to notice.
AWAY_MS = (200, 3_000)
OBSERVE_MS = 250
NOTICE_MS = 2_500


class Known:
    """What the routers of an island know of each other."""

    def __init__(self, routers):
        self.addresses = frozenset(each.address for each in routers)
        self.n_told = max((each.size.largest for each in routers), default=0)


class Router:
    """Budget of one router over all its successive processes."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.address = f"r-{number}"
        self.up_at_ms = 0.0
        self.island = 0
        self.last_up_ms = float("-inf")
        self.start(0.0)

    def start(self, now_ms):
        self.size = FleetSize(
            own_address=self.address,
            seeds=[f"r-{number}" for number in range(3)],
            started_at_ms=now_ms,
        )
        self.budget = FleetRetryBudget(
            ratio=0.2,
            slack=self._fleet.slack,
            window_ms=WINDOW_MS,
            started_at_ms=now_ms,
        )

    def observe(self, known):
        self.size.observe(known.addresses | {self.address}, n_told=known.n_told)

    def find_n(self, now_ms):
        return self.size.find_n_routers(now_ms)


class BudgetFleet:
    """Routers that share a budget, and what the servers of a service get."""

    def __init__(self, *, n, slack, random_state=0):
        self.slack = slack
        self.random = Random(random_state)
        self.routers = []
        self.routers += [Router(self, number) for number in range(n)]
        self.now_ms = 0.0
        self.sent_at, self.arrivals = [], []
        self.n_failed = self.n_retried = 0
        self._next_ms = 0.0
        self._weights = [1.0] * n

    def advance(self, now_ms):
        for router in self.routers:
            if router.up_at_ms <= now_ms:
                router.last_up_ms = now_ms
        by_island = {
            island: Known(
                [
                    each
                    for each in self.routers
                    if each.island == island and now_ms - each.last_up_ms < NOTICE_MS
                ]
            )
            for island in {each.island for each in self.routers}
        }
        for router in self.routers:
            router.observe(by_island[router.island])
        self.now_ms = now_ms

    def disturb(self):
        n = len(self.routers)
        match self.random.choice(EVENTS):
            case "kill_one":
                self.kill(self.random.choice(self.routers))
            case "kill_all":
                for router in self.routers:
                    self.kill(router)
            case "cut":
                for router in self.routers:
                    router.island = self.random.randrange(2)
            case "heal":
                for router in self.routers:
                    router.island = 0
            case "move":
                self._weights = [self.random.random() ** 4 for _ in range(n)]

    def kill(self, router):
        router.up_at_ms = self.now_ms + self.random.uniform(*AWAY_MS)
        router.start(router.up_at_ms)

    def send(self, now_ms, *, is_failed):
        up = [each for each in self.routers if each.up_at_ms <= now_ms]
        if not up:
            return
        weights = [self._weights[self.routers.index(each)] for each in up]
        router = self.random.choices(up, weights)[0]
        request_id = str(len(self.sent_at))
        router.budget.record_request(SERVICE, now_ms)
        self.sent_at.append(now_ms / 1_000)
        self.arrivals.append((now_ms / 1_000, request_id))
        if not is_failed:
            return
        self.n_failed += 1
        if router.budget.try_acquire(SERVICE, router.find_n(now_ms), now_ms):
            self.n_retried += 1
            self.arrivals.append((now_ms / 1_000, request_id))

    def run(self, rate, *, until_ms, is_failed=True):
        """Let callers send requests at a steady rate."""
        interval_ms = 1_000 / rate
        while (now_ms := self._next_ms) < until_ms:
            if now_ms - self.now_ms >= OBSERVE_MS:
                self.advance(now_ms)
            self.send(now_ms, is_failed=is_failed)
            self._next_ms += interval_ms

    def find_worst_window(self):
        budget = RepeatBudget(ratio=0.2, slack=self.slack, window_s=WINDOW_MS / 1_000)
        return find_worst_window(self.sent_at, self.arrivals, budget)


@given(
    "{n:d} routers that share a slack of {slack:d} retries in 10 seconds and a ratio "
    "of 0.2"
)
def step_routers(context, n, slack):
    context.n, context.slack = n, slack


def play(context, seed, rate, seconds):
    fleet = BudgetFleet(n=context.n, slack=context.slack, random_state=seed)
    now_ms, next_ms, ends_ms = 0.0, 0.0, 1_000.0 * seconds
    while now_ms < ends_ms:
        now_ms += fleet.random.expovariate(rate / 1_000)
        while next_ms <= now_ms:
            fleet.advance(next_ms)
            if next_ms % 1_000 == 0:
                fleet.disturb()
            next_ms += 250
        fleet.send(now_ms, is_failed=fleet.random.random() < FAILED_SHARE)
    return fleet


@when(
    "{rate:d} requests a second fail for {seconds:d} seconds in {n:d} plays with "
    "restarts, cuts and callers that move"
)
def step_plays(context, rate, seconds, n):
    context.fleets = [play(context, seed, rate, seconds) for seed in range(n)]


@then("in no window of any play repeats are over the budget")
def step_within(context):
    for seed, fleet in enumerate(context.fleets):
        worst = fleet.find_worst_window()
        assert worst is None or worst.n_excess <= 0, (seed, worst)


@then("in each play at least {share:d} of 100 failed requests are sent again")
def step_retried(context, share):
    shares = [100 * each.n_retried / each.n_failed for each in context.fleets]
    assert min(shares) >= share, sorted(shares)


@when(
    "after a minute without failures {rate:d} requests a second fail for {seconds:d} "
    "seconds"
)
def step_failing_for(context, rate, seconds):
    fleet = context.fleet = BudgetFleet(n=context.n, slack=context.slack)
    for number in range(rate * 60):
        if number % 10 == 0:
            fleet.advance(number * 1_000 / rate)
        fleet.send(number * 1_000 / rate, is_failed=False)
    for number in range(rate * seconds):
        fleet.send(SETTLED_MS + number * 1_000 / rate, is_failed=True)
    context.n_allowed = 0.2 * rate * WINDOW_MS / 1_000 + context.slack


@then("at least {share:g} of the retries that the budget allows are made")
def step_most_made(context, share):
    n_retried = context.fleet.n_retried
    assert share * context.n_allowed <= n_retried <= context.n_allowed, (
        n_retried,
        context.n_allowed,
    )


@given("a router that has just started and whose settings name {n:d} others")
def step_alone(context, n):
    context.size = FleetSize(
        own_address="r-0",
        seeds=[f"r-{number + 1}" for number in range(n)],
        started_at_ms=0.0,
    )
    context.budget = FleetRetryBudget(ratio=0.2, slack=54, window_ms=WINDOW_MS)


@then("after {seconds:d} seconds without a request its budget allows no retry")
def step_no_retry(context, seconds):
    now_ms = 1_000.0 * seconds
    n_routers = context.size.find_n_routers(now_ms)
    assert n_routers is None
    assert not context.budget.can_acquire(SERVICE, n_routers, now_ms)
    context.now_ms = now_ms


@then("each tenth of its requests may be sent again")
def step_tenth(context):
    n_retried = 0
    for number in range(100):
        now_ms = context.now_ms + number
        context.budget.record_request(SERVICE, now_ms)
        n_retried += context.budget.try_acquire(SERVICE, None, now_ms)
    assert n_retried in (9, 10), n_retried


def build_entry(number, heartbeat=1):
    return MemberEntry(f"r-{number}", 1, "bole", heartbeat)


@given("a fleet of {n:d} routers, of which {n_cut:d} are cut off from the others")
def step_cut_fleet(context, n, n_cut):
    context.others = range(n_cut + 1, n)
    context.tables = []
    for number in context.others:
        table = MemberTable(own=build_entry(number))
        for other in range(n):
            table.merge(build_entry(other), 0.0)
        for now_ms in range(400, 6_000, 400):
            for other in range(n_cut, n):
                table.merge(build_entry(other, now_ms), now_ms)
            table.expire(now_ms)
        assert table.n_members == n - n_cut, table.n_members
        context.tables.append(table)
    context.restarted = n_cut


@when("one of the {n:d} others starts again")
def step_starts_again(context, n):
    table = MemberTable(own=build_entry(context.restarted))
    for each in context.tables:
        table.merge(each.own, 7_000.0)
    context.size = FleetSize(own_address=table.own.address, started_at_ms=7_000.0)
    context.size.observe(table.addresses(), n_told=table.n_told)


@then("it divides the slack among {n:d}")
def step_divides(context, n):
    assert context.size.find_n_routers(10_000.0) == n


@given("a router that has known {n:d} routers and is alone now")
def step_lost_all(context, n):
    addresses = [f"r-{number}" for number in range(n)]
    context.size = FleetSize(own_address="r-0", seeds=addresses[:3], started_at_ms=0.0)
    context.size.observe(frozenset(addresses))
    context.size.observe(frozenset(addresses[:1]))


@when(
    "all are cut off from each other for {seconds:d} seconds and {rate:d} requests a "
    "second fail from {before:d} seconds before they meet"
)
def step_alone(context, seconds, rate, before):
    fleet = context.fleet = BudgetFleet(n=context.n, slack=context.slack)
    for number, router in enumerate(fleet.routers):
        router.island = number
    meet_ms = 1_000.0 * seconds
    fleet.run(rate, until_ms=meet_ms - 1_000 * before, is_failed=False)
    fleet.run(rate, until_ms=meet_ms)
    for router in fleet.routers:
        router.island = 0
    fleet.run(rate, until_ms=meet_ms + WINDOW_MS)


@when(
    "they are cut into {n:d} islands and all killed, and {rate:d} requests a second "
    "fail {seconds:d} seconds later"
)
def step_sides_start(context, n, rate, seconds):
    fleet = context.fleet = BudgetFleet(n=context.n, slack=context.slack)
    fleet.run(rate, until_ms=SETTLED_MS, is_failed=False)
    for number, router in enumerate(fleet.routers):
        router.island = number % n
        fleet.kill(router)
    fail_ms = SETTLED_MS + 1_000 * seconds
    fleet.run(rate, until_ms=fail_ms, is_failed=False)
    fleet.run(rate, until_ms=fail_ms + 2 * WINDOW_MS)


@then("in no window repeats are over the budget")
def step_fleet_within(context):
    worst = context.fleet.find_worst_window()
    assert worst is not None and worst.n_excess <= 0, worst
