"""Steps for server outcomes and refusals."""

from behave import given, then

from damaskrill.gateway._attempt import BadAnswer, Broken, CompleteAnswer, NotRun
from damaskrill.gateway._outcomes import classify_outcome, find_refusal
from damaskrill.http1 import AnswerHead, ExchangeFailure, FailureKind


def build_broken(kind):
    failure = ExchangeFailure(kind=kind, reason="reset", has_answer=False)
    return Broken(failure=failure)


RESULTS = {
    "refused as full": NotRun(status=503),
    "another server": NotRun(status=421, is_other_server=True),
    "a wrong answer": BadAnswer(reason="no proof"),
    "a reset": build_broken(FailureKind.CLOSED),
    "nothing acked": build_broken(FailureKind.SILENT),
}


def find_outcome(result, *, is_expired=False, is_silent=False):
    found = classify_outcome(
        result, is_expired=is_expired, is_silent=is_silent, waited_ms=900.0
    )
    return None if found is None else found[0].value


@given("an attempt that ended as {end}")
def step_end(context, end):
    context.result = RESULTS[end]


@then('the outcome at the server is "{outcome}"')
def step_outcome(context, outcome):
    assert find_outcome(context.result) == outcome, find_outcome(context.result)


@then('the caller gets {status:d} because of "{cause}"')
def step_refused(context, status, cause):
    refusal, _ = find_refusal(context.result, may_have_run=False, is_expired=False)
    assert (refusal.status, refusal.cause.value) == (status, cause), refusal


@then("after an earlier attempt that may have run the caller gets {status:d}")
def step_refused_late(context, status):
    refusal, _ = find_refusal(context.result, may_have_run=True, is_expired=False)
    assert refusal.status == status, refusal


@then("after the request's time limit the caller gets {status:d}")
def step_time_limit(context, status):
    refusal, _ = find_refusal(context.result, may_have_run=True, is_expired=True)
    assert refusal.status == status, refusal


@then('the outcome is none if the server had answered, and "silent" if not')
def step_silent(context):
    assert find_outcome(context.result, is_expired=True) is None
    assert find_outcome(context.result, is_expired=True, is_silent=True) == "silent"


@then('a full answer 504 has no outcome, 500 "error_status" and 200 "good"')
def step_full_answers(context):
    outcomes = [
        find_outcome(
            CompleteAnswer(head=AnswerHead(status=status, headers=()), body=b"")
        )
        for status in (504, 500, 200)
    ]
    assert outcomes == [None, "error_status", "good"], outcomes
