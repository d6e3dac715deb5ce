"""Steps for the command line."""

import contextlib
import io
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from damaskrill.cli._main import run_command_line
from features.support.builders import MINIMAL_SETTINGS, MINIMAL_TEXT


def call(context, words):
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        context.status = run_command_line(words)
    context.output, context.errors = output.getvalue(), errors.getvalue()


def make_file(context, name, content):
    if not hasattr(context, "folder"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
    path = context.folder / name
    path.write_bytes(content)
    return str(path)


@when('damaskrill is called with "{words}"')
def step_call(context, words):
    call(context, words.split())


@when('damaskrill is called with ""')
def step_call_without_words(context):
    call(context, [])


@then(
    "it ends with status {status:d}, nothing on standard output and one line that "
    'contains "{part}"'
)
def step_one_line(context, status, part):
    assert context.status == status, (context.status, context.errors)
    assert context.output == "", context.output
    assert context.errors.count("\n") == 1, context.errors
    assert part in context.errors, context.errors


@then('it ends with status {status:d} and prints "{part}"')
def step_prints(context, status, part):
    assert context.status == status, (context.status, context.errors)
    assert part in context.output, context.output
    assert context.errors == ""


@given("two empty log files")
def step_log_files(context):
    context.logs = [make_file(context, f"{n}.log", b"") for n in range(2)]


@when('damaskrill explains request "{request_id}" from both')
def step_explain(context, request_id):
    call(context, ["explain", request_id, "--log", *context.logs])


@then(
    'it ends with status {status:d} and reports that the logs do not contain "{name}"'
)
def step_not_logged(context, status, name):
    assert context.status == status, (context.status, context.errors)
    assert name in context.errors, context.errors


@given("a file with the minimal text")
def step_text_file(context):
    context.file = make_file(context, "fleet.ini", MINIMAL_TEXT)


@given("a file with the minimal settings")
def step_settings_ini(context):
    context.file = make_file(context, "settings.ini", MINIMAL_SETTINGS)


@given('a file with the lines "{lines}"')
def step_file_with_lines(context, lines):
    content = lines.replace("|", "\n").encode()
    context.file = make_file(context, "checked.ini", content)


@when("the file is checked")
def step_check_file(context):
    call(context, ["check", context.file])


@then("it ends with status {status:d} and exactly these faults on standard error")
def step_fault_lines(context, status):
    assert context.status == status
    pattern = re.compile(rf"{re.escape(context.file)}:(\d+): ([a-z_]+): \S.*")
    found = [pattern.fullmatch(line) for line in context.errors.splitlines()]
    assert all(found), context.errors
    expected = [(row["line"], row["code"]) for row in context.table]
    assert [each.groups() for each in found] == expected, context.errors


@when("damaskrill's version is printed by a fresh process")
def step_fresh_process(context):
    script = (
        "import sys; from damaskrill.cli._main import run_command_line; "
        "run_command_line(['version']); print(*sys.modules)"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    context.imported = done.stdout.split()


@then("neither twisted nor websockets was imported")
def step_not_imported(context):
    assert "damaskrill.cli" in context.imported
    assert not {"twisted", "websockets"} & set(context.imported)
