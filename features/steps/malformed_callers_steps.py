"""Steps that send malformed input to the HTTP server for callers."""

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from damaskrill.exceptions import ERROR_TYPES
from features.support.caller_memory import (
    LIMITS,
    MemoryCallers,
    split_answers,
)
from features.support.malformed_http import STRATEGIES, VALID_CHAT, build_http

CHAT_PATH = b"/v1/chat/completions"


@given("an HTTP server for callers with in-memory connections")
def step_memory(context):
    context.callers = MemoryCallers()
    context.add_cleanup(context.callers.close)
    context.received = []


@when('it receives {n:d} inputs of the kind "{kind}"')
def step_receive_inputs(context, n, kind):
    @settings(
        max_examples=n,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(data=STRATEGIES[kind])
    def feed(data):
        received, is_closed = context.callers.send(data)
        context.received.append((data, received, is_closed))

    feed()
    # Hypothesis stops earlier if it has tried all inputs of a small strategy.
    context.n_inputs = len(context.received)
    assert context.n_inputs >= n, context.n_inputs


@then("each connection was answered or closed")
def step_answered_or_closed(context):
    for data, received, is_closed in context.received:
        assert received or is_closed, data


@then("each refusal had a known code and one sentence")
def step_known_codes(context):
    for data, received, _ in context.received:
        for answer in split_answers(received):
            assert 200 <= answer.status < 500, (data, answer)
            if answer.status >= 400:
                assert answer.code in ERROR_TYPES, (data, answer)
            if answer.status >= 400 and answer.body:
                assert answer.refusal["code"] == answer.code, (data, answer)
                assert answer.refusal["sentence"].endswith("."), (data, answer)
                assert b"Traceback" not in answer.body, data


@then("no exception was unhandled")
def step_no_unhandled_exception(context):
    assert not context.callers.errors, context.callers.errors[:3]


def send_chunks(context, chunks, *, pause_s):
    channel, transport = context.callers.connect()
    for chunk in chunks:
        channel.dataReceived(chunk)
        context.callers.clock.advance(pause_s)
    context.transport = transport


@when("a client sends half of a request line and waits")
def step_partial_request_line(context):
    send_chunks(context, [b"POST /v1/chat"], pause_s=LIMITS.header_timeout_ms / 1_000)


@when("a client sends part of a body and waits")
def step_partial_body(context):
    request = build_http(b"POST", CHAT_PATH, [(b"Content-Length", b"99")], b"{")
    send_chunks(context, [request], pause_s=LIMITS.body_timeout_ms / 1_000)


@when("a client sends one byte of a header each second")
def step_single_bytes(context):
    send_chunks(context, [b"P", b"O", b"S", b"T", b" ", b"/"], pause_s=1)


@when("a client sends a body with a declared length above the limit")
def step_declared_length(context):
    length = str(LIMITS.max_body_bytes + 1).encode()
    request = build_http(b"POST", CHAT_PATH, [(b"Content-Length", length)], b"")
    send_chunks(context, [request], pause_s=0)


@when("a client sends a chunked body above the limit")
def step_chunked_body(context):
    headers = [(b"Transfer-Encoding", b"chunked")]
    chunk = b"3e8\r\n" + b"x" * 1_000 + b"\r\n"
    request = build_http(b"POST", CHAT_PATH, headers, b"")
    send_chunks(context, [request, chunk, chunk, chunk], pause_s=0)


@when("a client sends too many headers")
def step_many_headers(context):
    headers = [(b"X", b"y")] * (LIMITS.max_headers + 1)
    request = build_http(b"POST", CHAT_PATH, headers, VALID_CHAT)
    send_chunks(context, [request], pause_s=0)


@when("a client sends headers above the size limit")
def step_long_headers(context):
    headers = [(b"X-Long", b"y" * LIMITS.max_header_bytes)]
    request = build_http(b"POST", CHAT_PATH, headers, VALID_CHAT)
    send_chunks(context, [request], pause_s=0)


@then('it gets "{code}" with status {status:d} and is disconnected')
def step_refused_and_disconnected(context, code, status):
    answers = split_answers(context.transport.value())
    assert [each.status for each in answers] == [status], answers
    assert answers[0].refusal["code"] == code
    assert context.transport.disconnecting


@when("{n:d} clients connect where {n_allowed:d} are allowed")
def step_many_connect(context, n, n_allowed):
    assert LIMITS.max_connections == n_allowed
    context.channels = [context.callers.connect()[0] for _ in range(n)]


@then("{n:d} of them are closed immediately")
def step_closed(context, n):
    assert sum(each is None for each in context.channels) == n


@when("one of the others disconnects")
def step_one_disconnects(context):
    context.channels[0].connectionLost(Failure(ConnectionDone()))


@then("one more can connect")
def step_one_more(context):
    assert context.callers.connect()[0] is not None
    assert context.callers.connect()[0] is None
