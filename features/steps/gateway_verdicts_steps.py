"""Steps on verdicts and refusals."""

from behave import given, then

from damaskrill.gateway._attempt import BadAnswer, Broken, CompleteAnswer, NotRun
from damaskrill.gateway._verdicts import classify_outcome, find_refusal
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


def judge(result, *, is_expired=False, is_silent=False):
    found = classify_outcome(
        result, is_expired=is_expired, is_silent=is_silent, waited_ms=900.0
    )
    return None if found is None else found[0].value


@given("an attempt that ended as {end}")
def step_end(context, end):
    context.result = RESULTS[end]


@then('the verdict on the server is "{verdict}"')
def step_verdict(context, verdict):
    assert judge(context.result) == verdict, judge(context.result)


@then('the caller is told {status:d} because of "{cause}"')
def step_told(context, status, cause):
    refusal, _ = find_refusal(context.result, may_have_run=False, is_expired=False)
    assert (refusal.status, refusal.cause.value) == (status, cause), refusal


@then("after an earlier attempt that may have run the caller is told {status:d}")
def step_told_late(context, status):
    refusal, _ = find_refusal(context.result, may_have_run=True, is_expired=False)
    assert refusal.status == status, refusal


@then("at the end of the request's time the caller is told {status:d}")
def step_time_over(context, status):
    refusal, _ = find_refusal(context.result, may_have_run=True, is_expired=True)
    assert refusal.status == status, refusal


@then('the verdict is none if the server had answered, and "silent" if not')
def step_silent(context):
    assert judge(context.result, is_expired=True) is None
    assert judge(context.result, is_expired=True, is_silent=True) == "silent"


@then('a whole answer 504 gives no verdict, 500 "error_status" and 200 "good"')
def step_whole(context):
    verdicts = [
        judge(CompleteAnswer(head=AnswerHead(status=status, headers=()), body=b""))
        for status in (504, 500, 200)
    ]
    assert verdicts == [None, "error_status", "good"], verdicts
