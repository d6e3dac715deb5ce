"""Steps on the gateway's decisions, without sockets and on a virtual clock."""

import heapq
import os
import time
from collections import Counter, deque
from itertools import pairwise
from random import Random

import cbor2
from behave import given, then, when

from damaskrill.catalog import RequestKind, Route, ServiceShare
from damaskrill.catalog import ServiceSpec as Spec
from damaskrill.eventlog import LineSink
from damaskrill.exceptions import PeerFrameError
from damaskrill.feed import Change
from damaskrill.gateway._events import EventSplitter, parse_last_event_id
from damaskrill.mesh import (
    FeedUpdate,
    Gossip,
    Heartbeat,
    Hello,
    MemberEntry,
    MemberTable,
    decode,
    encode,
)
from damaskrill.steering import (
    RELAYED_BOUNDS,
    AnswerTimings,
    Candidate,
    ColdStartLimiter,
    ExecutionStatus,
    FailureReport,
    FleetRetryBudget,
    HealthTracker,
    HotKeys,
    LoadReport,
    PrefixIndex,
    PrefixReport,
    PromptPart,
    RetryState,
    ServerLoads,
    ServerOutcome,
    ServerSelector,
    find_latency_cause,
    is_region_allowed,
    may_retry,
)
from damaskrill.utils import rank_by_rendezvous
from features.support.builders import build_engine

N_RUNS = 200
WAY_MS = (0.2, 12.0)


def most_within(times, window_ms):
    """Return the most of some sorted times within any window."""
    recent = deque()
    most = 0
    for each in times:
        recent.append(each)
        while recent[0] <= each - window_ms:
            recent.popleft()
        most = max(most, len(recent))
    return most


@given("{n:d} routers that know each other and a cold server that bears 10 a second")
def step_cold_known(context, n):
    context.rate, context.started_ms = 10.0, -60_000.0
    context.routers = [f"r-{i}" for i in range(n)]
    context.members = frozenset(context.routers)


@given(
    "{n:d} routers that do not know each other yet and a cold server that bears "
    "13 a second"
)
def step_cold_unknown(context, n):
    context.rate, context.started_ms = 13.0, 0.0
    context.routers = [f"r-{i}" for i in range(n)]
    context.members = None


@when("all of them have work for it for {seconds:d} seconds in 200 seeded runs")
def step_cold_runs(context, seconds):
    spec = Spec(name="pool", cold_requests_per_s=context.rate)
    context.arrivals = []
    for seed in range(N_RUNS):
        random = Random(seed)
        server = build_engine(f"e-{seed}")
        gates = []
        for address in context.routers:
            gate = ColdStartLimiter(
                factor=1.5,
                slack=5,
                own_address=address,
                started_at_ms=context.started_ms,
            )
            gate.set_members(context.members or frozenset({address}))
            gates.append(gate)
        arrivals = []
        for _ in range(seconds * 100):
            now_ms = random.uniform(0, 10) + _ * 10
            gate = random.choice(gates)
            if gate.may_send(server, spec, now_ms):
                gate.record_sent(server, now_ms)
                arrivals.append(now_ms + random.uniform(*WAY_MS))
        context.arrivals.append(sorted(arrivals))


@then("in no second of any run does it get more than {limit:d} requests")
def step_cold_limit(context, limit):
    most = max(most_within(times, 1_000) for times in context.arrivals)
    assert most <= limit, most


@then("it gets work in every run")
def step_cold_work(context):
    assert all(context.arrivals)


@given("{n:d} routers that share a budget of 0.2 and 54 in 10 seconds")
def step_budget(context, n):
    context.budgets = [
        FleetRetryBudget(ratio=0.2, slack=54, window_ms=10_000) for _ in range(n)
    ]


