"""Steps for traces: reading, replay and recording."""

import io
import json
import tempfile
from pathlib import Path

import orjson
from behave import given, then, when

from damaskrill.kernel import build_kernel
from damaskrill.messages import (
    BackendEnded,
    BackendFirstToken,
    DispatchAttempt,
    HostListRead,
    RequestArrived,
    TextRead,
    Tick,
)
from damaskrill.traces import (
    EXPECTATION_TYPES,
    ExpectedAnswerCount,
    ExpectedCause,
    ExpectedDispatchCount,
    ExpectedLoadAtMost,
    ExpectedNoDispatchTo,
    ExpectedOutcome,
    ExpectedSameServer,
    ExpectedTextVersion,
    RotatingFileSink,
    StreamSink,
    TraceHeader,
    TraceInput,
    TraceRecorder,
    TraceRouter,
    dump_line,
    expectation_from_map,
    expectation_to_map,
    header_to_map,
    open_trace,
    replay_files,
)
from features.support.builders import (
    MINIMAL_TEXT,
    build_hosts,
    build_member,
    build_request,
)

OWN = build_member(1)
SEED = 1


def run_chats(n_chats, record):
    """Run chats one after the other; call ``record`` with each input and its time."""
    kernel = build_kernel(own=OWN, random_state=SEED)

    def feed(message, at_ms):
        record(message, at_ms)
        return kernel.decide(message, at_ms)

    feed(HostListRead(hosts=build_hosts([OWN])), 0)
    feed(TextRead(version=1, content=MINIMAL_TEXT), 0)
    for n in range(1, n_chats + 1):
        start_ms = 100 * n
        feed(Tick(), start_ms)
        request = build_request(n, now_ms=start_ms)
        effects = feed(RequestArrived(request=request), start_ms)
        sent = [each for each in effects if isinstance(each, DispatchAttempt)]
        attempt_id = sent[0].attempt_id
        feed(BackendFirstToken(attempt_id=attempt_id, latency_ms=20), start_ms + 20)
        ended = BackendEnded(attempt_id=attempt_id, n_bytes=12, digest="ab")
        feed(ended, start_ms + 40)


def write_trace(context):
    context.path.write_bytes(b"".join(context.lines))


def replay(context, path):
    context.output, context.errors = io.StringIO(), io.StringIO()
    context.status = replay_files(
        [str(path)], output=context.output, errors=context.errors
    )


def add_expectation(context, expectation):
    context.lines.append(dump_line(expectation_to_map(expectation)))


@given('a trace of one router that dispatches a chat to "{name}"')
def step_trace(context, name):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.path = context.folder / "trace.jsonl"
    buffer = io.BytesIO()
    router = TraceRouter(
        name="r1", address=OWN.address, data_centre="bole", incarnation="a"
    )
    header = TraceHeader(seed=SEED, routers=(router,))
    recorder = TraceRecorder(own=OWN, random_state=SEED, sink=StreamSink(stream=buffer))
    run_chats(1, recorder.record_input)
    lines = buffer.getvalue().replace(OWN.member_id.encode(), b"r1").splitlines(True)
    context.lines = [dump_line(header_to_map(header)), *lines[1:]]


@given('the trace expects the outcome of "{request_id}" to be "{outcome}"')
def step_expect_outcome(context, request_id, outcome):
    add_expectation(
        context, ExpectedOutcome(at_ms=500, request_id=request_id, outcome=outcome)
    )


@given('the trace expects at most {n:d} dispatches of "{request_id}"')
def step_expect_dispatches(context, n, request_id):
    add_expectation(
        context, ExpectedDispatchCount(at_ms=500, request_id=request_id, at_most=n)
    )


@given("line {number:d} of the trace is replaced by '{content}'")
def step_replace_line(context, number, content):
    context.lines[number - 1] = content.encode() + b"\n"


@given("a last line with an earlier time than the others is added to the trace")
def step_add_early_line(context):
    early = {"at_ms": 1, "router": "r1", "message": {"type": "Tick"}}
    context.lines.append(dump_line(early))


@when("the trace is replayed")
def step_replay(context):
    write_trace(context)
    replay(context, context.path)


@when("a trace file that does not exist is replayed")
def step_replay_missing(context):
    replay(context, context.folder / "missing.jsonl")


@then("the replay's exit status is {status:d}")
def step_status(context, status):
    seen = context.output.getvalue() + context.errors.getvalue()
    assert context.status == status, seen


@then('its row ends with "{words}"')
def step_row_ends(context, words):
    row = context.output.getvalue().splitlines()[0]
    assert row.endswith(words), row


@then('its output contains "{subject}" with "{expected}" and "{actual}"')
def step_difference(context, subject, expected, actual):
    row = context.output.getvalue().splitlines()[-1]
    after_subject = row.partition(subject)[2].split()
    assert after_subject == [expected, actual], row


