"""Steps for prompts that crash servers, with gateways on loopback."""

import asyncio
import itertools
import time
from unittest.mock import Mock

from behave import given, then, when

from damaskrill.fakes.platform import FakeServer, build_entry
from damaskrill.gateway._attempt import BadAnswer, Broken, NotRun, StreamEnded
from damaskrill.gateway._outcomes import has_crashed, shows_sound_prompt
from damaskrill.http1 import (
    AnswerSink,
    ExchangeFailure,
    FailureKind,
    OutgoingRequest,
    ServerConnection,
)
from features.support.gateways import GatewayTestbed

RESTART_S = 0.2
# Longer than the time in which reports cross a link.
LINK_S = 0.4
# Time between two requests, so that the crashes are told apart.
BETWEEN_S = 0.3
MAX_CHATS = 8
# The rule counts from twice this long after the last crash, which is 3 s.
MAX_DECIDING_S = 6
# No caller waits for so long.
MIN_RETRY_AFTER_S = 10
NUMBERS = itertools.count(1)
HOST = ((b"Host", b"desk.example"),)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Time within which the line of a failed attempt says that the answer had just begun.
JUST_BEGUN_MS = 500


def build_prompt_header(parts):
    prompt = ",".join(f"{part}:100" for part in parts.split(","))
    return ("Damaskrill-Prompt-Prefix", prompt)


@given('all engines crash on the prompt part "{part}"')
def step_crashing_part(context, part):
    for name in ("e-1", "e-2"):
        context.testbed.servers[name].fatal_parts = {part}


@when('a caller sends a chat with the prompt "{parts}"')
def step_send_chat(context, parts):
    headers = [build_prompt_header(parts)]
    context.reply = context.testbed.send("/chat/1", headers=headers)


@then('a line of a failed attempt names the parts "{parts}" and an answer just begun')
def step_failed_line(context, parts):
    lines = context.testbed.logs[0].lines
    failed = [line for line in lines if line["event"] == "attempt_failed"]
    assert failed and failed[0].get("prompt_parts") == parts.split(","), failed
    assert failed[0]["has_answer"] is True, failed
    assert 0 <= failed[0]["begun_ms"] <= JUST_BEGUN_MS, failed


@given('a platform with {n:d} engines that crash on the part "{part}" and come back')
def step_crashing_platform(context, n, part):
    context.testbed = testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    testbed.configure()
    context.crashed = []
    context.part = part
    for number in range(n):
        add_crashing_engine(context, f"e-{number}")


def add_crashing_engine(context, name):
    testbed = context.testbed
    testbed.add_server(name, "pool")
    server = testbed.servers[name]

    def handle_crash():
        context.crashed.append(name)
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, restart)

    def restart():
        # Each start is a new incarnation.
        number = len(context.crashed)
        fresh = FakeServer(reactor=testbed.reactor, server_id=f"{name}-{number}")
        testbed.servers[fresh.server_id] = fresh
        fresh.fatal_parts, fresh.on_crash = server.fatal_parts, handle_crash
        entry = build_entry(service="pool", address=fresh.address)
        testbed.store.put(f"servers/{fresh.server_id}", entry)

    server.fatal_parts = {context.part}
    server.on_crash = handle_crash


@given("{n:d} gateways that know each other")
def step_gateways(context, n):
    testbed = context.testbed
    # Enough retries for one of them, as it does not take the shares of others that
    # have ended.
    testbed.settings["repeat_slack"] = 200
    for _ in range(n):
        testbed.add_gateway()
    for gateway in testbed.gateways:
        testbed.wait_until_ready(gateway)
        assert testbed.wait_for(lambda each=gateway: each._mesh.n_links == n - 1)


def send_with_part(context, path="/chat/1", *, gateway=None, part=None):
    number = next(NUMBERS)
    parts = f"aa,{part or context.part},q{number}"
    headers = [build_prompt_header(parts)]
    # Only requests that come again have the same body.
    body = parts.encode()
    return context.testbed.send(path, gateway=gateway, headers=headers, body=body)