@when("every one of 400 requests a second fails for 30 seconds")
def step_all_fail(context):
    random = Random(1)
    context.request_times, context.repeat_times = [], []
    for number in range(400 * 30):
        now_ms = number * 2.5
        budget = random.choice(context.budgets)
        budget.record_request("pool", now_ms)
        context.request_times.append(now_ms)
        if budget.try_acquire("pool", len(context.budgets), now_ms + 1):
            context.repeat_times.append(now_ms + 1)


@then("in no 10 seconds are there more repeats than the budget")
def step_budget_kept(context):
    for end_ms in range(10_000, 30_001, 500):
        start_ms = end_ms - 10_000
        n_requests = sum(start_ms < each <= end_ms for each in context.request_times)
        n_repeats = sum(start_ms < each <= end_ms for each in context.repeat_times)
        assert n_repeats <= 0.2 * n_requests + 54, (end_ms, n_repeats, n_requests)


@given("a server of which 45 of 100 requests fail and two that are good")
def step_grey(context):
    context.health = HealthTracker()
    context.failing_part = 0.45
    context.now_ms = 0.0


@when("60 requests a second go to those that are not left out for 20 seconds")
def step_grey_load(context):
    run_grey(context, 20)


@when("it is good for 20 seconds more")
def step_grey_good(context):
    context.failing_part = 0.0
    run_grey(context, 20)


def run_grey(context, seconds):
    random = Random(2)
    context.counts = Counter()
    for _ in range(60 * seconds):
        context.now_ms += 1_000 / 60
        left = [
            name
            for name in ("grey", "good-1", "good-2")
            if not context.health.is_ejected((name, 0), context.now_ms)
        ]
        name = random.choice(left)
        context.counts[name] += 1
        is_failed = name == "grey" and random.random() < context.failing_part
        outcome = ServerOutcome.BROKEN if is_failed else ServerOutcome.GOOD
        context.health.record((name, 0), outcome, context.now_ms)


@then("the failing server gets at most {n:d} of 100 requests")
def step_grey_few(context, n):
    assert context.counts["grey"] <= n / 100 * context.counts.total(), context.counts


@then("it gets at least {n:d} of 100 requests again")
def step_grey_back(context, n):
    assert context.counts["grey"] >= n / 100 * context.counts.total(), context.counts


@given("a server that refuses a connection")
def step_refusing(context):
    context.health = HealthTracker()
    context.health.record(("a", 0), ServerOutcome.NO_CONNECTION, 100.0)


@then("it is left out for at least {pause_ms:d} ms")
def step_left_out(context, pause_ms):
    assert context.health.is_ejected(("a", 0), 100.0 + pause_ms - 1)


@given("a server of which 5 of 100 requests fail")
def step_rarely(context):
    context.health = HealthTracker()


@when("1000 requests go to it")
def step_thousand(context):
    random = Random(3)
    context.n_left_out = 0
    for number in range(1_000):
        is_failed = random.random() < 0.05
        outcome = ServerOutcome.ERROR_STATUS if is_failed else ServerOutcome.GOOD
        context.n_left_out += context.health.record(("a", 0), outcome, number * 50.0)


@then("it has never been left out")
def step_never_out(context):
    assert context.n_left_out == 0


@given("5 engines without load")
def step_engines(context):
    context.servers = [build_engine(f"e-{i}") for i in range(5)]
    build_selector(context)


@given("a server in each of three data centres")
def step_three(context):
    context.servers = [
        build_engine(f"s-{i}", data_centre=f"centre-{i}", n_slots=6) for i in range(3)
    ]
    build_selector(context, "centre-1")


def build_selector(context, data_centre="bole"):
    context.loads = ServerLoads()
    context.selector = ServerSelector(
        loads=context.loads, own_data_centre=data_centre, random_state=Random(1)
    )


def place(context, keys=()):
    candidates = [Candidate(server=each) for each in context.servers]
    return context.selector.select(candidates, affinity_keys=keys, now_ms=0.0)


@when("40 requests for one dossier come one after the other")
def step_one_by_one(context):
    context.placed = [place(context, ("base", "dossier")) for _ in range(40)]


