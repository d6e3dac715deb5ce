"""Steps for the example traces."""

import io
from pathlib import Path

from behave import then, when

from damaskrill.traces import replay_files

FOLDER = Path(__file__).resolve().parent.parent.parent / "examples" / "traces"


def replay_examples():
    paths = sorted(FOLDER.glob("*.jsonl"))
    output = io.StringIO()
    status = replay_files([str(path) for path in paths], output=output)
    return status, output.getvalue(), [path.stem for path in paths]


@when("all example traces are replayed")
def step_replay_examples(context):
    context.status, context.rows, context.names = replay_examples()


@then("there is a row for each of at least {n:d} traces, and all of them pass")
def step_rows(context, n):
    rows = context.rows.splitlines()
    assert context.status == 0, context.rows
    assert len(rows) == len(context.names) >= n, context.rows
    assert all(row.endswith("all hold") for row in rows), context.rows


@then("both users have traces, and one was recorded on a real router with HTTP clients")
def step_both_users(context):
    users = {name.partition("-")[0] for name in context.names}
    assert users == {"abay", "abzugsrein"}, users
    assert "abay-live-router" in context.names


@then("a second replay of all example traces prints the same bytes")
def step_same_rows(context):
    assert replay_examples()[1] == context.rows
