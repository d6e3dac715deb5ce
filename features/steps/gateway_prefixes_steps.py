"""Steps for the prefix index and the prefix reports between routers."""

from random import Random

from attrs import define, field, frozen
from behave import given, then, when

from damaskrill.steering import (
    Candidate,
    PrefixIndex,
    PromptPart,
    ServerLoads,
    ServerSelector,
)
from damaskrill.utils import rank_by_rendezvous
from features.support.builders import build_engine

SEED = 11


def build_prompt(dossier, own="own"):
    return tuple(
        PromptPart(part_id=name, n_tokens=n_tokens)
        for name, n_tokens in (("base", 300), (f"dossier-{dossier}", 2_000), (own, 400))
    )


def send_reports(
    sender, receiver, *, name="sender", after=0, include_relayed=True, now_ms=0.0
):
    reports, last = sender.reports_after(
        after, now_ms=now_ms, include_relayed=include_relayed
    )
    receiver.apply_reports(reports, now_ms=now_ms, source=name)
    return reports, last


@given("two routers in front of 12 engines")
def step_two_routers(context):
    context.engines = [build_engine(f"e-{i}") for i in range(12)]
    context.one, context.other = PrefixIndex(), PrefixIndex()


@when("one router sends a dossier to an engine and publishes it to the other")
def step_sends(context):
    order = rank_by_rendezvous(
        "dossier-1", {each.server_id: each for each in context.engines}
    )
    by_id = {each.server_id: each for each in context.engines}
    # Neither the first nor the second in rendezvous order, which the other router
    # would guess.
    context.holder, context.target = by_id[order[5]], by_id[order[0]]
    context.one.record_sent(build_prompt(1), context.holder, 0.0)
    send_reports(context.one, context.other)


@then("the other router selects this engine as the source of a copy")
def step_selects_source(context):
    source = context.other.find(
        build_prompt(1), context.target, context.engines, 100.0, is_warm=True
    )
    assert source.key == context.holder.key


@then("an engine in the data centre of the target is the preferred source")
def step_same_data_centre(context):
    target = build_engine("t", data_centre="nord")
    remote = build_engine("far", data_centre="sued")
    local = build_engine("near", data_centre="nord")
    for engine in (remote, local):
        context.other.record_sent(build_prompt(2), engine, 0.0)
    for holders in ([remote, local], [local, remote]):
        source = context.other.find(build_prompt(2), target, holders, 100.0)
        assert source.key == local.key


@given("three routers in a chain, of which the middle one relays reports")
def step_chain(context):
    context.chain = [PrefixIndex() for _ in range(3)]
    context.cursors = dict.fromkeys(((0, 1), (1, 0), (1, 2), (2, 1)), 0)
    context.n_received = {0: 0, 2: 0}


def relay_reports(context, now_ms):
    for (sender, receiver), after in context.cursors.items():
        reports, last = context.chain[sender].reports_after(
            after, now_ms=now_ms, exclude_link=str(receiver)
        )
        context.cursors[sender, receiver] = last
        context.chain[receiver].apply_reports(
            reports, now_ms=now_ms, source=str(sender)
        )
        if receiver in context.n_received:
            context.n_received[receiver] += sum(
                each.part == context.dossier_part for each in reports
            )


def send_from_first(context, now_ms):
    engine = build_engine("e")
    context.chain[0].record_sent(build_prompt(1), engine, now_ms)
    reports, _ = context.chain[0].reports_after(0, now_ms=now_ms)
    context.dossier_part = reports[1].part
    relay_reports(context, now_ms)
    relay_reports(context, now_ms)


@when("the first one sends the same dossier to an engine 40 times in 4 s")
def step_forty(context):
    for number in range(40):
        send_from_first(context, number * 100.0)


@when("20 s later the first one sends the dossier again")
def step_later(context):
    send_from_first(context, 24_000.0)


@then("the last one has received one report of it and the first one none")
def step_once(context):
    assert context.n_received == {0: 0, 2: 1}, context.n_received


