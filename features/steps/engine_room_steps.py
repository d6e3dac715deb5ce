"""Steps for the choice of an engine by what it holds, its speed and its room."""

import hashlib
import json
import math
from random import Random

from attrs import define
from behave import given, then, when

from damaskrill.platform._items import ItemDecoder
from damaskrill.steering import (
    RELAYED_BOUNDS,
    Candidate,
    EngineChoice,
    EngineFigures,
    EngineRoom,
    HotKeys,
    LoadBounds,
    PrefixIndex,
    PromptPart,
    ServerLoads,
    ServerSelector,
    expected_output,
)
from features.support.builders import build_engine
from features.support.gateways import build_configuration

SEED = 3
# Bounds that pass no engine over.
NO_BOUNDS = LoadBounds(
    multiple=1e9, service_multiple=1e9, addend=1e9, key_fraction=1e9, key_addend=1e9
)
MEMORY_TOKENS = 300_630
# Hash of the engines that the build before chose for the same requests.
FORMER_CHOICES = "689f039a7086b5bd07c6b05b7472b57382e22b577a4a19da0f27372a1e55417a"


def alike(*, room=None, slow=(), n_tokens=0):
    """Return figures of engines with the given speeds and room."""
    room = room or EngineRoom()
    return EngineFigures(
        slowness=lambda each: 2.5 if each.server_id in slow else 1.0,
        n_unread=lambda each: room.n_unread(each.key),
        fits=lambda each, n: room.fits(
            each.key, n_tokens=n_tokens, n_requests=n, capacity=MEMORY_TOKENS
        ),
    )


@define
class ToldFleet:
    """One router in each data centre; what one knows all know."""

    engines: list
    loads: ServerLoads
    prefixes: PrefixIndex
    selectors: dict
    now_ms: float = 0.0

    @classmethod
    def build(cls, n_data_centres, n_engines):
        centres = [f"dc-{i}" for i in range(n_data_centres)]
        engines = [
            build_engine(f"{centre}-{i}", data_centre=centre, n_slots=64)
            for centre in centres
            for i in range(n_engines)
        ]
        loads, hot_keys = ServerLoads(), HotKeys()
        selectors = {
            centre: ServerSelector(
                loads=loads,
                own_data_centre=centre,
                random_state=Random(SEED + number),
                hot_keys=hot_keys,
            )
            for number, centre in enumerate(centres)
        }
        return cls(engines, loads, PrefixIndex(), selectors)

    def place(self, dossier, centre, figures):
        """Send a request and return its engine."""
        key = f"dossier-{dossier}"
        prompt = tuple(
            PromptPart(part_id=part, n_tokens=n)
            for part, n in (("base", 1_000), (key, 7_620), ("own", 580))
        )
        engine = self.selectors[centre].select(
            [Candidate(server=each) for each in self.engines],
            affinity_keys=("base", key),
            now_ms=self.now_ms,
            bounds=RELAYED_BOUNDS,
            has_prefix=lambda each: self.prefixes.has_cached(
                key, each.key, self.now_ms
            ),
            **({} if figures is None else {"figures": figures}),
        )
        self.prefixes.record_sent(prompt, engine, self.now_ms)
        return engine

    def n_holders(self, dossier):
        return len(self.prefixes.find_holders(f"dossier-{dossier}", self.now_ms))


@given("routers in {n:d} data centres with {n_engines:d} engines each")
def step_fleet(context, n, n_engines):
    context.fleet = ToldFleet.build(n, n_engines)


@when("{n:d} requests for one dossier arrive at routers of all data centres in turn")
def step_one_dossier(context, n):
    fleet = context.fleet
    centres = list(fleet.selectors)
    context.placed = []
    for number in range(n):
        centre = centres[number % len(centres)]
        engine = fleet.place(1, centre, alike())
        context.placed.append((centre, engine.data_centre))
        fleet.now_ms += 50


@then("each data centre serves the last {n:d} of its requests itself")
def step_served_itself(context, n):
    last = context.placed[-n * len(context.fleet.selectors) :]
    assert all(centre == served for centre, served in last), last