@when(
    'chats with the part "{part}" arrive at the gateways in turn until one is rejected'
)
def step_until_rejected(context, part):
    send_until_rejected(context, lambda each: send_with_part(context, gateway=each))


def send_until_rejected(context, send):
    gateways = itertools.cycle(context.testbed.gateways)
    for gateway in itertools.islice(gateways, MAX_CHATS):
        reply = send(gateway)
        if reply.status == 503 and b"crashing_prompt" in reply.body:
            break
        time.sleep(BETWEEN_S)
    else:
        raise AssertionError("no chat was rejected")


@given("each gateway has served {n:d} chats on a document, {seconds:g} s ago")
def step_served_document(context, n, seconds):
    for gateway in context.testbed.gateways * n:
        reply = send_on_document(context, gateway=gateway)
        assert reply.status == 200, reply
    time.sleep(seconds)


def send_on_document(context, *, gateway, bad_part=""):
    parts = ["aa", *([bad_part] if bad_part else []), "document", f"q{next(NUMBERS)}"]
    prompt = ",".join(parts)
    return context.testbed.send(
        "/chat/1",
        gateway=gateway,
        headers=[build_prompt_header(prompt)],
        body=prompt.encode(),
    )


@when("chats with the bad part before the document arrive until one is rejected")
def step_bad_before_document(context):
    send_until_rejected(
        context,
        lambda each: send_on_document(context, gateway=each, bad_part=context.part),
    )
    time.sleep(LINK_S)


@when("chats on the document arrive at all gateways until each has served one")
def step_until_each_serves(context):
    waiting = list(context.testbed.gateways)
    ends_at = time.monotonic() + MAX_DECIDING_S
    while waiting and time.monotonic() < ends_at:
        replies = {
            id(each): send_on_document(context, gateway=each) for each in waiting
        }
        for reply in replies.values():
            assert reply.status in (200, 503), reply
            if reply.status == 503:
                assert float(reply.headers["retry-after"]) <= MAX_DECIDING_S, reply
        waiting = [each for each in waiting if replies[id(each)].status != 200]
        time.sleep(BETWEEN_S)
    assert not waiting, replies


@then("all gateways serve chats on the document")
def step_document_served(context):
    for gateway in context.testbed.gateways:
        reply = send_on_document(context, gateway=gateway)
        assert reply.status == 200 and reply.is_complete, reply


@then("at most {n:d} engines have crashed")
def step_crashed_at_most(context, n):
    assert len(context.crashed) <= n, context.crashed


@then("the line of the blocked part tells what is known of it")
def step_blocked_line(context):
    from damaskrill.steering import short_id

    last = {}
    for log in context.testbed.logs:
        for line in log.lines:
            if line["event"] == "prompt_part_blocked":
                last[id(log)] = line
    assert last
    for line in last.values():
        assert line["part"] == f"{short_id(context.part):08x}", line
        assert line["n_crashes"] >= 3 and line["n_served"] == 0, line
        assert isinstance(line["alternatives"], list), line


@then("{least:d} to {most:d} engines have crashed")
def step_crashed_range(context, least, most):
    assert least <= len(context.crashed) <= most, context.crashed


@then("{n:d} engines have crashed")
def step_crashed(context, n):
    assert len(context.crashed) == n, context.crashed


@then("all gateways reject further chats with the part as not run, without an engine")
def step_all_reject(context):
    testbed = context.testbed
    time.sleep(LINK_S)
    n_crashed = len(context.crashed)
    for gateway in testbed.gateways:
        reply = send_with_part(context, gateway=gateway)
        assert reply.status == 503, reply
        assert reply.body.startswith(b"crashing_prompt: "), reply
        assert float(reply.headers["retry-after"]) >= MIN_RETRY_AFTER_S, reply
        assert testbed.runs_of(reply.request_id) == 0
    assert len(context.crashed) == n_crashed


@then("all gateways serve chats with the same first part")
def step_others_served(context):
    for gateway in context.testbed.gateways:
        reply = send_with_part(context, gateway=gateway, part="cc")
        assert reply.status == 200 and reply.is_complete, reply


