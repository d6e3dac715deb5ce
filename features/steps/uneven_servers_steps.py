"""Steps for servers of unequal speed."""

from behave import given, then, when

from damaskrill.steering import ServerLoad, ServerSpeeds, expected_time_ms

SERVER = 7
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