@then("at most {n:d} engines have read or copied the dossier")
def step_few_holders(context, n):
    assert context.fleet.n_holders(1) <= n, context.fleet.n_holders(1)


@when("{n:d} requests arrive for each of {n_dossiers:d} dossiers")
def step_seldom(context, n, n_dossiers):
    fleet, random = context.fleet, Random(SEED)
    dossiers = [each for each in range(n_dossiers) for _ in range(n)]
    random.shuffle(dossiers)
    for dossier in dossiers:
        fleet.place(dossier, random.choice(list(fleet.selectors)), alike())
        fleet.now_ms += 5
    context.n_dossiers = n_dossiers


@then("in the mean at most {n:f} engines have read or copied a dossier")
def step_mean_holders(context, n):
    counts = [context.fleet.n_holders(each) for each in range(context.n_dossiers)]
    assert sum(counts) / len(counts) <= n, sum(counts) / len(counts)


@when(
    "every third engine takes 2.5 times as long and {n:d} requests for different "
    "dossiers run"
)
def step_slow(context, n):
    fleet = context.fleet
    context.slow = {each.server_id for each in fleet.engines[::3]}
    centres = list(fleet.selectors)
    for number in range(n):
        engine = fleet.place(
            number, centres[number % len(centres)], alike(slow=context.slow)
        )
        fleet.loads.start(engine.key)
    context.n_requests = n


@then("no slow engine runs more requests than the mean of all")
def step_slow_less(context):
    engines = context.fleet.engines
    mean = context.n_requests / len(engines)
    counts = {each.server_id: context.fleet.loads.n_own(each.key) for each in engines}
    assert max(counts[each] for each in context.slow) <= mean, counts


def choose(context, figures, *, n_primary=1, loads=None):
    engines = context.fleet.engines
    choice = EngineChoice(own_data_centre="dc-0", random_state=context.random)
    return choice.choose(
        engines,
        figures=figures,
        loads=loads or {each.server_id: 0.0 for each in engines},
        bound=math.inf,
        bounds=NO_BOUNDS,
        n_primary=n_primary,
        has_prefix=lambda _: True,
    )


@when(
    "a dossier is spread over all engines and one of the own data centre has {n:d} "
    "tokens to read"
)
def step_unread(context, n):
    context.random, context.room = Random(SEED), EngineRoom()
    context.busy = context.fleet.engines[0]
    context.room.start("long", context.busy.key, n_unread=n, n_tokens=n)


@then("of {n:d} requests that engine gets none, and another data centre none")
def step_less_unread(context, n):
    figures = alike(room=context.room)
    n_primary = len(context.fleet.engines)
    chosen = [choose(context, figures, n_primary=n_primary) for _ in range(n)]
    assert context.busy not in chosen
    assert {each.data_centre for each in chosen} == {"dc-0"}


def fill(context, engines):
    for engine in engines:
        for number in range(context.n_running):
            context.room.start(
                (engine.server_id, number),
                engine.key,
                n_unread=0,
                n_tokens=context.n_tokens,
            )
        context.loads[engine.server_id] = float(context.n_running)


@when(
    "the engine of a dossier runs {n:d} prompts of {n_tokens:d} tokens of a memory of "
    "300630"
)
def step_full(context, n, n_tokens):
    context.n_running, context.n_tokens = n, n_tokens
    context.random, context.room = Random(SEED), EngineRoom()
    context.loads = {each.server_id: 0.0 for each in context.fleet.engines}
    fill(context, context.fleet.engines[:1])


def choose_for(context, n_tokens):
    figures = alike(room=context.room, n_tokens=n_tokens)
    return choose(context, figures, loads=context.loads)


@then(
    "a prompt of {n_long:d} tokens goes to another engine, and one of {n_short:d} to "
    "this one"
)
def step_goes(context, n_long, n_short):
    first = context.fleet.engines[0]
    assert choose_for(context, n_long) is not first
    assert choose_for(context, n_short) is first


@when("all engines run as many")
def step_all_full(context):
    fill(context, context.fleet.engines[1:])