@then("all go to one engine")
def step_one_engine(context):
    assert len({each.key for each in context.placed}) == 1


@when("40 requests for one dossier come at once")
def step_at_once(context):
    context.placed = []
    for _ in range(40):
        server = place(context, ("base", "dossier"))
        context.loads.start(server.key)
        context.placed.append(server)


@then("no engine holds more than 1.8 times the mean plus 4")
def step_bound(context):
    counts = Counter(each.key for each in context.placed)
    assert max(counts.values()) <= 1.8 * 8 + 4, counts


@then("they go to the first engines of the order that all routers share")
def step_order(context):
    used = {each.server_id for each in context.placed}
    order = rank_by_rendezvous("dossier", [each.server_id for each in context.servers])
    assert used == set(order[: len(used)]), (used, order)


@when("a sixth engine comes")
def step_sixth(context):
    keys = [("base", f"dossier-{i}") for i in range(100)]
    before = [place(context, key).key for key in keys]
    context.servers.append(build_engine("e-new"))
    context.n_moved = sum(
        old != place(context, key).key for old, key in zip(before, keys, strict=True)
    )


@then("at most {n:d} of 100 dossiers move")
def step_moved(context, n):
    assert 0 < context.n_moved <= n, context.n_moved


@when("{n:d} requests come at once")
def step_plain(context, n):
    context.placed = []
    for _ in range(n):
        server = place(context)
        context.loads.start(server.key)
        context.placed.append(server)


@then("both go to the own data centre")
def step_near(context):
    assert {each.data_centre for each in context.placed} == {"centre-1"}


@then("the loads differ by at most 2")
def step_even(context):
    loads = [context.loads.n_own(each.key) for each in context.servers]
    assert max(loads) - min(loads) <= 2, loads


PROMPT = tuple(PromptPart(part_id=name, n_tokens=100) for name in ("base", "d", "own"))


def find_source(context, target, *, is_warm=False):
    return context.sources.find(PROMPT, target, context.servers, 0.0, is_warm=is_warm)


@when("a dossier's engine has just come")
def step_new_engine(context):
    context.sources = PrefixIndex()
    first = place(context, ("base", "d"))
    context.servers.remove(first)
    context.before = place(context, ("base", "d"))
    context.servers.append(first)
    context.source = find_source(context, first)


@then("the prefix is copied from the engine that had the dossier before")
def step_from_before(context):
    assert context.source.key == context.before.key


@when("a dossier spills to the next engine")
def step_spill(context):
    context.first = place(context, ("base", "d"))
    others = [each for each in context.servers if each is not context.first]
    context.source = find_source(context, others[0], is_warm=True)


@then("the prefix is copied from its first engine")
def step_from_first(context):
    assert context.source.key == context.first.key


@when("the engine is known to have read the dossier")
def step_known(context):
    context.sources.record_sent(PROMPT, context.first, 0.0)
    context.source = find_source(context, context.first)


@then("nothing is copied")
def step_nothing(context):
    assert context.source is None


@then("these attempts may go on as told")
def step_again(context):
    for row in context.table:
        route = Route(
            name="r",
            host="h",
            prefix="/",
            kind=RequestKind(row["kind"]),
            time_limit_ms=1_000,
            target_ms=100,
            priority=0,
            shares=(ServiceShare(service="s"),),
            max_servers=int(row["servers"]),
            is_resumable=row["resumable"] == "yes",
        )
        state = RetryState(
            n_servers=int(row["sent"]),
            end=ExecutionStatus(row["end"]),
            remaining_ms=500,
        )
        again = may_retry(route, state, min_remaining_ms=10)
        assert again == (row["again"] == "yes"), row


