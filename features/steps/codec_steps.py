"""Steps for the serialization of messages."""

import json

from behave import given, then, when

from damaskrill.codec import message_from_map, message_to_map
from damaskrill.exceptions import DamaskrillError
from damaskrill.messages import (
    AnswerCaller,
    AttemptRefused,
    Cause,
    CauseCode,
    NotRun,
    PeerDelivered,
)
from features.support.builders import build_member


@given('an answer that was refused because "{name}" is at its limit')
def step_refused_answer(context, name):
    cause = Cause(code=CauseCode.AT_LIMIT, subject=name)
    outcome = NotRun(causes=(cause,), retry_after_ms=500)
    context.message = AnswerCaller(request_id="request-1", outcome=outcome)


@given('a peer\'s refusal of attempt "{attempt_id}"')
def step_peer_refusal(context, attempt_id):
    cause = Cause(code=CauseCode.QUEUE_FULL, subject="engine-1")
    refusal = AttemptRefused(attempt_id=attempt_id, causes=(cause,), load=3)
    context.message = PeerDelivered(sender=build_member(2), payload=refusal)


@when("it is converted to a map and back")
def step_convert_and_back(context):
    plain = json.loads(json.dumps(message_to_map(context.message)))
    context.converted = message_from_map(plain)


@then("it equals the first one")
def step_equal(context):
    assert context.converted == context.message, context.converted


@when("the map '{content}' is converted")
def step_convert_map(context, content):
    try:
        message_from_map(json.loads(content))
    except DamaskrillError as error:
        context.error = error


@then('the error\'s code is "{code}"')
def step_error_code(context, code):
    assert context.error.code == code, context.error
