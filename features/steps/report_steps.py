"""Steps for reports of error budget burn."""

import io
import json
import tempfile
from collections import Counter
from pathlib import Path

import orjson
from attrs import frozen
from behave import given, then, when

from damaskrill.messages import Cause, CauseCode, EventName, LoggedEvent
from damaskrill.monitoring import event_to_line
from damaskrill.report import report_burn
from damaskrill.utils import check_random_state

START_MS = 1_900_000_020_000
MINUTE_MS = 60_000
SERVICE = "dossier-review"
ROUTER = "10.0.0.1:7000"
ALLOWED_SHARE = 0.05
FIRST_TOKEN_OBJECTIVE_MS = 630
TOLERANCE = 1e-4
OUTAGE_CAUSE = Cause(code=CauseCode.DATA_CENTRE_OUT, subject="bole", text_version=812)
COLD_CAUSE = Cause(code=CauseCode.COLD, subject="engine-3", detail="2 of 2")
NO_SERVER_CAUSE = Cause(code=CauseCode.NO_BACKEND_SERVER, subject=SERVICE)


@frozen(kw_only=True)
class Spec:
    """Request of a generated log."""

    n: int
    end_ms: int
    team: str
    outcome: str = "completed"
    first_token_ms: int = 200
    causes: tuple = ()


def build_lines(spec, router=ROUTER):
    """Return the log lines of a request."""
    common = {"request_id": f"request-{spec.n}", "service": SERVICE, "team": spec.team}
    arrived_ms = spec.end_ms - spec.first_token_ms - 100
    events = [(arrived_ms, LoggedEvent(name=EventName.REQUEST_ARRIVED, **common))]
    if spec.outcome == "completed":
        token_ms = arrived_ms + spec.first_token_ms
        token = LoggedEvent(name=EventName.FIRST_TOKEN, request_id=common["request_id"])
        events.append((token_ms, token))
    ended = LoggedEvent(
        name=EventName.REQUEST_ENDED,
        outcome=spec.outcome,
        causes=spec.causes,
        between_tokens_ms=20 if spec.outcome == "completed" else 0,
        **common,
    )
    events.append((spec.end_ms, ended))
    return [
        orjson.dumps(event_to_line(event, router=router, at_ms=at_ms))
        for at_ms, event in events
    ]


def write_lines(context, lines):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "router.jsonl"
    path.write_bytes(b"".join(line + b"\n" for line in lines))
    context.log_path = path


def write_specs(context, specs):
    context.specs = specs
    write_lines(context, [line for spec in specs for line in build_lines(spec)])


def make_report(context, form, **options):
    context.output, context.errors = io.StringIO(), io.StringIO()
    context.status = report_burn(
        [str(context.log_path)],
        form=form,
        output=context.output,
        errors=context.errors,
        **options,
    )
    assert context.status == 0, context.errors.getvalue()
    context.page = context.output.getvalue()
    if form == "json":
        context.report = json.loads(context.page)


def completed(n, minute=0, team="desk", **fields):
    return Spec(n=n, end_ms=START_MS + minute * MINUTE_MS + 30_000, team=team, **fields)


@given(
    'a log of {n_minutes:d} minutes in which "{refused}" is refused and "{cold}" is '
    "sent to a cold engine in the last {n_last:d}"
)
def step_known_log(context, n_minutes, refused, cold, n_last):
    specs = []
    for minute in range(n_minutes):
        is_bad = minute >= n_minutes - n_last
        for k in range(10):
            team = refused if k < 6 else cold
            fields = {}
            if is_bad and team == refused:
                fields = {
                    "outcome": "not_run",
                    "causes": (NO_SERVER_CAUSE, OUTAGE_CAUSE),
                }
            elif is_bad and k in (6, 7):
                fields = {"first_token_ms": 2_000, "causes": (COLD_CAUSE,)}
            specs.append(completed(10 * minute + k, minute, team, **fields))
    write_specs(context, specs)