@then("the last one has received two reports of it")
def step_twice(context):
    assert context.n_received == {0: 0, 2: 2}, context.n_received


@when("one router sends a dossier to all 12 engines")
def step_all_engines(context):
    for engine in context.engines:
        context.one.record_sent(build_prompt(1), engine, 0.0)


@then("it publishes 3 of them")
def step_publishes_three(context):
    reports, _ = context.one.reports_after(0, now_ms=0.0)
    parts = [each.part for each in reports]
    assert {parts.count(each) for each in parts} == {3}, parts


@given("a router that has recorded 5000 prefixes")
def step_many(context):
    context.one = PrefixIndex()
    for number in range(5_000):
        prompt = build_prompt(number)
        context.one.record_sent(prompt[1:], build_engine("e"), float(number))


@then("a new link gets the latest 512 of them")
def step_latest(context):
    reports, last = context.one.reports_after(0, now_ms=5_000.0)
    assert len(reports) == 512, len(reports)
    assert reports[-1].age_ms == 1
    assert context.one.reports_after(last, now_ms=5_000.0)[0] == []


@frozen
class MembershipEvent:
    """Time in milliseconds at which an engine joins or leaves."""

    at_ms: float
    is_join: bool


@define(kw_only=True)
class EngineCaches:
    """Parts that each engine has, since when, and the tokens processed again."""

    cached: dict = field(factory=dict)
    seen: set = field(factory=set)
    n_reusable: int = 0
    n_recomputed: int = 0

    def serve(self, prompt, target, source, now_ms):
        """Count the tokens of shared parts that an engine must process itself."""
        own = self.cached.setdefault(target.key, {})
        other = self.cached.get(source.key, {}) if source is not None else {}
        has_prefix = True
        for part in prompt[:-1]:
            cached_at_ms = own.get(part.part_id, other.get(part.part_id))
            has_prefix = (
                has_prefix and cached_at_ms is not None and cached_at_ms <= now_ms
            )
            is_cached = any(
                cached.get(part.part_id, now_ms + 1) <= now_ms
                for cached in self.cached.values()
            )
            if is_cached:
                self.n_reusable += part.n_tokens
                self.n_recomputed += 0 if has_prefix else part.n_tokens
            # Prefill speed of the users' engines: 51 tokens per millisecond.
            own.setdefault(part.part_id, now_ms + 50 + part.n_tokens / 51)


@given("77 routers that exchange prefix reports every 200 ms")
def step_gossiping(context):
    context.has_gossip = True


@given("77 routers that exchange no prefix reports")
def step_isolated(context):
    context.has_gossip = False


@when(
    "190 requests per second arrive for 30 s, while 9 of 30 engines leave and 14 join"
)
def step_changing(context):
    random = Random(SEED)
    fleet = [PrefixIndex() for _ in range(77)]
    cursors = {}
    live = {f"e-{i}": build_engine(f"e-{i}") for i in range(30)}
    events = [MembershipEvent(6_000.0 + i * 1_500, False) for i in range(9)]
    events += [MembershipEvent(6_500.0 + i * 1_100, True) for i in range(14)]
    events.sort(key=lambda each: each.at_ms)
    context.engines = EngineCaches()
    joined_at_ms, exchanged_at_ms = {}, 0.0
    for number in range(30 * 190):
        now_ms = number * 1_000 / 190
        while events and events[0].at_ms <= now_ms:
            change_engines(events.pop(0), live, joined_at_ms, context.engines, random)
        if context.has_gossip and now_ms - exchanged_at_ms >= 200:
            exchange_reports(fleet, cursors, now_ms)
            exchanged_at_ms = now_ms
        kind, n_kinds = random.choice(((0, 203), (1, 522), (2, 348)))
        dossier = f"{kind}-{random.randrange(n_kinds)}"
        prompt = build_prompt(dossier)
        order = rank_by_rendezvous(prompt[-2].part_id, live)
        # For one request in seven, the first engine is at its load bound.
        target = live[order[1 if random.random() < 1 / 7 else 0]]
        router = random.choice(fleet)
        is_warm = now_ms - joined_at_ms.get(target.server_id, -60_000.0) > 10_000
        source = router.find(
            prompt, target, list(live.values()), now_ms, is_warm=is_warm
        )
        router.record_sent(prompt, target, now_ms)
        context.engines.serve(prompt, target, source, now_ms)


