"""Steps for ``damaskrill serve`` and ``demo`` as processes."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from damaskrill.demo import LoopbackFleet
from damaskrill.demo._client import send_request
from damaskrill.fakes import build_chat_answer
from damaskrill.messages import HostEntry
from features.steps.whole_path_steps import build_chat
from features.support.processes import (
    ROOT,
    WAIT_S,
    free_address,
    read_log_lines,
    wait_for,
)
from features.support.reactor_thread import get_reactor_thread

FLEET_KEY = "a key that no log may contain"


def start_process(context, *arguments):
    folder = tempfile.mkdtemp(prefix="damaskrill-serve-")
    context.error_path = Path(folder, "stderr")
    context.output_path = Path(folder, "stdout")
    with open(context.error_path, "wb") as errors:
        with open(context.output_path, "wb") as output:
            context.process = subprocess.Popen(
                [sys.executable, "-m", "damaskrill", *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=errors,
            )
    context.add_cleanup(kill_process, context.process)


def kill_process(process):
    if process.poll() is None:
        process.kill()
        process.wait()


def start_router(context, settings):
    path = Path(tempfile.mkdtemp(prefix="damaskrill-settings-"), "settings.ini")
    path.write_text(settings, encoding="utf-8")
    start_process(context, "serve", "--settings", str(path))


def read_log(context):
    return read_log_lines(context.error_path)


@given("a fake platform on loopback")
def step_platform(context):
    thread = get_reactor_thread()
    from twisted.internet import reactor

    context.fleet = LoopbackFleet(reactor=reactor, n_routers=0, n_engines=1)
    context.add_cleanup(lambda: thread.run(context.fleet.stop()))
    thread.run(context.fleet.start())


def build_settings(context, caller_address="127.0.0.1:0"):
    # The host list must contain the address before the process binds it.
    peer_address = free_address()
    host = HostEntry(address=peer_address, data_centre="bole")
    context.fleet.platform.host_list.set_hosts((host,), 0)
    return f"""\
[process]
data_centre = bole
[callers]
caller_address = {caller_address}
[peers]
peer_address = {peer_address}
fleet_key = {FLEET_KEY}
[platform]
configuration_service_url = {context.fleet.platform.text_url}
host_list_url = {context.fleet.platform.host_list_url}
"""


@when("the command serve runs with valid settings")
def step_serve(context):
    start_router(context, build_settings(context))
    started = wait_for(
        lambda: [
            line for line in read_log(context) if line["event"] == "process_started"
        ]
    )
    context.caller_port = started[0]["caller_port"]


@when('the command serve runs with the settings "{settings}"')
def step_serve_with(context, settings):
    start_router(context, settings.replace("\\n", "\n"))


@when("the command serve runs with a caller address that is in use")
def step_serve_address_in_use(context):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    context.add_cleanup(listener.close)
    port = listener.getsockname()[1]
    start_router(context, build_settings(context, caller_address=f"127.0.0.1:{port}"))


@when("the command demo runs")
def step_demo(context):
    start_process(context, "demo")


def is_ready(context):
    return send_request(context.caller_port, "/readyz", None, {}).status == 200


@then("the readiness page becomes ready")
def step_becomes_ready(context):
    wait_for(lambda: is_ready(context))


@when("it gets the signal SIGTERM")
def step_sigterm(context):
    context.process.send_signal(signal.SIGTERM)


@when("a client streams a long chat and the process gets SIGTERM meanwhile")
def step_stream_and_stop(context):
    context.chat = build_chat(1, stream=True, max_tokens=200)
    context.reply = stream_and_signal(context, n_signals=1)


@when("a client streams an endless chat and the process gets SIGTERM twice")
def step_stream_and_signal_twice(context):
    context.chat = build_chat(1, stream=True, max_tokens=100_000)
    context.reply = stream_and_signal(context, n_signals=2)


def stream_and_signal(context, *, n_signals):
    engine = context.fleet.engines[0].engine
    body = json.dumps(context.chat).encode()
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(
            send_request, context.caller_port, "/v1/chat/completions", body, {}
        )
        wait_for(lambda: engine.load == 1)
        for _ in range(n_signals):
            context.process.send_signal(signal.SIGTERM)
            time.sleep(0.3)
        return call.exception() or call.result()


@then("the client has the complete answer")
def step_complete_answer(context):
    reply = context.reply
    body = json.dumps(context.chat).encode()
    assert reply.outcome_name == "completed", reply
    assert reply.content == b"".join(build_chat_answer(body, reply.request_id))


@then("it ends with status {status:d}")
def step_ends(context, status):
    assert context.process.wait(WAIT_S) == status, context.error_path.read_text()


@then('its log contains the events "{first}" and "{second}"')
def step_log_contains(context, first, second):
    events = [line["event"] for line in read_log(context)]
    assert first in events and second in events, events


@then("each line of its log is a JSON object without the fleet key")
def step_log_lines(context):
    assert all(isinstance(line, dict) for line in read_log(context))
    assert FLEET_KEY not in context.error_path.read_text(encoding="utf-8")


@then('its standard error contains "{words}"')
def step_error_contains(context, words):
    assert words in context.error_path.read_text(), context.error_path.read_text()


@then("its standard error contains no traceback")
def step_no_traceback(context):
    assert "Traceback" not in context.error_path.read_text()


@then('its standard output contains "{words}"')
def step_output_contains(context, words):
    content = context.output_path.read_text()
    assert words in content, content