@then("a second replay prints the same bytes")
def step_same_bytes(context):
    first = context.output.getvalue()
    replay(context, context.path)
    assert context.output.getvalue() == first


@then('the error contains line {number:d} and "{code}"')
def step_error_line(context, number, code):
    line = context.errors.getvalue()
    assert line.startswith(f"{context.path}:{number}: {code}: "), line
    assert line.count("\n") == 1, line


@then('the error contains the trace\'s last line and "{code}"')
def step_error_last_line(context, code):
    step_error_line(context, len(context.lines), code)


@given("a recorder that records the inputs of a router")
def step_recorder(context):
    sink = RotatingFileSink(path=str(context.path))
    recorder = TraceRecorder(own=OWN, random_state=SEED, sink=sink)
    run_chats(1, recorder.record_input)
    recorder.close()
    assert recorder.n_inputs == 6, recorder.n_inputs


@when('its file is replayed with the expected outcome "{outcome}"')
def step_replay_recorded(context, outcome):
    expectation = ExpectedOutcome(at_ms=500, request_id="request-1", outcome=outcome)
    with context.path.open("ab") as stream:
        stream.write(dump_line(expectation_to_map(expectation)))
    replay(context, context.path)


@given("a recorder with files of {n_bytes:d} bytes that records {n_chats:d} chats")
def step_rotating_recorder(context, n_bytes, n_chats):
    sink = RotatingFileSink(path=str(context.path), max_bytes=n_bytes, n_files=3)
    recorder = TraceRecorder(own=OWN, random_state=SEED, sink=sink)
    run_chats(n_chats, recorder.record_input)
    recorder.close()


@then("at most {n_files:d} files are retained")
def step_files_retained(context, n_files):
    context.files = sorted(context.folder.glob("trace.jsonl*"))
    assert 1 < len(context.files) <= n_files, context.files


@then("each of the recorder's files is replayed without an error")
def step_files_replay(context):
    for path in context.files:
        replay(context, path)
        assert context.status == 0, context.errors.getvalue()


@then("the newest of the recorder's files contains the operators' text")
def step_newest_has_text(context):
    messages = [
        entry.message
        for _, entry in open_trace(str(context.path))
        if isinstance(entry, TraceInput)
    ]
    texts = [each for each in messages if isinstance(each, TextRead)]
    assert [each.content for each in texts] == [MINIMAL_TEXT]


@given("two recorders that record {permille:d} in a thousand of {n:d} requests")
def step_sampling_recorders(context, permille, n):
    context.samples = []
    for member in (build_member(1), build_member(2)):
        buffer = io.BytesIO()
        recorder = TraceRecorder(
            own=member,
            random_state=SEED,
            sink=StreamSink(stream=buffer),
            sample_permille=permille,
        )
        for k in range(n):
            request = build_request(k)
            recorder.record_input(RequestArrived(request=request), k)
            ended = BackendEnded(attempt_id=f"request-{k}.a.1", n_bytes=1, digest="ab")
            recorder.record_input(ended, k)
        context.samples.append(
            [orjson.loads(line) for line in buffer.getvalue().splitlines()[1:]]
        )


def sampled_requests(lines):
    return [
        each["message"]["request"]["request_id"]
        for each in lines
        if "request" in each["message"]
    ]


@then("both recorded the same requests")
def step_same_sample(context):
    first, second = (sampled_requests(each) for each in context.samples)
    assert first == second


@then("between {low:d} and {high:d} requests were recorded")
def step_sample_size(context, low, high):
    n_recorded = len(sampled_requests(context.samples[0]))
    assert low <= n_recorded <= high, n_recorded


@then("a recorded request's attempts were recorded with it")
def step_sampled_attempts(context):
    lines = context.samples[0]
    requests = sampled_requests(lines)
    attempts = [
        each["message"]["attempt_id"]
        for each in lines
        if "request" not in each["message"]
    ]
    assert attempts == [f"{name}.a.1" for name in requests]


@then("each kind of expected outcome is unchanged after it was written and read")
def step_expectations_survive(context):
    expectations = [
        ExpectedOutcome(
            at_ms=1, request_id="r", outcome="completed", alternatives=("unknown",)
        ),
        ExpectedCause(at_ms=1, request_id="r", code="at_limit"),
        ExpectedAnswerCount(at_ms=1, request_id="r"),
        ExpectedDispatchCount(at_ms=1, idempotency_key="k", at_most=1),
        ExpectedLoadAtMost(at_ms=1, backend_server="s", value=2),
        ExpectedNoDispatchTo(at_ms=1, data_centre="bole", after_ms=3),
        ExpectedSameServer(at_ms=1, request_ids=("a", "b")),
        ExpectedTextVersion(at_ms=1, router="r1", version=2),
    ]
    assert {each.kind for each in expectations} == set(EXPECTATION_TYPES)
    for expectation in expectations:
        content = json.loads(dump_line(expectation_to_map(expectation)))
        assert expectation_from_map(content) == expectation