def change_engines(event, live, joined_at_ms, engines, random):
    if event.is_join:
        name = f"new-{len(joined_at_ms)}"
        live[name] = build_engine(name)
        joined_at_ms[name] = event.at_ms
        return
    removed = live.pop(random.choice(sorted(each for each in live if each[0] == "e")))
    engines.cached.pop(removed.key, None)


def exchange_reports(fleet, cursors, now_ms):
    # Reports received in one round are relayed in the next.
    messages = []
    for number in range(len(fleet)):
        for step in (1, 19, 33):
            other = (number + step) % len(fleet)
            for sender, receiver in ((number, other), (other, number)):
                reports, last = fleet[sender].reports_after(
                    cursors.get((sender, receiver), 0),
                    now_ms=now_ms,
                    exclude_link=str(receiver),
                )
                cursors[sender, receiver] = last
                messages.append((sender, receiver, reports))
    for sender, receiver, reports in messages:
        fleet[receiver].apply_reports(reports, now_ms=now_ms, source=str(sender))


def find_reuse_rate(context):
    engines = context.engines
    return 1 - engines.n_recomputed / engines.n_reusable


@then("the fleet reuses at least 95 of 100 shared tokens that it could")
def step_high_reuse(context):
    assert find_reuse_rate(context) >= 0.95, find_reuse_rate(context)


@then("the fleet reuses less than 95 of 100 shared tokens that it could")
def step_low_reuse(context):
    assert find_reuse_rate(context) < 0.95, find_reuse_rate(context)


@when(
    "one router sends other dossiers to 11 engines, one to the last, and publishes "
    "them to the other"
)
def step_last_engine(context):
    for number, engine in enumerate(context.engines):
        context.one.record_sent(build_prompt(number), engine, 0.0)
    send_reports(context.one, context.other)


@then("the other router selects the last engine as the source of a copy")
def step_selects_last(context):
    source = context.other.find(
        build_prompt(11), context.engines[0], context.engines, 100.0, is_warm=True
    )
    assert source.key == context.engines[11].key


@given("10 engines and 200 dossiers that were each sent to an engine")
def step_selected(context):
    context.engines = [build_engine(f"e-{i}") for i in range(10)]
    context.loads, context.sources = ServerLoads(), PrefixIndex()
    context.selector = ServerSelector(
        loads=context.loads, own_data_centre="bole", random_state=Random(SEED)
    )
    context.selected = [select_for_dossier(context, each) for each in range(200)]


def select_for_dossier(context, number):
    prompt = build_prompt(number)
    part_id = prompt[-2].part_id
    server = context.selector.select(
        [Candidate(server=each) for each in context.engines],
        affinity_keys=("base", part_id),
        now_ms=0.0,
        has_prefix=lambda each: context.sources.has_cached(part_id, each.key, 0.0),
    )
    context.sources.record_sent(prompt, server, 0.0)
    return server


@when("3 engines join and each dossier is requested again")
def step_three_join(context):
    context.engines += [build_engine(f"new-{i}") for i in range(3)]
    context.reselected = [select_for_dossier(context, each) for each in range(200)]


@then("each dossier is sent to the engine that has it")
def step_same_engines(context):
    assert context.reselected == context.selected


@when("the engine of a dossier has 9 requests more than the others")
def step_overloaded(context):
    for _ in range(9):
        context.loads.start(context.selected[0].key)


@then(
    "the dossier is sent to another engine, and to this one again when an engine joins"
)
def step_second_engine(context):
    second = select_for_dossier(context, 0)
    assert second != context.selected[0]
    context.engines.append(build_engine("new-3"))
    assert select_for_dossier(context, 0) == second