@when("a stream of 50 events comes in 300 random cuts")
def step_cuts(context):
    stream = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 51))
    context.last_ids, context.parts = [], []
    random = Random(4)
    for _ in range(300):
        splitter = EventSplitter()
        cuts = sorted(random.randrange(len(stream)) for _ in range(12))
        edges = [0, *cuts, len(stream)]
        parts = [splitter.feed(stream[start:end]) for start, end in pairwise(edges)]
        assert b"".join(parts) == stream and not splitter.remainder
        context.parts += [part for part in parts if part]
        context.last_ids.append(parse_last_event_id(next(p for p in parts[::-1] if p)))


@then("each part that is passed on ends with a whole event")
def step_whole_events(context):
    assert all(part.endswith(b"\n\n") for part in context.parts)


@then("the last event's number is read")
def step_last_number(context):
    assert set(context.last_ids) == {50}


@then("every kind of message is the same after encoding and decoding")
def step_frames(context):
    entry = MemberEntry("10.0.0.1:9", 5, "bole", 3)
    change = Change(key="k", value=b"v" * 3_000, revision=9)
    removal = Change(key="gone", value=None, revision=10)
    for frame in (
        Hello(entry=entry),
        Heartbeat(
            revision=7,
            age_ms=-1,
            entries=(entry,),
            loads=(LoadReport(5, 3, 90),),
            n_requests=1.5,
            key_counts=((7, 2.5),),
        ),
        FeedUpdate(after=0, revision=10, changes=(change, removal)),
        Gossip(
            age_ms=40,
            loads=(LoadReport(5, 3, 90),),
            prefixes=(PrefixReport(7, 5, 90),),
            failures=(FailureReport(7, 5, 2**32 - 1, 9, 2, 1, 90),),
        ),
    ):
        assert decode(encode(frame)) == frame


@then("{n:d} random messages are refused with a typed error")
def step_random_frames(context, n):
    random = Random(5)
    for _ in range(n):
        try:
            decode(random.randbytes(random.randrange(40)))
        except PeerFrameError:
            continue
        raise AssertionError("a random message was taken")


@then("a load that a server states beyond all measure is told as the largest number")
def step_huge_load(context):
    huge = LoadReport(5, 10**15, 90)
    for frame in (
        Gossip(loads=(huge,)),
        Heartbeat(revision=1, age_ms=0, loads=(huge,)),
    ):
        assert decode(encode(frame)).loads == (LoadReport(5, 2**32 - 1, 90),)


@then("news that are cut off or of other types are refused with a typed error")
def step_bad_news(context):
    whole = encode(Gossip(prefixes=(PrefixReport(7, 5, 90), PrefixReport(8, 5, 90))))
    frames = [whole[:length] for length in range(len(whole))]
    triple = bytes(12)
    frames += [
        cbor2.dumps(content)
        for content in (
            ["n", 5, triple[:-1], b"", b""],
            ["n", 5, b"", triple + b"1", b""],
            ["n", 5, b"", b"", triple],
            ["n", 5, b"", b""],
            ["n", "5", b"", b"", b""],
            ["n", 5, [1, 2, 3], b""],
            ["n", 5, b""],
        )
    ]
    for data in frames:
        try:
            decode(data)
        except PeerFrameError:
            continue
        raise AssertionError(f"the news {data!r} were taken")


@given("{n:d} routers in {n_centres:d} data centres")
def step_members(context, n, n_centres):
    entries = [
        MemberEntry(f"10.0.{i}.1:80", 1, f"centre-{i % n_centres}", 1) for i in range(n)
    ]
    context.tables = []
    for own in entries:
        table = MemberTable(own=own)
        for entry in entries:
            table.merge(entry, 0.0)
        context.tables.append(table)


@then("2 of them read the store")
def step_readers(context):
    context.readers = [each.own for each in context.tables if each.is_reader()]
    assert len(context.readers) == 2, context.readers


@then("they stand in {n:d} data centres")
def step_reader_centres(context, n):
    assert len({each.data_centre for each in context.readers}) == n


