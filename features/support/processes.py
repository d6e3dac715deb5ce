"""Router processes on loopback, and callers that use them during faults."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from pathlib import Path

from attrs import define, field

from damaskrill.demo import LoopbackFleet, Reply
from damaskrill.demo._client import send_request
from damaskrill.fakes import build_chat_answer
from damaskrill.messages import HostEntry

ROOT = Path(__file__).resolve().parents[2]
DATA_CENTRES = ("bole", "kazanchis", "sarbet")
FLEET_KEY = "a key for loopback only"
WAIT_S = 40
POLL_S = 0.05
DEADLINE_MS = 20_000
N_CALLERS = 12
N_REQUESTS_PER_CALLER = 20
MAX_TOKENS = 50
PAUSE_S = 10


def wait_for(condition):
    """Wait until a condition holds and return its value."""
    ends_at = time.monotonic() + WAIT_S
    while time.monotonic() < ends_at:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise AssertionError("the condition did not hold in time")


def read_log_lines(path):
    """Return the complete lines of the log; the last one may be incomplete."""
    complete, _, _ = path.read_text(encoding="utf-8").rpartition("\n")
    return [json.loads(line) for line in complete.splitlines()]


def free_address():
    """Return an address on loopback that is currently free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@define(kw_only=True, slots=False)
class ServedRouter:
    """One ``damaskrill serve`` process.

    Parameters
    ----------
    data_centre, peer_address : str
        Values of its settings.
    fleet : LoopbackFleet
        Fake platform and backend servers that it uses.
    """

    data_centre: str
    peer_address: str
    fleet: LoopbackFleet
    accepts_callers: bool = True

    def start(self):
        """Start the process and wait for the port of its HTTP server."""
        self.folder = Path(tempfile.mkdtemp(prefix="damaskrill-five-"))
        settings = self.folder / "settings.ini"
        settings.write_text(self._settings(), encoding="utf-8")
        with open(self.folder / "stderr", "wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "damaskrill", "serve", "--settings", settings],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=errors,
            )
        started = wait_for(lambda: self._events("process_started"))
        self.caller_port = started[0]["caller_port"]

    def _settings(self):
        platform = self.fleet.platform
        return f"""\
[process]
data_centre = {self.data_centre}
[callers]
caller_address = 127.0.0.1:0
[peers]
peer_address = {self.peer_address}
fleet_key = {FLEET_KEY}
[platform]
configuration_service_url = {platform.text_url}
host_list_url = {platform.host_list_url}
"""

    def _events(self, name):
        lines = read_log_lines(self.folder / "stderr")
        return [each for each in lines if each["event"] == name]

    def is_ready(self):
        """Whether it accepts callers."""
        return send_request(self.caller_port, "/readyz", None, {}).status == 200

    def refuses_callers(self):
        """Whether it reports that it is stopping, or has stopped."""
        try:
            return not self.is_ready()
        except OSError:
            return True

    def kill(self):
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


@define(kw_only=True)
class CallRecord:
    """One call and its result."""

    router: ServedRouter
    body: bytes
    permit: str = ""
    reply: Reply | None = None
    error: Exception | None = None


@define(kw_only=True, slots=False)
class CallersUnderFaults:
    """Callers that send chats and actions during kills, pauses and stops of processes.

    Parameters
    ----------
    routers : list of ServedRouter
        Five routers.
    """

    routers: list
    records: list = field(factory=list)
    n_permits: int = 0

    def __attrs_post_init__(self):
        self._lock = threading.Lock()
        self._rotation = count()

    def run(self, faults):
        """Send all requests; inject each fault after its number of calls."""
        threads = [
            threading.Thread(target=self._inject_fault, args=(n_calls, fault))
            for n_calls, fault in faults
        ]
        for thread in threads:
            thread.start()
        with ThreadPoolExecutor(N_CALLERS) as pool:
            callers = [pool.submit(self._run_caller, n) for n in range(N_CALLERS)]
        for thread in threads:
            thread.join()
        for caller in callers:
            caller.result()

    def _inject_fault(self, n_calls, fault):
        wait_for(lambda: len(self.records) >= n_calls)
        fault()

    def _run_caller(self, caller):
        for n in range(N_REQUESTS_PER_CALLER):
            if n % 4 == 3:
                self._call_action(caller, n)
            else:
                self._call_chat(caller, n)

    def _next_router(self):
        while True:
            router = self.routers[next(self._rotation) % len(self.routers)]
            if router.accepts_callers:
                return router

    def _call_chat(self, caller, n):
        content = {
            "model": "dossier-review",
            "messages": [{"role": "user", "content": f"Review dossier {caller % 4}."}],
            "stream": n % 2 == 0,
            "max_tokens": MAX_TOKENS,
        }
        body = json.dumps(content).encode()
        record = CallRecord(router=self._next_router(), body=body)
        self._call(record, "/v1/chat/completions", {})

    def _call_action(self, caller, n):
        permit = self._request_permit()
        if not permit:
            return
        body = json.dumps({"channel": f"{caller}-{n}"}).encode()
        headers = {"Damaskrill-Permit": permit}
        duplicates = [
            CallRecord(router=self._next_router(), body=body, permit=permit)
            for _ in range(2)
        ]
        with ThreadPoolExecutor(len(duplicates)) as pool:
            for record in duplicates:
                pool.submit(self._call, record, "/v1/services/issuance", headers)

    def _request_permit(self):
        body = json.dumps({"service": "issuance"}).encode()
        try:
            reply = send_request(
                self._next_router().caller_port, "/v1/permits", body, {}
            )
        except OSError:
            return ""
        return json.loads(reply.content).get("permit", "")

    def _call(self, record, path, headers):
        headers = {**headers, "Damaskrill-Deadline-Ms": str(DEADLINE_MS)}
        try:
            record.reply = send_request(
                record.router.caller_port, path, record.body, headers
            )
        except Exception as error:
            record.error = error
        with self._lock:
            self.records.append(record)


def is_answer_exact(record):
    """Return whether a completed chat has exactly the answer to its own request."""
    reply = record.reply
    parts = build_chat_answer(record.body, reply.request_id)
    return reply.content == b"".join(parts)


def build_hosts(routers):
    """Build the entries of the host list for the routers."""
    return tuple(
        HostEntry(address=each.peer_address, data_centre=each.data_centre)
        for each in routers
    )