@given("a random log of {n:d} requests from seed {seed:d}")
def step_random_log(context, n, seed):
    random = check_random_state(seed)
    n_minutes = 900
    bad_minutes = set(random.sample(range(n_minutes), 200)) | set(range(860, 900))
    minutes = sorted(random.randrange(n_minutes) for _ in range(n))
    specs = []
    for number, minute in enumerate(minutes):
        fields = {}
        if minute in bad_minutes and random.random() < 0.6:
            fields = random.choice(
                (
                    {"outcome": "not_run", "causes": (NO_SERVER_CAUSE, OUTAGE_CAUSE)},
                    {"outcome": "unknown", "causes": (OUTAGE_CAUSE,)},
                    {"first_token_ms": 1_500, "causes": (COLD_CAUSE,)},
                    {"first_token_ms": FIRST_TOKEN_OBJECTIVE_MS, "causes": ()},
                    {
                        "first_token_ms": FIRST_TOKEN_OBJECTIVE_MS + 1,
                        "causes": (COLD_CAUSE,),
                    },
                )
            )
        specs.append(completed(number, minute, f"team-{number % 7}", **fields))
    write_specs(context, specs)


@given("a log with {n:d} completed requests whose first token came after {ms:d} ms")
def step_slow_log(context, n, ms):
    write_specs(context, [completed(k, first_token_ms=ms) for k in range(n)])


@given(
    "a log with {n:d} requests that their callers abandoned and {m:d} completed ones"
)
def step_callers_log(context, n, m):
    caller_gone = Cause(code=CauseCode.CALLER_GONE)
    specs = [completed(k, outcome="unknown", causes=(caller_gone,)) for k in range(n)]
    write_specs(context, specs + [completed(n + k) for k in range(m)])


@given("a log in which {n:d} requests were ended on two routers")
def step_twice_log(context, n):
    lines = []
    for k in range(n):
        lines += (
            build_lines(completed(k)) + build_lines(completed(k), "10.0.0.2:7000")[-1:]
        )
    write_lines(context, lines)


@given("a log with {n:d} completed requests and {m:d} damaged lines between them")
def step_damaged_log(context, n, m):
    lines = [line for k in range(n) for line in build_lines(completed(k))]
    damaged = (
        b'{"event": "request_ended", "at_ms": 19',
        b'{"event": 5, "at_ms": 1}',
        b'{"event": "request_ended", "at_ms": 1, "causes": [5]}',
        b'{"event": "request_ended", "at_ms": 1, "latency_ms": "x"}',
        b"\xff\x00",
    )
    for k in range(m):
        lines.insert(3 * k, damaged[k % len(damaged)])
    write_lines(context, lines)


@given("a log with {n:d} requests of each of {n_teams:d} teams")
def step_many_teams(context, n, n_teams):
    specs = [
        completed(k * n_teams + team, team=f"team-{team}")
        for k in range(n)
        for team in range(n_teams)
    ]
    write_specs(context, specs)


@given('a log with a lost request of team "{team}"')
def step_strange_team(context, team):
    write_specs(
        context, [completed(1, team=team, outcome="not_run", causes=(OUTAGE_CAUSE,))]
    )


@given("an empty log")
def step_empty_log(context):
    write_lines(context, [])


@when("a JSON report is made from it")
def step_make_json(context):
    make_report(context, "json")


@when("a text report is made from it")
def step_make_text(context):
    make_report(context, "text")


@when("an HTML report is made from it")
@when("a HTML report is made from it")
def step_make_html(context):
    make_report(context, "html")


@when("a JSON report is made with a text that allows {ms:d} ms to the first token")
def step_make_with_text(context, ms):
    text = Path(context.log_path).with_name("operators.ini")
    text.write_text(
        f"[service {SERVICE}]\nkind = engine\nfirst_token_objective_ms = {ms}\n"
    )
    make_report(context, "json", text_path=str(text))


@then("the report has these groups:")
def step_groups(context):
    groups = {
        (each["service"], each["team"]): each
        for each in [*context.report["services"], *context.report["teams"]]
    }
    assert len(groups) == len(context.table.rows)
    for row in context.table:
        group = groups[row["service"], row["team"]]
        assert group["n_requests"] == int(row["requests"]), group
        assert group["n_lost"] == int(row["lost"]), group
        assert group["state"] == row["state"], group
        fast, slow = group["windows"]
        pairs = (
            (group["budget_left"], row["budget left"]),
            (fast["long_rate"], row["fast long"]),
            (fast["short_rate"], row["fast short"]),
            (slow["long_rate"], row["slow long"]),
            (slow["short_rate"], row["slow short"]),
        )
        for actual, stated in pairs:
            assert abs(actual - float(stated)) < TOLERANCE, (group, stated)


@then("the report attributes these losses:")
def step_losses(context):
    stated = [
        (row["cause"], int(row["lost"]), float(row["share"])) for row in context.table
    ]
    actual = [
        (each["cause"], each["n_lost"], each["share"])
        for each in context.report["causes"]
    ]
    assert actual == stated, actual