@then("the links join all routers")
def step_links(context):
    links = {}
    for table in context.tables:
        for address in table.wanted_links():
            links.setdefault(table.own.address, set()).add(address)
            links.setdefault(address, set()).add(table.own.address)
    reached, waiting = set(), [context.tables[0].own.address]
    while waiting:
        address = waiting.pop()
        if address not in reached:
            reached.add(address)
            waiting += links.get(address, ())
    assert len(reached) == len(context.tables), len(reached)


@given("a pipe that nobody reads")
def step_pipe(context):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    context.sink = LineSink(descriptor=writer, max_lines_per_s=1_000_000)


@when("{n:d} lines are written to it")
def step_lines(context, n):
    started = time.monotonic()
    for number in range(n):
        line = {"event": "x", "at_ms": number, "detail": "y" * 100}
        context.sink.write(line, is_important=True)
    context.took_ms = (time.monotonic() - started) * 1_000


@then("it took less than {limit_ms:d} ms")
def step_took(context, limit_ms):
    assert context.took_ms < limit_ms, context.took_ms


@then("the lines that were left out are counted")
def step_counted(context):
    assert context.sink.n_dropped > 0


@given("a server that acknowledges nothing on a connection")
def step_silent_connection(context):
    context.health = HealthTracker()
    context.health.record(("a", 0), ServerOutcome.SILENT_CONNECTION, 100.0)


@given("servers in two regions and a route and a team with regions of their own")
def step_regions(context):
    context.region_of = {"bole": "addis", "nord": "freistaat", "sued": "freistaat"}
    context.allowed = lambda route_regions, team_regions: [
        centre
        for centre in context.region_of
        if is_region_allowed(
            context.region_of[centre],
            route_regions=route_regions,
            team_regions=team_regions,
        )
    ]


@then("only servers in regions of both get the team's requests")
def step_both_regions(context):
    addis, both = frozenset({"addis"}), frozenset({"addis", "freistaat"})
    assert context.allowed(addis, both) == ["bole"]
    assert context.allowed(both, frozenset({"freistaat"})) == ["nord", "sued"]
    assert context.allowed(addis, frozenset({"freistaat"})) == []
    assert context.allowed(frozenset(), addis) == ["bole"]


@then("a request that neither binds may go to all")
def step_no_regions(context):
    assert len(context.allowed(frozenset(), frozenset())) == 3


@given(
    "77 routers before 30 engines that tell each other each {tell_ms:d} ms what "
    "servers said"
)
def step_telling_fleet(context, tell_ms):
    context.is_telling, context.tell_ms = True, tell_ms


@given("77 routers before 30 engines that tell each other nothing")
def step_silent_fleet(context):
    context.is_telling = False


@when(
    "190 requests a second of 700 ms come for 10 s, 15 of 100 for one dossier, 8 times"
)
def step_hot_dossier(context):
    context.n_all = context.n_above = 0
    for seed in range(6, 14):
        play_hot_dossier(context, Random(seed))


def play_hot_dossier(context, random):
    servers = [build_engine(f"e-{i}") for i in range(30)]
    fleet = [build_telling_router(servers, random) for _ in range(77)]
    candidates = [Candidate(server=each) for each in servers]
    running, ends, told_at_ms, marks = Counter(), [], 0.0, {}
    for number in range(1_900):
        now_ms = 1_000 + number * 1_000 / 190
        while ends and ends[0][0] <= now_ms:
            _, loads, key = heapq.heappop(ends)
            running[key] -= 1
            loads.end(key)
        if context.is_telling and now_ms - told_at_ms >= context.tell_ms:
            tell_neighbours(fleet, marks, now_ms)
            told_at_ms = now_ms
        is_hot = random.random() < 0.15
        dossier = "hot" if is_hot else f"d-{random.randrange(200)}"
        loads, selector, _ = random.choice(fleet)
        server = selector.select(
            candidates,
            affinity_keys=("base", dossier),
            now_ms=now_ms,
            bounds=RELAYED_BOUNDS,
        )
        running[server.key] += 1
        loads.start(server.key)
        loads.observe_load(server.key, running[server.key], now_ms)
        duration_ms = random.uniform(400, 1_000)
        heapq.heappush(ends, (now_ms + duration_ms, _Ordered(loads), server.key))
        if now_ms < 3_000:
            # The dossier has just become hot; the rule looks at five seconds.
            continue
        mean = running.total() / len(servers)
        context.n_all += 1
        context.n_above += running[server.key] > 2 * mean + 3


