"""Steps for a complete kernel."""

from behave import given, then, when

from damaskrill.base import BaseDecider
from damaskrill.kernel import RouterKernel, build_kernel
from damaskrill.messages import (
    AnswerCaller,
    BackendEnded,
    DispatchAttempt,
    HostListRead,
    ProcessPaused,
    RequestArrived,
    TextRead,
    Tick,
)
from features.support.builders import (
    MINIMAL_TEXT,
    build_hosts,
    build_member,
    build_request,
)


def run_inputs(kernel, inputs):
    effects = []
    for at_ms, message in inputs:
        effects.extend(kernel.decide(message, at_ms))
    return effects


def effects_of_type(context, message_type):
    return [each for each in context.effects if isinstance(each, message_type)]


def start_kernel(context, inputs):
    context.inputs = [(0, HostListRead(hosts=build_hosts([build_member(1)])))]
    context.inputs += inputs
    context.kernel = build_kernel(own=build_member(1), random_state=1)
    context.effects = run_inputs(context.kernel, context.inputs)


def send(context, at_ms, message):
    context.inputs.append((at_ms, message))
    context.effects += context.kernel.decide(message, at_ms)


@given("a kernel of one router with a minimal text")
def step_kernel_with_text(context):
    start_kernel(context, [(0, TextRead(version=1, content=MINIMAL_TEXT))])


@given("a kernel of one router without a text")
def step_kernel_without_text(context):
    start_kernel(context, [])


@when('a request for "{service}" arrives')
def step_request_arrives(context, service):
    request = build_request(service=service, now_ms=10)
    send(context, 10, RequestArrived(request=request))


@when("the backend server ends its answer with {n_bytes:d} bytes")
def step_backend_ends(context, n_bytes):
    attempt_id = effects_of_type(context, DispatchAttempt)[0].attempt_id
    ended = BackendEnded(attempt_id=attempt_id, n_bytes=n_bytes, digest="ab")
    send(context, 50, ended)


@then('it is dispatched to "{name}"')
def step_dispatched_to(context, name):
    dispatches = effects_of_type(context, DispatchAttempt)
    assert [each.backend_server for each in dispatches] == [name], context.effects


@then('the caller\'s outcome is "{name}"')
def step_outcome_is(context, name):
    answers = effects_of_type(context, AnswerCaller)
    assert [each.outcome.name for each in answers] == [name], context.effects


@then('the sentence contains "{words}"')
def step_sentence_contains(context, words):
    sentence = effects_of_type(context, AnswerCaller)[0].outcome.sentence
    assert words in sentence, sentence


@then("a second kernel with the same messages gives the same effects")
def step_same_effects(context):
    second = build_kernel(own=build_member(1), random_state=1)
    assert run_inputs(second, context.inputs) == context.effects


class RecordingDecider(BaseDecider):
    handles = (Tick, ProcessPaused)

    def __init__(self):
        self.received = []

    def decide(self, message, now_ms):
        self.received.append((type(message).__name__, now_ms))
        return ()


@given("a kernel with a decider that records its messages")
def step_recording_kernel(context):
    context.recorder = RecordingDecider()
    context.kernel = RouterKernel(own=build_member(1), deciders=[context.recorder])


@when("ticks arrive at 0, 100, 900 and 1701 ms")
def step_ticks(context):
    for at_ms in (0, 100, 900, 1701):
        context.kernel.decide(Tick(), at_ms)


@then("the recorder received ProcessPaused once, directly before the last tick")
def step_recorded_pause(context):
    assert context.recorder.received == [
        ("Tick", 0),
        ("Tick", 100),
        ("Tick", 900),
        ("ProcessPaused", 1701),
        ("Tick", 1701),
    ], context.recorder.received