def is_lost(spec):
    is_late = spec.first_token_ms > FIRST_TOKEN_OBJECTIVE_MS
    return spec.outcome != "completed" or is_late


def burn_rate(specs, n_minutes):
    """Return the burn rate over the last minutes, computed from the requests."""
    last_minute = max(each.end_ms for each in specs) // MINUTE_MS
    selected = [
        each for each in specs if each.end_ms // MINUTE_MS > last_minute - n_minutes
    ]
    n_lost = sum(map(is_lost, selected))
    return n_lost / len(selected) / ALLOWED_SHARE


@then("requests, losses, burn rates and causes agree with a count over the requests")
def step_agrees(context):
    specs = context.specs
    (group,) = context.report["services"]
    n_lost = sum(map(is_lost, specs))
    assert n_lost > 100, n_lost
    assert (group["n_requests"], group["n_lost"]) == (len(specs), n_lost)
    budget_left = 1 - n_lost / (ALLOWED_SHARE * len(specs))
    assert abs(group["budget_left"] - budget_left) < TOLERANCE
    fast, slow = group["windows"]
    for actual, n_minutes in (
        (fast["long_rate"], 60),
        (fast["short_rate"], 5),
        (slow["long_rate"], 360),
        (slow["short_rate"], 30),
    ):
        assert abs(actual - burn_rate(specs, n_minutes)) < TOLERANCE, n_minutes
    roots = Counter(each.causes[-1].code for each in specs if is_lost(each))
    charged = {each["cause"]: each["n_lost"] for each in context.report["causes"]}
    assert sorted(charged.values()) == sorted(roots.values()), (charged, roots)
    by_team = Counter(each.team for each in specs if is_lost(each))
    teams = {each["team"]: each["n_lost"] for each in context.report["teams"]}
    assert teams == by_team
    series = context.report["series"]
    assert sum(each["n_lost"] for each in series) == n_lost
    assert len(series) <= 240


@then('it counts {n:d} lost requests of "{service}"')
def step_names_lost(context, n, service):
    lost = {each["service"]: each["n_lost"] for each in context.report["services"]}
    assert lost == {service: n}, lost


@then("it counts {n:d} requests that the callers ended")
def step_names_own(context, n):
    assert context.report["n_callers_own"] == n


@then('the report counts {n:d} requests of "{service}"')
def step_counts_requests(context, n, service):
    counts = {
        each["service"]: each["n_requests"] for each in context.report["services"]
    }
    assert counts == {service: n}, counts


@then("it counts {n:d} damaged lines and names the first {m:d} of them")
def step_counts_damaged(context, n, m):
    assert context.report["n_damaged"] == n, context.report["n_damaged"]
    assert context.report["damaged"].count(f"{context.log_path}:") == m


@then("it has {n:d} groups of teams, and their requests add up to {total:d}")
def step_team_groups(context, n, total):
    teams = context.report["teams"]
    assert len(teams) == n, len(teams)
    assert sum(each["n_requests"] for each in teams) == total


@then("the requests beyond the limit are counted as others")
def step_others(context):
    (others,) = (each for each in context.report["teams"] if each["team"] == "others")
    assert others["n_requests"] == 2 * (3000 - 200), others


@then("the page contains no script and loads nothing")
def step_no_script(context):
    lowered = context.page.lower()
    for word in ("<script", "<link", "<img", "@import", "url(", "src="):
        assert word not in lowered, word


@then("the page contains {n:d} plots")
def step_n_plots(context, n):
    assert context.page.count("<svg") == n, context.page.count("<svg")


@then('the page contains "{words}"')
def step_page_holds(context, words):
    assert words in context.page, context.page[:2_000]


@when("a report is requested from a log that does not exist")
def step_report_missing(context):
    context.errors = io.StringIO()
    context.status = report_burn(["/nonexistent/router.jsonl"], errors=context.errors)


@when('a report is requested in the format "{form}"')
def step_report_form(context, form):
    context.errors = io.StringIO()
    context.status = report_burn([], form=form, errors=context.errors)


@then('the report is refused with status {status:d} and "{code}"')
def step_report_refused(context, status, code):
    line = context.errors.getvalue()
    assert context.status == status
    assert line.startswith(f"{code}: "), line
    assert line.count("\n") == 1, line