@when("104 requests a second come for 11 s and 10 engines may get nothing, 6 times")
def step_third_out(context):
    context.n_all = context.n_above = 0
    for seed in range(6):
        play_third_out(context, Random(seed))


def draw_stream(random):
    # Requests of abay-spec-grown: reviews, checks, and chats that last longer.
    part = random.random()
    if part < 0.83:
        kind, n_keys = ("review", 203) if part < 0.386 else ("check", 522)
        return f"{kind}-{random.randrange(n_keys)}", random.uniform(150, 500)
    return f"chat-{random.randrange(348)}", random.uniform(800, 2_200)


def play_third_out(context, random):
    servers = [build_engine(f"e-{i}") for i in range(30)]
    fleet = [build_telling_router(servers, random) for _ in range(77)]
    candidates = [Candidate(server=each) for each in servers[10:]]
    running, told_at_ms, marks = Counter(), 0.0, {}
    heads, ends = [], []
    for number in range(104 * 11):
        now_ms = 1_000 + number * 1_000 / 104
        while ends and ends[0][0] <= now_ms:
            _, _, loads, key = heapq.heappop(ends)
            running[key] -= 1
            loads.end(key)
        while heads and heads[0][0] <= now_ms:
            _, _, loads, key = heapq.heappop(heads)
            loads.observe_load(key, running[key], now_ms)
        if now_ms - told_at_ms >= context.tell_ms:
            tell_neighbours(fleet, marks, now_ms)
            told_at_ms = now_ms
        dossier, duration_ms = draw_stream(random)
        loads, selector, _ = random.choice(fleet)
        server = selector.select(
            candidates,
            affinity_keys=("base", dossier),
            now_ms=now_ms,
            all_servers=servers,
            bounds=RELAYED_BOUNDS,
        )
        running[server.key] += 1
        loads.start(server.key)
        # The first event comes some 60 ms after the request, with the load of then.
        heapq.heappush(heads, (now_ms + 60, number, loads, server.key))
        heapq.heappush(ends, (now_ms + duration_ms, number, loads, server.key))
        if now_ms < 3_000:
            continue
        context.n_all += 1
        limit = 2 * running.total() / len(servers) + 3
        context.n_above += running[server.key] > limit


def build_telling_router(servers, random):
    loads, hot_keys = ServerLoads(), HotKeys()
    for server in servers:
        loads.register_server(server.key)
    selector = ServerSelector(
        loads=loads, own_data_centre="bole", random_state=random, hot_keys=hot_keys
    )
    return loads, selector, hot_keys


def tell_neighbours(fleet, marks, now_ms):
    # Counts of keys go with beats, which are half as frequent; what is heard in one
    # turn goes on in the next.
    marks["turn"] = marks.get("turn", 0) + 1
    told = []
    for number, (loads, _, hot_keys) in enumerate(fleet):
        for step in (1, 19, 33, -1, -19, -33):
            hearer = (number + step) % len(fleet)
            news, marks[number, hearer] = loads.reports_after(
                marks.get((number, hearer), 0), now_ms=now_ms, exclude_link=str(hearer)
            )
            counts = hot_keys.local_counts(now_ms) if marks["turn"] % 2 else None
            told.append((number, hearer, news, counts))
    for teller, hearer, news, counts in told:
        loads, _, hot_keys = fleet[hearer]
        loads.apply_reports(news, now_ms=now_ms, source=str(teller))
        if counts is not None:
            hot_keys.apply_counts(str(teller), counts, now_ms)


