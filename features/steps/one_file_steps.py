"""Steps for the one-file program."""

import json
import signal
import subprocess
import sys
import time

from behave import given, then, when

from features.support.builders import MINIMAL_SETTINGS
from features.support.one_file import (
    build_one_file,
    install_one_file,
    list_children,
    list_written_files,
    make_folder,
)

TIMEOUT_S = 60


@given("the one file in a read-only folder")
def step_one_file(context):
    install_one_file(context, build_one_file())


@given("the file built without the interpreter in a read-only folder")
def step_without_interpreter(context):
    install_one_file(context, build_one_file(with_interpreter=False))


def run_program(context, argv):
    context.done = subprocess.run(
        argv,
        cwd=context.folder,
        env=context.environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@when('the one file is called with "{words}"')
def step_call_one_file(context, words):
    run_program(context, [context.program, *words.split()])


@when('this interpreter runs the file with "{words}"')
def step_interpreter_runs_file(context, words):
    run_program(context, [sys.executable, context.program, *words.split()])


@when("the one file renders a report of an empty log as HTML")
def step_report_page(context):
    argv = ["report", "--log", "/dev/null", "--form", "html"]
    run_program(context, [context.program, *argv])


@then('it exits with status {status:d} and its output contains "{part}"')
def step_output_holds(context, status, part):
    assert context.done.returncode == status, context.done
    assert part in context.done.stdout, context.done


@then("it exits with status {status:d} and prints one line to standard error")
def step_error_line(context, status):
    assert context.done.returncode == status, context.done
    assert context.done.stderr.count("\n") == 1, context.done


@then("no new file is left in the folder or in the temporary folder")
def step_no_new_files(context):
    assert list(context.folder.iterdir()) == [context.program]
    assert list(context.temporary_folder.iterdir()) == []


@when("the one file serves with settings whose platform does not answer")
def step_one_file_serves(context):
    folder = make_folder(context)
    settings = folder / "settings.ini"
    settings.write_bytes(MINIMAL_SETTINGS)
    context.log = folder / "log"
    with open(context.log, "wb") as log:
        context.one_file_process = subprocess.Popen(
            [context.program, "serve", "--settings", settings],
            cwd=context.folder,
            env=context.environment,
            stdout=log,
            stderr=log,
        )
    context.add_cleanup(kill_process, context.one_file_process)
    deadline = time.monotonic() + TIMEOUT_S
    while "process_started" not in read_event_names(context):
        assert time.monotonic() < deadline, context.log.read_text()
        time.sleep(0.02)


def kill_process(process):
    if process.poll() is None:
        process.kill()
        process.wait()


def read_event_names(context):
    lines = context.log.read_text(encoding="utf-8").splitlines()
    return [json.loads(line)["event"] for line in lines]


@then("the process has no child process and no file in the temporary folder")
def step_no_children(context):
    pid = context.one_file_process.pid
    assert list_children(pid) == []
    assert list(context.temporary_folder.iterdir()) == []


@then("it has no file open for writing except its output")
def step_no_written_files(context):
    written = set(list_written_files(context.one_file_process.pid))
    assert written <= {str(context.log), "/dev/null"}, written


@when("the one file's process receives SIGTERM")
def step_sigterm(context):
    context.one_file_process.send_signal(signal.SIGTERM)


@then("the process exits with status {status:d}")
def step_exit_status(context, status):
    assert context.one_file_process.wait(TIMEOUT_S) == status, context.log.read_text()
