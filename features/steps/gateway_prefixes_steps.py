"""Steps on where prompt prefixes are, as routers tell each other."""

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


def tell(teller, hearer, *, name="teller", after=0, include_relayed=True, now_ms=0.0):
    news, last = teller.reports_after(
        after, now_ms=now_ms, include_relayed=include_relayed
    )
    hearer.apply_reports(news, now_ms=now_ms, source=name)
    return news, last


@given("two routers before 12 engines")
def step_two_routers(context):
    context.engines = [build_engine(f"e-{i}") for i in range(12)]
    context.one, context.other = PrefixIndex(), PrefixIndex()


@when("one router sends a dossier to an engine and tells the other")
def step_sends(context):
    order = rank_by_rendezvous(
        "dossier-1", {each.server_id: each for each in context.engines}
    )
    by_id = {each.server_id: each for each in context.engines}
    # Neither the first nor the second in order, which the other would guess.
    context.holder, context.target = by_id[order[5]], by_id[order[0]]
    context.one.record_sent(build_prompt(1), context.holder, 0.0)
    tell(context.one, context.other)


@then("the other router names this engine as the source of a copy")
def step_names_it(context):
    source = context.other.find(
        build_prompt(1), context.target, context.engines, 100.0, is_warm=True
    )
    assert source.key == context.holder.key


@then("a copy from an engine in the data centre of the target goes first")
def step_near(context):
    target = build_engine("t", data_centre="nord")
    far = build_engine("far", data_centre="sued")
    near = build_engine("near", data_centre="nord")
    for engine in (far, near):
        context.other.record_sent(build_prompt(2), engine, 0.0)
    for holders in ([far, near], [near, far]):
        source = context.other.find(build_prompt(2), target, holders, 100.0)
        assert source.key == near.key


@given("three routers in a row, of which the middle one passes news on")
def step_row(context):
    context.row = [PrefixIndex() for _ in range(3)]
    context.marks = dict.fromkeys(((0, 1), (1, 0), (1, 2), (2, 1)), 0)
    context.n_heard = {0: 0, 2: 0}


def pass_on(context, now_ms):
    for (teller, hearer), after in context.marks.items():
        news, last = context.row[teller].reports_after(
            after, now_ms=now_ms, exclude_link=str(hearer)
        )
        context.marks[teller, hearer] = last
        context.row[hearer].apply_reports(news, now_ms=now_ms, source=str(teller))
        if hearer in context.n_heard:
            context.n_heard[hearer] += sum(
                each.part == context.dossier_part for each in news
            )


def send_from_first(context, now_ms):
    engine = build_engine("e")
    context.row[0].record_sent(build_prompt(1), engine, now_ms)
    news, _ = context.row[0].reports_after(0, now_ms=now_ms)
    context.dossier_part = news[1].part
    pass_on(context, now_ms)
    pass_on(context, now_ms)


@when("the first one sends the same dossier to an engine 40 times in 4 s")
def step_forty(context):
    for number in range(40):
        send_from_first(context, number * 100.0)


@when("20 s later the first one sends the dossier again")
def step_later(context):
    send_from_first(context, 24_000.0)


@then("the last one has heard of it once and the first one nothing")
def step_once(context):
    assert context.n_heard == {0: 0, 2: 1}, context.n_heard


@then("the last one has heard of it twice")
def step_twice(context):
    assert context.n_heard == {0: 0, 2: 2}, context.n_heard


@when("one router sends a dossier to all 12 engines")
def step_all_engines(context):
    for engine in context.engines:
        context.one.record_sent(build_prompt(1), engine, 0.0)


@then("it tells of 3 of them")
def step_tells_three(context):
    news, _ = context.one.reports_after(0, now_ms=0.0)
    parts = [each.part for each in news]
    assert {parts.count(each) for each in parts} == {3}, parts


@given("a router that has heard of 5000 prefixes")
def step_many(context):
    context.one = PrefixIndex()
    for number in range(5_000):
        prompt = build_prompt(number)
        context.one.record_sent(prompt[1:], build_engine("e"), float(number))


@then("a new link gets the latest 512 of them")
def step_latest(context):
    news, last = context.one.reports_after(0, now_ms=5_000.0)
    assert len(news) == 512, len(news)
    assert news[-1].age_ms == 1
    assert context.one.reports_after(last, now_ms=5_000.0)[0] == []


@frozen
class Event:
    """Time in milliseconds at which an engine comes or goes."""

    at_ms: float
    is_coming: bool


@define(kw_only=True)
class Engines:
    """What each engine has, when it is complete, and what was read again."""

    held: dict = field(factory=dict)
    seen: set = field(factory=set)
    n_reusable: int = 0
    n_again: int = 0

    def serve(self, prompt, target, source, now_ms):
        """Count the tokens of shared parts that an engine must read itself."""
        own = self.held.setdefault(target.key, {})
        other = self.held.get(source.key, {}) if source is not None else {}
        has_prefix = True
        for part in prompt[:-1]:
            known = own.get(part.part_id, other.get(part.part_id))
            has_prefix = has_prefix and known is not None and known <= now_ms
            is_held = any(
                held.get(part.part_id, now_ms + 1) <= now_ms
                for held in self.held.values()
            )
            if is_held:
                self.n_reusable += part.n_tokens
                self.n_again += 0 if has_prefix else part.n_tokens
            # The speed of the users' engines: 51 tokens a millisecond.
            own.setdefault(part.part_id, now_ms + 50 + part.n_tokens / 51)


