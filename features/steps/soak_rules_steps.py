"""Steps for the checks of the soak test on repeats, deadlines, streams and excuses."""

from behave import then

from damaskrill.soak._budget import check_deadlines, check_repeats
from damaskrill.soak._checks import ServerRecord
from damaskrill.soak._disruptions import Disruptions
from damaskrill.soak._interruptions import (
    check_closed_connections,
    check_interruptions,
)
from damaskrill.soak._repeats import RepeatBudget
from damaskrill.soak._resumptions import check_resumptions
from damaskrill.soak._streams import check_streams
from features.support.soak_records import (
    ROUTES,
    WRITERS,
    build_exchange,
    build_excuses,
    build_stream,
)


@then("a stream with a missing event is found")
def step_missing(context):
    assert find_streams(build_stream("a1 a2")) == []
    assert find_streams(build_stream("a1", is_complete=False)) == []
    assert find_streams(build_stream("a1")) == ["stream_order"]
    assert find_streams(build_stream("a1 a3", is_complete=False)) == ["stream_order"]
    assert find_streams(build_stream("a2", is_complete=False)) == ["stream_order"]


def find_streams(*exchanges):
    return [each.promise for each in check_streams(exchanges, WRITERS, 2)]


@then("an event that comes twice, or other bytes, in a stream are found")
def step_twice_in_stream(context):
    for events in ("a1 a1", "a1 a2 a2"):
        broken = build_stream(events, is_complete=False)
        assert find_streams(broken) == ["stream_order"], events
    for rest in (b"other\n\n", b"id: 1\ndata: token-2\n\n"):
        broken = build_exchange("/chat/1", body=rest, is_complete=False)
        assert find_streams(broken) == ["stream_order"], rest
    unfinished = build_exchange("/chat/1", body=b"id: 1\nda", is_complete=False)
    assert find_streams(unfinished) == []


@then("a stream that was taken up and does not go on where it ended is found")
def step_join(context):
    first = build_stream("a1", is_complete=False)
    for events, promises in (("b2", []), ("b1 b2", ["stream_order"])):
        later = build_stream(events, request_id="q10", resumes="q9", last_event=1)
        assert find_streams(first, later) == promises, events


@then("a stream of two software versions is found, in an answer and over the tries")
def step_mixed(context):
    assert find_streams(build_stream("a1 b2")) == []
    assert find_streams(build_stream("a1 c2")) == ["mixed_versions"]
    first = build_stream("a1", is_complete=False)
    later = build_stream("c2", request_id="q10", resumes="q9", last_event=1)
    assert find_streams(first, later) == ["mixed_versions"]


def find_resumptions(*, n_tries=12, n_going_on=0, n_sound=2, excuses=None):
    """Return the promises broken by streams that were begun at server a."""
    exchanges = []
    for number in range(n_tries):
        begun = build_stream(
            "a1", request_id=f"n{number}", sent_at=10, ended_at=11, is_complete=False
        )
        going_on = number < n_going_on
        taken_up = build_stream(
            "b2" if going_on else "",
            request_id=f"r{number}",
            resumes=begun.request_id,
            last_event=1,
            sent_at=20,
            ended_at=21,
            status=200 if going_on else 503,
        )
        exchanges += [begun, taken_up]
    sound = {each.server_id for each in WRITERS[:n_sound]}
    found = check_resumptions(
        exchanges,
        WRITERS,
        ROUTES,
        excuses or build_excuses(),
        lambda server, begin, end: server.server_id in sound,
    )
    return [each.promise for each in found]


@then("streams that were taken up and go on much less often than new ones are found")
def step_resumptions(context):
    assert find_resumptions() == ["resumptions"]
    assert find_resumptions(n_going_on=5) == ["resumptions"]
    assert find_resumptions(n_going_on=6) == []
    assert find_resumptions(n_tries=11) == []
    # Only one server of their version serves.
    assert find_resumptions(n_sound=1) == []


@then("they are excused only by routers out of touch")
def step_resumptions_excused(context):
    disruptions = Disruptions()
    disruptions.record_router(1, 19.0, 22.0)
    assert find_resumptions(excuses=build_excuses(disruptions)) == ["resumptions"]
    disruptions.record_router(0, 19.0, 22.0)
    assert find_resumptions(excuses=build_excuses(disruptions)) == []