@then("the metrics and the log of a gateway name the blocked part")
def step_told(context):
    from damaskrill.steering import short_id

    testbed = context.testbed
    lines = testbed.logs[0].lines
    (line,) = (each for each in lines if each["event"] == "prompt_part_blocked")
    assert line["part"] == f"{short_id(context.part):08x}", line
    ends = [each for each in lines if each["event"] == "request_ended"]
    assert ends[-2]["detail"] == f"prompt part {context.part}", ends[-2]
    assert ends[-2]["outcome"] == "not_run", ends[-2]
    metrics = testbed.gateways[0]._metrics.render({}).decode()
    assert "damaskrill_gateway_prompt_parts_blocked_total 1" in metrics


@when('a check with the part "{part}" arrives')
def step_check_arrives(context, part):
    time.sleep(BETWEEN_S)
    context.reply = send_with_part(context, "/check/1", part=part)


@then("its caller got status {status:d} after one attempt")
def step_one_attempt(context, status):
    assert context.reply.status == status, context.reply
    ends = [
        line
        for line in context.testbed.logs[0].lines
        if line["event"] == "request_ended"
        and line["request_id"] == context.reply.request_id
    ]
    assert ends[0]["n_attempts"] == 1, ends


@when("another gateway starts and has links")
def step_another_gateway(context):
    testbed = context.testbed
    gateway = testbed.add_gateway()
    assert testbed.wait_for(lambda: gateway.is_ready and gateway._mesh.n_links > 0)


class RecordingSink(AnswerSink):
    def __init__(self):
        self.failures = []

    def handle_head(self, head):
        pass

    def handle_data(self, data):
        pass

    def handle_end(self):
        raise AssertionError("the answer looked complete")

    def handle_failure(self, failure):
        self.failures.append(failure)


@given("a server that ends a chunked answer in its middle")
def step_cut_answer(context):
    context.data, context.is_closed = CHUNKED + b"5\r\nhel", True


@given("a server whose chunked answer has a wrong length")
def step_malformed_answer(context):
    context.data, context.is_closed = CHUNKED + b"xyz\r\nhello", False


@when("a connection receives it")
def step_receive(context):
    connection, context.sink = ServerConnection(), RecordingSink()
    connection.transport = Mock()
    connection._is_open = True
    request = OutgoingRequest(method=b"GET", target=b"/", headers=HOST, body=b"")
    connection.start(request, context.sink)
    connection.dataReceived(context.data)
    if context.is_closed:
        connection.connectionLost()


@then('the exchange failed as "{kind}"')
def step_failed_as(context, kind):
    assert [each.kind.value for each in context.sink.failures] == [kind]


def build_broken_attempt(kind):
    failure = ExchangeFailure(kind=kind, reason="it ended", has_answer=True)
    return Broken(failure=failure)


ENDS = {
    "was closed": build_broken_attempt(FailureKind.CLOSED),
    "was reset": build_broken_attempt(FailureKind.RESET),
    "stalled": build_broken_attempt(FailureKind.STALLED),
    "was malformed": build_broken_attempt(FailureKind.MALFORMED),
    "was refused": NotRun(status=503),
    "had a bad answer": BadAnswer(reason="no proof"),
    "ended inside an event": BadAnswer(reason="inside an event", is_cut=True),
    "ended": StreamEnded(),
}


@given("an attempt with head {status:d} that {end}, {ms:d} ms after the first event")
def step_attempt(context, status, end, ms):
    has_head = status > 0
    context.attempt = Mock(
        is_success=status == 200,
        begun_ms=ms if has_head else None,
        first_event_ms=ms if status == 200 else None,
    )
    context.result = ENDS[end]


@then("it tells of a crash: {crash}, and of a sound prompt: {sound}")
def step_tells(context, crash, sound):
    found = has_crashed(context.result, context.attempt)
    assert found is (crash == "yes"), found
    found = shows_sound_prompt(context.result, context.attempt)
    assert found is (sound == "yes"), found