@then("a prompt of {n:d} tokens is sent all the same")
def step_sent(context, n):
    assert choose_for(context, n) in context.fleet.engines


@given("an engine's room for {n:d} tokens")
def step_room(context, n):
    context.room, context.capacity = EngineRoom(), n
    context.engine = build_engine("e").key


@when("requests state {tokens} tokens, begin and end in any order")
def step_any_order(context, tokens):
    counts = [int(each) for each in tokens.replace(" and", ",").split(",") if each]
    random = Random(SEED)
    calls = []
    for number, count in enumerate(counts * 5):
        calls += [(context.room.record_begun, number), (context.room.end, number)]
        context.room.start(number, context.engine, n_unread=count, n_tokens=count)
    random.shuffle(calls)
    for call, number in calls:
        call(number)
    context.room.end("unknown")
    context.room.record_begun("unknown")


@then("nothing is unread or in memory, and a prompt of {n:d} tokens fits")
def step_free(context, n):
    room, engine = context.room, context.engine
    assert room.n_unread(engine) == 0
    assert room.n_in_memory(engine, 0.0) == 0
    assert room.fits(engine, n_tokens=n, n_requests=0.0, capacity=context.capacity)


@then("of a hint of {hint} and a limit of {most:d} tokens {n:d} are expected")
def step_hint(context, hint, most, n):
    stated = None if hint == "none" else int(hint)
    assert expected_output(stated, most) == n


@when("a configuration states an engine's memory as {stated}")
def step_memory(context, stated):
    content = json.dumps(build_configuration())
    changed = content.replace('{"slotCount": 8}', f'{{"kvTokens": {stated}}}')
    item = ItemDecoder().decode("op/config", changed.encode())
    context.configuration = item.configuration
    assert context.configuration is not None, item.error


@then("the engine's memory is {n:d} tokens")
def step_memory_is(context, n):
    spec = context.configuration.services["pool"]
    assert spec.is_engine
    assert spec.n_memory_tokens == n


def place_without_figures(fleet, n):
    """Return the engines of requests that begin and end at random."""
    random, running, placed = Random(SEED), [], []
    for _ in range(n):
        dossier = int(300 * random.random() ** 3)
        engine = fleet.place(dossier, "dc-0", None)
        placed.append(engine.server_id)
        fleet.loads.start(engine.key)
        running.append(engine.key)
        while len(running) > 90:
            fleet.loads.end(running.pop(random.randrange(len(running))))
        fleet.now_ms += 5
    return placed


@when("{n:d} requests are placed by one router whose engines state no speed")
def step_place(context, n):
    context.placed = place_without_figures(context.fleet, n)


@then("they are placed as by the build before")
def step_as_before(context):
    digest = hashlib.sha256(" ".join(context.placed).encode()).hexdigest()
    assert digest == FORMER_CHOICES, digest


@given("its engines have memory for {n:d} tokens")
def step_small_memory(context, n):
    services = build_configuration()["services"]
    services[0]["engineName"]["kvTokens"] = n
    context.testbed.configure(version=2, services=services)


def count_choices(gateway):
    text = gateway._metrics.render({}).decode()
    name = "damaskrill_gateway_engine_choices_total{"
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(float(line.split()[-1]) for line in lines)


def short_lines(context):
    return [
        line
        for line in context.testbed.logs[0].lines
        if line["event"] == "engine_memory_short"
    ]


@then("the gateway has counted {n:d} choices of engines and logged no short memory")
def step_counted(context, n):
    assert count_choices(context.testbed.gateways[0]) == n
    assert not short_lines(context)


@when("the gateway gets a stream with a prompt of {n:d} tokens")
def step_long(context, n):
    prompt = ("Damaskrill-Prompt-Prefix", f"dd:{n},cc:10")
    context.reply = context.testbed.send("/chat/1", headers=[prompt])


@then("the stream is served and the gateway has logged a short memory once")
def step_logged(context):
    assert context.reply.status == 200
    assert context.reply.is_complete
    assert len(short_lines(context)) == 1