def find_repeats(n_repeats, *, path="/read/1", n_sent=10):
    """Return the promises broken by repeats at the service app, with 2 + 0.2 each."""
    exchanges = [
        build_exchange(path, request_id=f"q{n}", is_sent=True) for n in range(n_sent)
    ]
    arrivals = [(1.1 + n / 100, "q0") for n in range(n_repeats + 1)]
    record = ServerRecord(
        server_id="a", runs={}, arrivals=tuple(arrivals), service="app"
    )
    budget = RepeatBudget(ratio=0.2, slack=2, window_s=10)
    found = check_repeats(exchanges, [record], ROUTES, budget)
    return [each.promise for each in found]


@then("more repeats of a service than its budget are found")
def step_repeats(context):
    assert find_repeats(4) == []
    assert find_repeats(5) == ["repeats"]
    # Requests for another service don't count, except the one that arrived here.
    assert find_repeats(2, path="/check/1") == []
    assert find_repeats(3, path="/check/1") == ["repeats"]


def find_deadlines(n_requests, deadlines, excuses=None, path="/read/1"):
    """Return the promises broken by arrivals, as (seconds after the request, ms)."""
    exchanges = [
        build_exchange(path, request_id=f"q{n}", sent_at=1.0, ended_at=4.0)
        for n in range(n_requests)
    ]
    record = ServerRecord(
        server_id="a",
        runs={},
        arrivals=(),
        deadlines=tuple(
            (1.0 + delay_s, each.request_id, deadline_ms)
            for each in exchanges
            for delay_s, deadline_ms in deadlines
        ),
    )
    found = check_deadlines(exchanges, [record], excuses or build_excuses())
    return [each.promise for each in found]


@then("servers that were given more time than was left are found")
def step_deadlines(context):
    for given in ((0.1, None), (0.1, 3_501)):
        assert find_deadlines(21, [given]) == ["deadline"], given
        assert find_deadlines(20, [given]) == [], given
        assert find_deadlines(21, [given], path="/check/1") == [], given
    assert find_deadlines(21, [(0.1, 3_500)]) == []
    # A repeat 0.9 s later ends 0.8 s after the first one, then 0.4 s.
    assert find_deadlines(21, [(0.1, 2_900), (1.0, 2_800)]) == ["deadline"]
    assert find_deadlines(21, [(0.1, 2_900), (1.0, 2_400)]) == []
    assert find_deadlines(21, [(0.1, 2_900), (0.5, 3_400)]) == []
    stopping = Disruptions()
    stopping.record_stop(0, 0.5)
    assert find_deadlines(21, [(0.1, None)], build_excuses(stopping)) == []


def find_closed(n_closed=4, excuses=None, **changes):
    """Return the promises broken by requests at server a without an answer."""
    values = {
        "status": 0,
        "is_complete": False,
        "is_closed": True,
        "is_on_kept": True,
        **changes,
    }
    exchanges = [build_exchange(request_id=f"q{n}", **values) for n in range(n_closed)]
    record = ServerRecord(
        server_id="a",
        runs={},
        arrivals=tuple((1.1, each.request_id) for each in exchanges),
    )
    found = check_closed_connections(exchanges, [record], excuses or build_excuses())
    return [each.promise for each in found]


@then("kept connections that were closed with requests passed on are found")
def step_closed(context):
    assert find_closed() == ["closed_connections"]
    for changes in (
        {"n_closed": 3},
        {"status": 200},
        {"is_on_kept": False},
        {"is_closed": False},
    ):
        assert find_closed(**changes) == [], changes


@then("they are excused by a disturbed server, not by the store alone")
def step_closed_excused(context):
    disruptions = Disruptions()
    disruptions.record_store(1.0, 2.0)
    disruptions.record_server("b", 1.0, 2.0)
    excuses = build_excuses(disruptions)
    assert find_closed(excuses=excuses) == ["closed_connections"]
    assert find_closed(path="/check/1", excuses=excuses) == []
    disruptions.record_server("a", 1.0, 2.0)
    assert find_closed(excuses=excuses) == []


