"""Steps for the decisions of the owner."""

from behave import given, then, when

from damaskrill.admission import (
    CircuitBreaker,
    ColdStartRamp,
    ConcurrencyLimit,
    ServerLoad,
    multiple_of_mean,
)
from damaskrill.configuration import LimitSpec
from damaskrill.fairness import TeamShares
from damaskrill.messages import (
    AttemptRefused,
    BackendEnded,
    CacheEvents,
    CancelAttempt,
    DispatchAttempt,
    LoadReported,
    MembersChanged,
    OfferAttempt,
    PeerDelivered,
    SendToPeer,
)
from damaskrill.placement._cache_index import CacheIndex
from damaskrill.placement._spill_memory import SpillMemory
from features.support.builders import (
    build_member,
    build_request,
    build_server,
    build_team,
    build_text,
)
from features.support.single_router import SingleRouter

SENDER = build_member(9)


@then("the bound for a load sum of {load_sum:d} over {n:d} servers is {bound:d}")
def step_bound_is(context, load_sum, n, bound):
    found = multiple_of_mean(
        load_sum=load_sum, n_servers=n, multiple_percent=125, floor=2
    )
    assert found == bound, found


def build_report(load, *, at_ms, start_id="first", n_finished=0):
    return LoadReported(
        backend_server="dossier-review-1",
        start_id=start_id,
        load=load,
        measured_at_ms=at_ms,
        n_finished=n_finished,
    )


@given("a server with {n_own:d} requests of its owner sent before a report of {load:d}")
def step_load(context, n_own, load):
    context.load = ServerLoad()
    for _ in range(n_own):
        context.load.begin(100)
    context.load.handle_report(build_report(load, at_ms=200))


@when("{n:d} requests of its owner end")
def step_own_end(context, n):
    for _ in range(n):
        context.load.end(300)


@then("its load counts {load:d}")
def step_load_counts(context, load):
    assert context.load.load_at(400) == load


@given("a ramp from {cold:d} to {warm:d}")
def step_ramp(context, cold, warm):
    context.now_ms = 1_000
    context.ramp = ColdStartRamp(capacity=warm, cold_load=cold)
    context.ramp.handle_report(build_report(0, at_ms=0), min_own_load=0, now_ms=1)
    for _ in range(20):
        context.ramp.record_first_token(latency_ms=20, n_prompt_tokens=800, now_ms=2)


@when("{n:d} requests finish")
def step_requests_finish(context, n):
    context.now_ms += 1_000
    for _ in range(n):
        context.ramp.record_finished(context.now_ms)
    context.n_finished = n
    report = build_report(1, at_ms=context.now_ms, n_finished=n)
    context.ramp.handle_report(report, min_own_load=1, now_ms=context.now_ms)


@when("the server starts cold, shown by {sign}")
def step_starts_cold(context, sign):
    ramp = context.ramp
    at_ms = context.now_ms = context.now_ms + 1_000
    n_finished = context.n_finished
    match sign:
        case "start ID":
            report = build_report(0, at_ms=at_ms, start_id="second")
            assert ramp.handle_report(report, min_own_load=0, now_ms=at_ms)
        case "finished count":
            report = build_report(0, at_ms=at_ms, n_finished=1)
            assert ramp.handle_report(report, min_own_load=0, now_ms=at_ms)
        case "load of zero":
            report = build_report(0, at_ms=at_ms, n_finished=n_finished)
            assert ramp.handle_report(report, min_own_load=4, now_ms=at_ms)
        case "connection reset":
            assert ramp.record_reset(at_ms)
        case "first-token times":
            slow = {"latency_ms": 900, "n_prompt_tokens": 800, "now_ms": at_ms}
            assert any([ramp.record_first_token(**slow) for _ in range(3)])


@when("a later report shows the same start ID and {n:d} finished requests")
def step_later_report(context, n):
    context.now_ms += 1_000
    report = build_report(0, at_ms=context.now_ms, n_finished=n)
    context.ramp.handle_report(report, min_own_load=0, now_ms=context.now_ms)


@then("the ramp allows {load:d}")
def step_ramp_allows(context, load):
    found = context.ramp.bound_at(context.now_ms)
    assert found == load, found