class _Ordered:
    """Loads that can stand in a heap beside others of the same time."""

    def __init__(self, loads):
        self._loads = loads

    def __lt__(self, other):
        return id(self) < id(other)

    def end(self, key):
        self._loads.end(key)


@then("at most 3 of 100 requests reach an engine above 2 times the mean plus 3")
def step_few_above(context):
    assert context.n_above <= 0.03 * context.n_all, (context.n_above, context.n_all)


@then("more than 3 of 100 requests reach an engine above 2 times the mean plus 3")
def step_many_above(context):
    assert context.n_above > 0.03 * context.n_all, (context.n_above, context.n_all)


@given("30 engines of which 10 may get nothing")
def step_ten_out(context):
    context.whole = [build_engine(f"e-{i}") for i in range(30)]
    context.servers = context.whole[10:]
    build_selector(context)


@when("300 requests run, 23 of them at one engine, and its dossier is asked for")
def step_uneven(context):
    candidates = [Candidate(server=each) for each in context.servers]

    def place_whole():
        return context.selector.select(
            candidates,
            affinity_keys=("base", "dossier"),
            now_ms=0.0,
            all_servers=context.whole,
        )

    home = place_whole()
    others = [each for each in context.servers if each.key != home.key]
    for number in range(277):
        context.loads.start(others[number % len(others)].key)
    for _ in range(23):
        context.loads.start(home.key)
    context.loads.start(place_whole().key)


@then("no engine holds more than 2 times the mean of all 30 plus 3")
def step_whole_bound(context):
    counts = [context.loads.n_own(each.key) for each in context.servers]
    assert max(counts) <= 2 * 301 / 30 + 3, counts


@given(
    "an answer sent after {sent:d} ms, first seen after {first:d} ms, "
    "paused for {pause:d} ms"
)
def step_times(context, sent, first, pause):
    context.times = AnswerTimings(sent_ms=sent, first_ms=first, longest_pause_ms=pause)


@then("with a target of 400 ms, pauses of 300 ms and {n:d} tries it is {cause}")
def step_late_cause(context, n, cause):
    found = find_latency_cause(context.times, target_ms=400, max_pause_ms=300, n_sent=n)
    assert ("in time" if found is None else found.value) == cause, found


@given("three routers in a row that know two servers")
def step_row_of_three(context):
    context.servers = [build_engine("e-1"), build_engine("e-2")]
    context.row = [ServerLoads() for _ in range(3)]
    for loads in context.row:
        for server in context.servers:
            loads.register_server(server.key)


@when(
    "a server answers the first router and the other one the middle router 30 ms later"
)
def step_two_answers(context):
    context.row[0].observe_load(context.servers[0].key, 7, 1_000.0)
    context.row[1].observe_load(context.servers[1].key, 9, 1_030.0)


@when("the routers tell each other 10 times, each time 4 ms on the way")
def step_tell_ten_times(context):
    context.n_carried = Counter()
    marks = dict.fromkeys(((1, 0), (1, 2), (0, 1), (2, 1)), 0)
    for turn in range(10):
        now_ms = 1_050.0 + 100 * turn
        for teller, hearer in marks:
            news, marks[teller, hearer] = context.row[teller].reports_after(
                marks[teller, hearer], now_ms=now_ms, exclude_link=str(hearer)
            )
            # It took 4 ms, which the age does not tell.
            context.row[hearer].apply_reports(
                news, now_ms=now_ms + 4, source=str(teller)
            )
            context.n_carried.update((teller, hearer, each.load_id) for each in news)


@then("the last router knows both loads")
def step_both_known(context):
    loads = [context.row[2].estimate(each.key, 1_100.0) for each in context.servers]
    assert loads[0] > 6 and loads[1] > 8, loads


@then("each link has carried each statement at most once")
def step_carried_once(context):
    assert max(context.n_carried.values()) == 1, context.n_carried
