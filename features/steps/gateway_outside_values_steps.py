"""Steps for values that come from outside."""

import asyncio
import json
import os

import orjson
from behave import then, when
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from damaskrill.catalog import BackendServer
from damaskrill.eventlog import LineSink
from damaskrill.exceptions import DamaskrillError
from damaskrill.fakes.platform import build_configuration, build_entry
from damaskrill.http1 import AnswerHead
from damaskrill.platform import _store
from damaskrill.platform._headers import read_answer
from damaskrill.platform._items import ItemDecoder
from damaskrill.platform._store import PlatformStore
from damaskrill.steering import NEW_LINK, StatedLimits

ENTRY = build_entry(service="app", address=("127.0.0.1", 9))
PARTS = {"route": "routes", "service": "services", "tenant": "tenants"}
MAX_EXACT = 2**53
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from([2**63, -(2**63), 1e30, 1e308, 10**400, "x" * 10_000, "²"]),
    lambda each: st.lists(each, max_size=3) | st.dictionaries(st.text(), each),
    max_leaves=6,
)


def read_text(text):
    return text.replace("\\r", "\r").replace("\\n", "\n")


def encode(content):
    # The standard library writes numbers that another writer may send.
    return json.dumps(content).encode(errors="replace")


@when("another writer's entry has {field} = {value}")
def step_entry(context, field, value):
    content = {**ENTRY, field: json.loads(value)}
    context.item = ItemDecoder().decode("servers/a-1", orjson.dumps(content))
    context.field = field


@when('another writer\'s entry has the key "{key}"')
def step_key(context, key):
    value = orjson.dumps(ENTRY)
    context.item = ItemDecoder().decode(f"servers/{read_text(key)}", value)
    context.field = "key"


@then("it names no server, and the reason names the field")
def step_no_server(context):
    assert context.item.server is None, context.item
    assert context.field in context.item.error.sentence, context.item.error


@when("the configuration has {field} = {value} in its first {part}")
def step_configuration(context, field, value, part):
    content = build_configuration()
    content[PARTS[part]][0][field] = json.loads(value)
    context.item = ItemDecoder().decode("op/config", orjson.dumps(content))


@then("it is refused with a reason")
def step_refused(context):
    assert context.item.configuration is None
    assert context.item.error.code == "unusable_configuration"


@when("an answer states {header}: {value}")
def step_header(context, header, value):
    if value.endswith(" digits"):
        value = "9" * int(value.removesuffix(" digits"))
    headers = ((header.encode(), value.encode()),)
    context.answer = read_answer(AnswerHead(status=503, headers=headers))
    limits = StatedLimits()
    limits.observe(("a", 1), context.answer.limit_per_s, 0.0)
    # What is told to peers must be possible to send.
    limits.reports_after(NEW_LINK, now_ms=10.0)
    context.stated = context.answer.limit_per_s
    if header == "Server-Brittle":
        context.stated = context.answer.rejections_per_s


@then("the fleet learns a limit of {per_s:g} a second")
def step_limit(context, per_s):
    assert context.stated == per_s, context.stated


@then("the fleet learns no limit")
def step_no_limit(context):
    assert context.stated is None, context.stated


@then("the fleet learns a pause of {pause_s:d} s")
def step_pause(context, pause_s):
    assert context.answer.pause_ms == pause_s * 1_000


@when("the store answers {answer}")
def step_answer(context, answer):
    body, _, digits = answer.partition(" in era ")
    era = "9" * int(digits.split()[0]) if digits else "1"
    head = AnswerHead(status=200, headers=((b"Store-Era", era.encode()),))

    async def fetch(*args, **kwargs):
        return head, body.encode(), None

    async def run():
        await PlatformStore(reactor=None, address=("127.0.0.1", 1)).list_items()

    original, _store.fetch = _store.fetch, fetch
    try:
        asyncio.run(run())
        context.error = None
    except DamaskrillError as error:
        context.error = error
    finally:
        _store.fetch = original


@then('the call ends with "{code}"')
def step_code(context, code):
    assert context.error is not None
    assert context.error.code == code, context.error


@when("{n:d} entries and configurations are drawn, each with some fields of any value")
def step_draw(context, n):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    sink = LineSink(descriptor=writer, max_lines_per_s=1_000_000)
    decoder = ItemDecoder()
    context.drawn = []

    def record(item, value):
        context.drawn.append((item, value))
        sink.write({"event": "drawn", "at_ms": 1, "item": value}, is_important=True)

    @seed(45)
    @settings(
        max_examples=n // 2,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.dictionaries(st.sampled_from(sorted(ENTRY)), VALUES, min_size=1))
    def draw_entries(changes):
        item = decoder.decode("servers/a-1", encode({**ENTRY, **changes}))
        record(item, item.server and item.server.cold_for_ms)

    routes = sorted(build_configuration()["routes"][0])

    @seed(46)
    @settings(
        max_examples=n - n // 2,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.sampled_from(["route", "service", "tenant", "limits"]),
        st.dictionaries(st.sampled_from(routes), VALUES, min_size=1),
    )
    def draw_configurations(part, changes):
        content = build_configuration()
        target = content["limits"] if part == "limits" else content[PARTS[part]][0]
        target.update(changes)
        item = decoder.decode("op/config", encode(content))
        record(item, item.configuration and item.configuration.version)

    draw_entries()
    draw_configurations()


@then("each is an item within its bounds or has a typed error, and can be logged")
def step_drawn(context):
    n_usable = 0
    for item, _ in context.drawn:
        found = getattr(item, "server", None) or getattr(item, "configuration", None)
        if found is None:
            assert isinstance(item.error, DamaskrillError), item
            continue
        n_usable += 1
        if isinstance(found, BackendServer):
            assert 0 < found.address[1] < 65_536
            assert 0 <= found.cold_for_ms <= 86_400_000
            assert 0 <= found.started_at_ms <= MAX_EXACT
            assert found.version.isprintable()
        else:
            assert all(0 <= each.time_limit_ms <= 86_400_000 for each in found.routes)
    assert 0 < n_usable < len(context.drawn), n_usable