@when("the server flaps {n_flaps:d} times and finishes {n:d} requests after each")
def step_flaps(context, n_flaps, n):
    context.bounds = []
    for flap in range(n_flaps):
        at_ms = 10_000 * (flap + 1)
        report = build_report(0, at_ms=at_ms, start_id=f"start-{flap}")
        context.ramp.handle_report(report, min_own_load=0, now_ms=at_ms)
        for _ in range(n):
            context.ramp.record_finished(at_ms + 1)
        context.bounds.append(context.ramp.bound_at(at_ms + 2))


@then("the ramp allowed less after each flap")
def step_allowed_less(context):
    bounds = context.bounds
    assert bounds == sorted(set(bounds), reverse=True), bounds
    assert bounds[-1] >= 2


@given("the circuit breaker of a server")
def step_circuit(context):
    context.circuit = CircuitBreaker()


@when("{n:d} consecutive requests fail")
def step_consecutive_failures(context, n):
    for each in range(n):
        context.circuit.record_failure(
            f"attempt-{each}", started_at_ms=each * 10, now_ms=each * 10 + 5
        )
    context.now_ms = (n - 1) * 10 + 5


@then("nothing is sent for {duration_ms:d} ms")
def step_circuit_open(context, duration_ms):
    assert context.circuit.remaining_open_ms(context.now_ms) == duration_ms


@then("one probe passes, and its failure doubles the open time")
def step_probe(context):
    circuit = context.circuit
    at_ms = context.now_ms + 1_000
    assert circuit.remaining_open_ms(at_ms) == 0
    circuit.record_start("probe")
    assert circuit.remaining_open_ms(at_ms) > 0
    circuit.record_failure("probe", started_at_ms=at_ms, now_ms=at_ms)
    assert circuit.remaining_open_ms(at_ms) == 2_000


@given("a concurrency limit of {cap:d}")
def step_limit(context, cap):
    context.limit = ConcurrencyLimit(
        cap=cap, first_token_objective_ms=630, between_tokens_objective_ms=31
    )


@when("{n:d} answers have {kind} tokens")
def step_answers(context, n, kind):
    for _ in range(n):
        context.limit.record_end(between_tokens_ms=60 if kind == "slow" else 20)


@then("the limit is below {limit:d}")
def step_limit_below(context, limit):
    assert 1 <= context.limit.limit < limit, context.limit.limit


@then("the limit is {limit:d} again")
def step_limit_again(context, limit):
    assert context.limit.limit == limit, context.limit.limit


def build_owner(**members_fields):
    server = build_server(1, bearable_load=8, cold_load=4)
    limits = LimitSpec(load_floor=4, max_queue_length=3)
    return SingleRouter(
        text=build_text(servers=[server], limits=limits), **members_fields
    )


@given("an owner of one server")
def step_owner(context):
    context.router = build_owner()
    context.n_offers = 0


@given("an owner of one server that has just been taken over")
def step_owner_taken_over(context):
    other = build_member(2, data_centre="sarbet")
    context.router = build_owner(others=(other,))
    context.n_offers = 0


def offer(context, *, remaining_ms=60_000, **fields):
    n = context.n_offers = context.n_offers + 1
    payload = OfferAttempt(
        attempt_id=f"offer-{n}",
        request=build_request(n, **fields),
        backend_server="dossier-review-1",
        remaining_ms=remaining_ms,
    )
    context.router.feed(PeerDelivered(sender=SENDER, payload=payload))
    return payload


def refusals(context):
    return [
        each.payload
        for each in context.router.all(SendToPeer)
        if isinstance(each.payload, AttemptRefused)
    ]


def codes_of(refusal):
    return [cause.code.value for cause in refusal.causes]


@when("another router offers {n:d} requests")
@when("another router offers {n:d} request")
def step_offer(context, n):
    for _ in range(n):
        offer(context)


@when("its view is no longer trusted")
def step_untrusted(context):
    own = (context.router.kernel.own,)
    context.router.feed(
        MembersChanged(members=own, n_listed=1, n_reachable=1, trusted=False)
    )


@when("it reaches {n_reachable:d} of {n_listed:d} routers")
def step_split(context, n_reachable, n_listed):
    own = (context.router.kernel.own,)
    context.router.feed(
        MembersChanged(members=own, n_listed=n_listed, n_reachable=n_reachable)
    )


@when("a load report of {load:d} arrives")
def step_report_arrives(context, load):
    context.router.now_ms += 700
    at_ms = context.router.now_ms - 100
    context.router.feed(build_report(load, at_ms=at_ms))