@then("a router is in touch some time after its start, kill, pause or stop only")
def step_in_touch(context):
    def is_in_touch(prepare=None, starts=(), **changes):
        disruptions = Disruptions()
        if prepare is not None:
            prepare(disruptions)
        return build_excuses(disruptions, starts).is_in_touch(0, 10, 11, **changes)

    assert is_in_touch()
    assert not is_in_touch(starts=(7.5,))
    assert not is_in_touch(starts=(10.5,))
    assert is_in_touch(starts=(6.5, 11.5))
    # It was told to stop, and started again or not.
    assert not is_in_touch(lambda each: each.record_stop(0, 2.0))
    assert is_in_touch(lambda each: each.record_stop(0, 2.0), starts=(6.5,))
    assert not is_in_touch(lambda each: each.record_stop(0, 10.5), starts=(6.5,))
    assert is_in_touch(lambda each: each.record_stop(1, 10.5))
    assert not is_in_touch(lambda each: each.record_router(0, 8.0, 10.5))
    assert is_in_touch(lambda each: each.record_router(1, 8.0, 10.5))
    assert is_in_touch(lambda each: each.record_server("a", 8.0, 10.5))
    assert is_in_touch(lambda each: each.record_planned("reload", 0, 8.0, 10.5))


@then("a router that is cut off from the servers is in touch")
def step_cut_in_touch(context):
    disruptions = Disruptions()
    disruptions.record_cut(0, 8.0, 12.0)
    assert build_excuses(disruptions).is_in_touch(0, 10, 11)
    # But its requests may end for it.
    assert disruptions.hit_router(0, 10, 11)


@then("trouble of the store excuses a router only where it counts")
def step_store_touch(context):
    disruptions = Disruptions()
    disruptions.record_store(8.0, 8.5)
    excuses = build_excuses(disruptions)
    assert not excuses.is_in_touch(0, 10, 11)
    assert excuses.is_in_touch(0, 10, 11, needs_store=False)


@then("a request that planned work interrupted is found")
def step_cut(context):
    record = ServerRecord(server_id="a", runs={"q9": 1}, arrivals=((1.2, "q9"),))
    cut = build_exchange(is_complete=False, is_closed=True)

    def find(exchange, prepare=lambda each: None):
        disruptions = Disruptions()
        disruptions.record_planned("stop_router", 0, 0.5, 5.0)
        prepare(disruptions)
        found = check_interruptions([exchange], [record], build_excuses(disruptions))
        return [each.promise for each in found]

    assert find(cut) == ["planned_work"]
    # A fault elsewhere in the fleet, or of the store, is no excuse.
    assert find(cut, lambda each: each.record_router(1, 0.5, 3.0)) == ["planned_work"]
    assert find(cut, lambda each: each.record_server("b", 0.5, 3)) == ["planned_work"]
    assert find(cut, lambda each: each.record_store(0.5, 3.0)) == ["planned_work"]
    assert find(cut, lambda each: each.record_router(0, 0.5, 3.0)) == []
    assert find(cut, lambda each: each.record_cut(0, 0.5, 3.0)) == []
    assert find(cut, lambda each: each.record_server("a", 0.5, 3.0)) == []
    # Another router that ends may have had it, which a whole failure can tell.
    failed = build_exchange(status=502)
    assert find(failed, lambda each: each.record_router(1, 1.5, 4.5)) == []
    assert find(failed, lambda each: each.record_router(1, 0.9, 4.5)) == [
        "planned_work"
    ]
    assert find(failed, lambda each: each.record_cut(1, 1.5, 4.5)) == ["planned_work"]
    assert find(cut, lambda each: each.record_router(1, 1.5, 4.5)) == ["planned_work"]
    # The caller itself may leave, and its time may end.
    assert find(build_exchange(is_complete=False, has_left=True)) == []
    assert find(build_exchange(is_complete=False, ended_at=3.8)) == ["planned_work"]
    assert find(build_exchange(is_complete=False, ended_at=4.0)) == []
    assert find(build_exchange(status=504, ended_at=3.5)) == ["planned_work"]
    assert find(build_exchange(status=504, ended_at=3.8)) == []
