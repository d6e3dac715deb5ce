"""Steps for replays of recorded scenarios with mutated decisions."""

from unittest import mock

from behave import given, then

from damaskrill.admission import _bound
from damaskrill.configuration import parse_text
from damaskrill.kernel import build_kernel
from damaskrill.messages import TextAccepted, TextRead
from damaskrill.routing._entry import EntryDecider
from damaskrill.traces import ExpectedTextVersion, TraceReader, replay_trace
from tools import make_example_traces


def record(name):
    scenario = getattr(make_example_traces, name)
    return make_example_traces.build_trace(scenario.__doc__, *scenario())


def replay(lines, **options):
    return replay_trace(TraceReader(lines=lines, path="memory"), **options)


def subjects_of_differences(lines, **options):
    return [each.subject for each in replay(lines, **options).differences]


def assert_differs(context, words, **options):
    subjects = subjects_of_differences(context.trace, **options)
    assert any(words in each for each in subjects), subjects


@given('the scenario "{name}" is recorded')
def step_record(context, name):
    context.scenario_name = name
    context.trace = record(name)


@given("a recording in which an old text is served again")
def step_record_old_text(context):
    pump = make_example_traces.start(make_example_traces.SMALL_TEXT, "bole")
    router = pump.find_router("bole")
    for version in (2, 1):
        read = TextRead(version=version, content=make_example_traces.SMALL_TEXT)
        pump.deliver(router, read)
    stated = ExpectedTextVersion(
        at_ms=pump.now_ms, router=pump.trace_routers[0].name, version=2
    )
    context.trace = make_example_traces.build_trace("old text", pump, [stated])


@then("its replay has no differences")
def step_no_differences(context):
    result = replay(context.trace)
    assert result.n_expectations > 0
    assert not result.differences, result.differences


@then('its replay differs in "{words}" when the load bound is off by one')
def step_bound_off_by_one(context, words):
    value = _bound.LoadBound.value.fget
    mutated = property(lambda bound: value(bound) + 1)
    with mock.patch.object(_bound.LoadBound, "value", mutated):
        assert_differs(context, words)


@then('its replay differs in "{words}" when the cold-start ramp is skipped')
def step_ramp_skipped(context, words):
    mutated = property(lambda bound: min(bound.capacity, bound.mean_bound))
    with mock.patch.object(_bound.LoadBound, "value", mutated):
        assert_differs(context, words)


@then('its replay differs in "{words}" when actions are retried')
def step_actions_retried(context, words):
    with mock.patch.object(EntryDecider, "_is_repeatable", return_value=True):
        assert_differs(context, words)


class RevertingKernel:
    """Kernel that accepts every text that is read, even one of a lower version."""

    def __init__(self, kernel):
        self._kernel = kernel
        self.own = kernel.own
        self.deciders = kernel.deciders

    def decide(self, message, now_ms):
        if isinstance(message, TextRead):
            text = parse_text(message.content, version=message.version)
            return self._kernel.decide(TextAccepted(text=text), now_ms)
        return self._kernel.decide(message, now_ms)


@then('its replay differs in "{words}" when lower versions are accepted')
def step_lower_versions(context, words):
    def build_reverting_kernel(*, own, random_state):
        return RevertingKernel(build_kernel(own=own, random_state=random_state))

    assert_differs(context, words, kernel_factory=build_reverting_kernel)


@then("two replays give the same result")
def step_same_result(context):
    assert replay(context.trace) == replay(context.trace)


@then("a second recording gives the same bytes")
def step_same_recording(context):
    assert record(context.scenario_name) == context.trace