@then('the offers were refused because of "{code}"')
def step_offers_refused(context, code):
    assert [codes_of(each) for each in refusals(context)] == [[code]]
    assert not context.router.all(DispatchAttempt)


@then("{n:d} of the offers were dispatched")
def step_n_dispatched(context, n):
    found = len(context.router.all(DispatchAttempt))
    assert found == n, found


@when("the same offer arrives twice and another arrives after its cancellation")
def step_twice(context):
    payload = offer(context)
    context.router.feed(PeerDelivered(sender=SENDER, payload=payload))
    cancel = CancelAttempt(attempt_id="offer-2")
    context.router.feed(PeerDelivered(sender=SENDER, payload=cancel))
    offer(context)


@when("it offers one that has {remaining_ms:d} ms left")
def step_short_deadline(context, remaining_ms):
    offer(context)
    offer(context)
    context.short = offer(context, remaining_ms=remaining_ms)


@then('the last offer was refused immediately because of "{code}"')
def step_last_refused(context, code):
    refusal = refusals(context)[-1]
    assert refusal.attempt_id == context.short.attempt_id
    assert codes_of(refusal)[0] == code, refusal
    assert refusal.retry_after_ms > 0


@when("a surging team fills the queue and a request of another team arrives")
def step_surge_fills(context):
    for _ in range(7):
        offer(context, team="surging")
    context.quiet = offer(context, team="quiet")


@then('the surging team\'s newest request was refused because of "surge"')
def step_surge_refused(context):
    refusal = refusals(context)[-1]
    assert refusal.attempt_id == "offer-7", refusal
    assert "surge" in codes_of(refusal), refusal


@then("the request of the other team is served first when a slot is free")
def step_other_team_first(context):
    end_first(context)
    last = context.router.last(DispatchAttempt)
    assert last.attempt_id == context.quiet.attempt_id, last


def end_first(context):
    first = context.router.all(DispatchAttempt)[0].attempt_id
    context.router.feed(BackendEnded(attempt_id=first, n_bytes=1, digest="a"))


@when("requests of priority {low:d} and {high:d} wait")
def step_priorities_wait(context, low, high):
    offer(context)
    offer(context)
    offer(context, priority=low)
    context.urgent = offer(context, priority=high)


@then("the request of priority 1 is served first when a slot is free")
def step_priority_first(context):
    end_first(context)
    last = context.router.last(DispatchAttempt)
    assert last.attempt_id == context.urgent.attempt_id, last


@when("{n:d} teams have each had one request on a server")
def step_many_teams(context, n):
    context.shares = TeamShares()
    for each in range(n):
        team = build_team(f"team-{each}")
        context.shares.begin(team, each)
        context.shares.end(team.name, each)


@then("at most {n:d} teams are tracked")
def step_teams_tracked(context, n):
    assert context.shares.n_tracked <= n, context.shares.n_tracked


@when("{n_chats:d} chats have spilled and {n_blocks:d} blocks were stored")
def step_many_spills(context, n_chats, n_blocks):
    context.spills = SpillMemory()
    for each in range(n_chats):
        context.spills.record(f"chat-{each}", "engine-1")
    context.index = CacheIndex()
    context.index.record_sent(tuple(range(n_blocks)))


@then("at most {n_chats:d} chats and {n_blocks:d} blocks are stored")
def step_spills_stored(context, n_chats, n_blocks):
    assert len(context.spills) <= n_chats
    assert len(context.index) <= n_blocks
    assert context.spills.find("chat-99999") == "engine-1"


def cache_events(sequence, **fields):
    return CacheEvents(backend_server="engine-1", sequence=sequence, **fields)


@given("a cache index with blocks {first:d} to {last:d}")
def step_cache_index(context, first, last):
    context.blocks = tuple(range(first, last + 1))
    context.index = CacheIndex()
    context.index.handle_events(cache_events(1, stored=context.blocks))


@when("an event with a gap removes block {block:d}, and an older one arrives late")
def step_gap(context, block):
    context.index.handle_events(cache_events(5, removed=(block,)))
    context.index.handle_events(cache_events(3, stored=(block,)))


@when("{n:d} further gaps pass without any confirmation")
def step_further_gaps(context, n):
    for each in range(n):
        context.index.handle_events(cache_events(10 + 2 * each))


@then("{n:d} leading blocks are known")
def step_blocks_known(context, n):
    assert context.index.count_cached(context.blocks) == n
