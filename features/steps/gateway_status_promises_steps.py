"""Steps for servers that fail, after a run, with a status that denies it."""

from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from damaskrill.gateway._attempt import CompleteAnswer
from damaskrill.http1 import AnswerHead
from damaskrill.platform._headers import read_peer_answer

SEAL = (b"Damaskrill-Response-Seal", b"seal")
FAILED_HEADERS = {
    "with a seal": (SEAL,),
    "without a seal": (),
    "with a seal and Retry-After": (SEAL, (b"Retry-After", b"1")),
}


@given("all servers run requests and answer {status:d} {headers}")
def step_failed_runs(context, status, headers):
    context.failed_status = status
    for server in context.testbed.servers.values():
        server.misbehaviour = Misbehaviour.FAILED_RUN
        server.failed_status = status
        server.failed_headers = FAILED_HEADERS[headers]


@then("the status is {status:d} and the answer names the request")
def step_status_and_id(context, status):
    reply = context.reply
    assert reply.status == status, reply
    assert reply.headers.get("damaskrill-request-id") == reply.request_id, reply


@then("the answer has no seal unless its status is the server's")
def step_no_seal(context):
    reply = context.reply
    if reply.status != context.failed_status:
        assert "damaskrill-response-seal" not in reply.headers, reply
    else:
        # The router's own 502 cannot be told from the server's by its status.
        assert reply.headers["damaskrill-response-seal"] == "seal", reply


@then("the log names the server's status {status:d}")
def step_logged(context, status):
    ends = [
        line
        for line in context.testbed.logs[0].lines
        if line["event"] == "request_ended"
        and line["request_id"] == context.reply.request_id
    ]
    (end,) = ends
    assert end["status"] == status or str(status) in end["detail"], end
    assert end["outcome"] != "not_run", end


@then("the answer has no Retry-After")
def step_no_retry_after(context):
    assert "retry-after" not in context.reply.headers, context.reply


@when("{n:d} callers send an issuance to the first gateway")
def step_issuances(context, n):
    testbed = context.testbed
    context.replies = [
        testbed.send("/issue/1", gateway=testbed.gateways[0]) for _ in range(n)
    ]


@then("each of them has run once and got status {status:d}")
def step_all_told(context, status):
    for reply in context.replies:
        assert context.testbed.runs_of(reply.request_id) == 1, reply
        assert reply.status == status, reply
        assert "damaskrill-response-seal" not in reply.headers, reply


@when("a former peer passes on the answer {status:d} of a server")
def step_former_peer(context, status):
    context.head = AnswerHead(status=status, headers=(SEAL,))


@then("it counts as run, and the answer to {request} is {told}")
def step_counts_as_run(context, request, told):
    from damaskrill.gateway._outcomes import find_run_refusal

    assert not read_peer_answer(context.head).is_not_run
    answer = CompleteAnswer(head=context.head, body=b"failed")
    refused = find_run_refusal(answer, may_repeat=request == "a read")
    found = "forwarded" if refused is None else f"a {refused[0].status}"
    assert found == told, refused
