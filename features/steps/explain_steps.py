"""Steps for explanations of requests."""

import io
import tempfile
from pathlib import Path

import orjson
from behave import given, then, when

from damaskrill.explain import explain_request
from damaskrill.messages import Cause, CauseCode, EventName, LoggedEvent
from damaskrill.monitoring import event_to_line

START_MS = 1_900_000_000_000
ENTRY = "10.0.0.1:7000"
OWNER = "10.0.0.2:7000"


def write_log(context, router, events):
    """Write the log of a router; events are pairs of time after the start and event."""
    if "log_paths" not in context:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.log_folder = Path(folder.name)
        context.log_paths = []
    path = context.log_folder / f"router-{len(context.log_paths)}.jsonl"
    lines = [
        orjson.dumps(event_to_line(event, router=router, at_ms=START_MS + at_ms))
        for at_ms, event in events
    ]
    path.write_bytes(b"\n".join(lines) + b"\n")
    context.log_paths.append(str(path))


@given("the logs of two routers on a chat that waited for a cold engine")
def step_cold_logs(context):
    common = {"request_id": "request-7", "service": "dossier-review"}
    attempt = {**common, "attempt_id": "request-7.1", "backend_server": "engine-2"}
    cold = Cause(code=CauseCode.COLD, subject="engine-2")
    entry = [
        (0, LoggedEvent(name=EventName.REQUEST_ARRIVED, team="licensing", **common)),
        (
            1,
            LoggedEvent(
                name=EventName.ATTEMPT_OFFERED,
                peer=OWNER,
                n_attempts=1,
                detail="the first choice for dossier 'dossier-1'",
                **attempt,
            ),
        ),
        (
            1_900,
            LoggedEvent(name=EventName.FIRST_TOKEN, latency_ms=1_900, **attempt),
        ),
        (
            2_400,
            LoggedEvent(
                name=EventName.REQUEST_ENDED,
                outcome="completed",
                latency_ms=2_400,
                **common,
            ),
        ),
    ]
    owner = [
        (
            -60_000,
            LoggedEvent(
                name=EventName.SERVER_COLD, backend_server="engine-2", load_bound=2
            ),
        ),
        (
            2,
            LoggedEvent(
                name=EventName.ATTEMPT_QUEUED,
                load=2,
                load_bound=2,
                causes=(cold,),
                **attempt,
            ),
        ),
        (
            1_500,
            LoggedEvent(
                name=EventName.ATTEMPT_DISPATCHED,
                load=2,
                load_bound=2,
                wait_ms=1_500,
                **attempt,
            ),
        ),
    ]
    write_log(context, OWNER, owner)
    write_log(context, ENTRY, entry)


@given(
    'the log of a chat that was refused because data centre "{name}" is out of service'
)
def step_out_log(context, name):
    causes = (
        Cause(code=CauseCode.NO_BACKEND_SERVER, subject="dossier-review"),
        Cause(code=CauseCode.DATA_CENTRE_OUT, subject=name, text_version=812),
    )
    common = {"request_id": "request-8", "service": "dossier-review"}
    out = LoggedEvent(
        name=EventName.DATA_CENTRE_OUT, data_centre=name, text_version=812
    )
    write_log(context, OWNER, [(-1_000, out)])
    ended = LoggedEvent(
        name=EventName.REQUEST_ENDED, outcome="not_run", causes=causes, **common
    )
    arrived = LoggedEvent(name=EventName.REQUEST_ARRIVED, **common)
    write_log(context, ENTRY, [(-1_001, out), (0, arrived), (3, ended)])


@given(
    "the logs of a router that sent {n:d} of {limit:d} servers a request, and of a "
    "peer that sent it to {n_peer:d}"
)
def step_two_senders(context, n, limit, n_peer):
    for n_servers, peer in ((n, ""), (n_peer, "10.0.0.1")):
        ended = {
            "event": "request_ended",
            "at_ms": START_MS,
            "request_id": "request-9",
            "outcome": "completed",
            "peer": peer,
            "n_servers": n_servers,
            "max_servers": limit,
        }
        write_log(context, peer or ENTRY, [])
        Path(context.log_paths[-1]).write_bytes(orjson.dumps(ended))


@given("damaged lines in that log")
def step_damaged(context):
    with Path(context.log_paths[-1]).open("ab") as stream:
        stream.write(b'{"event": "request_en\n')
        stream.write(b'{"event": "request_ended", "at_ms": "late"}\n')
        stream.write(b"\xff\xfe\n")


@when('"{request_id}" is explained')
def step_explain(context, request_id):
    context.output, context.errors = io.StringIO(), io.StringIO()
    context.status = explain_request(
        request_id, context.log_paths, output=context.output, errors=context.errors
    )


@when('"{request_id}" is explained from a file that does not exist')
def step_explain_missing(context, request_id):
    context.log_paths = ["/nonexistent/router.jsonl"]
    step_explain(context, request_id)


@then("the explanation's exit status is {status:d}")
def step_explain_status(context, status):
    assert context.status == status, context.errors.getvalue()


@then("its sentences come in this order:")
def step_sentences_in_order(context):
    text = context.output.getvalue()
    position = 0
    for row in context.table:
        found = text.find(row["words"], position)
        assert found >= 0, f"{row['words']!r} is missing or out of order in:\n{text}"
        position = found + 1


@then('the outage of data centre "{name}" is listed once')
def step_named_once(context, name):
    words = f"(before) Operators took data centre '{name}' out"
    assert context.output.getvalue().count(words) == 1, context.output.getvalue()


@then('the error is one line with the code "{code}"')
def step_one_line(context, code):
    line = context.errors.getvalue()
    assert line.startswith(f"{code}: "), line
    assert line.count("\n") == 1, line
