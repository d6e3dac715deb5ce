"""Steps for the judge of plays, on requests that are written down."""

import re
from pathlib import Path

from behave import given, then

from features.support.fleet_processes import RouterRecord
from features.support.piece_callers import KINDS, Exchange
from features.support.piece_checks import Judge
from features.support.piece_servers import Run, build_body, build_piece

N_PIECES = 4
GRACE_S = 8
# Times of the SIGTERM and of the end of an answer, in seconds.
STOPPED_AT, ENDED_AT = 100.0, 104.0
SEAL = {"damaskrill-response-seal": "seal"}


@given("a request for a {kind} of which {seen}")
def step_request(context, kind, seen):
    pieces = [build_piece("r", "v1", number) for number in range(1, N_PIECES + 1)]
    router = RouterRecord(host="", settings=Path(), log=Path())
    exchange = Exchange(
        request_id="r",
        kind=next(each for each in KINDS if each.name == kind),
        stream="r",
        n_pieces=N_PIECES,
        router=0,
        n_before=1,
        begun_at=ENDED_AT - 0.5,
        sent_at=ENDED_AT - 0.5,
        ended_at=ENDED_AT,
        status=200,
        headers=SEAL,
        body=b"".join(pieces) if kind in ("chat", "check") else build_body("r"),
        end="complete",
    )
    run = Run(request_id="r", server="s", version="v1", begun_at=1.0, ended_at=ENDED_AT)
    runs = [run]
    if seen.startswith("the connection ends"):
        exchange.end, exchange.body, run.end = "reset", pieces[0], "left"
    if after_stop := re.search(r"ends (\S+) s after SIGTERM", seen):
        router.stops.append(STOPPED_AT)
        run.ended_at = exchange.ended_at = STOPPED_AT + float(after_stop[1])
        exchange.begun_at = exchange.sent_at = STOPPED_AT - 0.5
    if sent_after := re.search(r"sent (\S+) s after", seen):
        exchange.begun_at = exchange.sent_at = STOPPED_AT + float(sent_after[1])
    match seen:
        case "the connection ends as its server broke off":
            run.end = "broken"
        case "the connection ends just after its router was killed":
            router.disruptions.append(ENDED_AT)
        case "piece 2 is missing":
            exchange.body = b"".join([pieces[0], *pieces[2:]])
        case "piece 2 comes twice":
            exchange.body = b"".join([*pieces[:2], *pieces[1:]])
        case "the end is missing and it looks complete":
            exchange.body = b"".join(pieces[:3])
        case "piece 3 is of another version":
            runs.append(Run(request_id="r", server="t", version="v2", begun_at=1.0))
            other = build_piece("r", "v2", 3)
            exchange.body = b"".join([*pieces[:2], other, pieces[3]])
        case "the body is of another request":
            exchange.body = build_body("another")
        case "it is refused with 503 and has run":
            exchange.status = 503
        case "two servers have run it":
            runs.append(run)
    context.judge = Judge(
        exchanges=[exchange], runs=runs, routers=[router], grace_s=GRACE_S
    )


@then("the judge names {rule}")
def step_rule(context, rule):
    found = [each.rule for each in context.judge.find_violations()]
    assert found == ([] if rule == "nothing" else [rule]), found