@given("77 routers that tell each other each 200 ms which prefixes engines have")
def step_telling(context):
    context.is_telling = True


@given("77 routers that tell each other nothing of prefixes")
def step_silent(context):
    context.is_telling = False


@when("190 requests a second come for 30 s, while 9 of 30 engines leave and 14 come")
def step_changing(context):
    random = Random(SEED)
    fleet = [PrefixIndex() for _ in range(77)]
    marks = {}
    live = {f"e-{i}": build_engine(f"e-{i}") for i in range(30)}
    events = [Event(6_000.0 + i * 1_500, False) for i in range(9)]
    events += [Event(6_500.0 + i * 1_100, True) for i in range(14)]
    events.sort(key=lambda each: each.at_ms)
    context.engines = Engines()
    came_at_ms, told_at_ms = {}, 0.0
    for number in range(30 * 190):
        now_ms = number * 1_000 / 190
        while events and events[0].at_ms <= now_ms:
            change_engines(events.pop(0), live, came_at_ms, context.engines, random)
        if context.is_telling and now_ms - told_at_ms >= 200:
            tell_all(fleet, marks, now_ms)
            told_at_ms = now_ms
        kind, n_kinds = random.choice(((0, 203), (1, 522), (2, 348)))
        dossier = f"{kind}-{random.randrange(n_kinds)}"
        prompt = build_prompt(dossier)
        order = rank_by_rendezvous(prompt[-2].part_id, live)
        # One in seven finds its first engine at its bound.
        target = live[order[1 if random.random() < 1 / 7 else 0]]
        router = random.choice(fleet)
        is_warm = now_ms - came_at_ms.get(target.server_id, -60_000.0) > 10_000
        source = router.find(
            prompt, target, list(live.values()), now_ms, is_warm=is_warm
        )
        router.record_sent(prompt, target, now_ms)
        context.engines.serve(prompt, target, source, now_ms)


def change_engines(event, live, came_at_ms, engines, random):
    if event.is_coming:
        name = f"new-{len(came_at_ms)}"
        live[name] = build_engine(name)
        came_at_ms[name] = event.at_ms
        return
    gone = live.pop(random.choice(sorted(each for each in live if each[0] == "e")))
    engines.held.pop(gone.key, None)


def tell_all(fleet, marks, now_ms):
    # What is heard in one turn goes on in the next.
    told = []
    for number in range(len(fleet)):
        for step in (1, 19, 33):
            other = (number + step) % len(fleet)
            for teller, hearer in ((number, other), (other, number)):
                news, last = fleet[teller].reports_after(
                    marks.get((teller, hearer), 0),
                    now_ms=now_ms,
                    exclude_link=str(hearer),
                )
                marks[teller, hearer] = last
                told.append((teller, hearer, news))
    for teller, hearer, news in told:
        fleet[hearer].apply_reports(news, now_ms=now_ms, source=str(teller))


def reuse(context):
    engines = context.engines
    return 1 - engines.n_again / engines.n_reusable


@then("the fleet reuses at least 95 of 100 shared tokens that it could")
def step_much(context):
    assert reuse(context) >= 0.95, reuse(context)


@then("the fleet reuses less than 95 of 100 shared tokens that it could")
def step_little(context):
    assert reuse(context) < 0.95, reuse(context)


@when(
    "one router sends other dossiers to 11 engines, one to the last, "
    "and tells the other"
)
def step_last_engine(context):
    for number, engine in enumerate(context.engines):
        context.one.record_sent(build_prompt(number), engine, 0.0)
    tell(context.one, context.other)


@then("the other router names the last engine as the source of a copy")
def step_names_last(context):
    source = context.other.find(
        build_prompt(11), context.engines[0], context.engines, 100.0, is_warm=True
    )
    assert source.key == context.engines[11].key


@given("10 engines and 200 dossiers that each went to an engine")
def step_placed(context):
    context.engines = [build_engine(f"e-{i}") for i in range(10)]
    context.loads, context.sources = ServerLoads(), PrefixIndex()
    context.selector = ServerSelector(
        loads=context.loads, own_data_centre="bole", random_state=Random(SEED)
    )
    context.homes = [place_dossier(context, each) for each in range(200)]


def place_dossier(context, number):
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


@when("3 engines come and each dossier is asked for again")
def step_three_come(context):
    context.engines += [build_engine(f"new-{i}") for i in range(3)]
    context.again = [place_dossier(context, each) for each in range(200)]


@then("each dossier meets the engine that has it")
def step_same_homes(context):
    assert context.again == context.homes


@when("the engine of a dossier holds 9 requests more than the others")
def step_overloaded(context):
    for _ in range(9):
        context.loads.start(context.homes[0].key)


@then("the dossier meets another engine, and this one again when there are two")
def step_second_home(context):
    second = place_dossier(context, 0)
    assert second != context.homes[0]
    context.engines.append(build_engine("new-3"))
    assert place_dossier(context, 0) == second
