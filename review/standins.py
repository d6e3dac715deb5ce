"""Routers as processes, a client, and servers for the scripts of the review."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import h11
from attrs import define, field

from damaskrill.fakes.platform import build_settings
from damaskrill.fakes.platform._listener import Listener
from damaskrill.http1 import CallerConnection, CallerRequest

ROOT = Path(__file__).resolve().parents[1]
RUN = ["python3", "-m", "damaskrill.platform"]
GRACE_S = 8
ID_HEADER = b"damaskrill-request-id"
SEAL = (b"Damaskrill-Response-Seal", b"seal")


@define
class Record:
    """What was sent, answered and run, with times in milliseconds."""

    started_at: float = field(factory=time.monotonic)
    lines: list[str] = field(factory=list)

    def add(self, text: str) -> None:
        """Add a line."""
        at_ms = round((time.monotonic() - self.started_at) * 1_000)
        self.lines.append(f"{at_ms:7d} {text}")

    def save(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def free_ports(host: str, n_ports: int) -> list[int]:
    """Return free ports of a loopback address."""
    probes = [socket.socket() for _ in range(n_ports)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


@define(kw_only=True)
class Router:
    """One process of the deploy file's role, on a loopback address of its own."""

    name: str
    host: str
    record: Record
    folder: Path
    ports: list[int] = field(init=False)
    process: Any = field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self.ports = free_ports(self.host, 3)

    @property
    def callers(self) -> tuple[str, int]:
        """Address for clients."""
        return (self.host, self.ports[0])

    @property
    def seed(self) -> str:
        """Address for other routers."""
        return f"{self.host}:{self.ports[2]}"

    def write_settings(self, *, seeds: str, store: tuple[str, int]) -> None:
        """Write the settings file that the platform provides."""
        text = build_settings(
            name=self.name,
            data_centre="bole",
            host=self.host,
            ports=(self.ports[0], self.ports[1], self.ports[2]),
            seeds=seeds,
            store=store,
            grace_s=GRACE_S,
        )
        text += "zones.bole=addis\nbounds.drainTimeoutMs=2000\n"
        text += "platform.historyTtlS=20\n"
        (self.folder / f"{self.name}.conf").write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["DAMASKRILL_BOOT"] = str(self.folder / f"{self.name}.conf")
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *RUN, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self.record.add(f"{self.name} started")

    async def is_ready(self) -> bool:
        """Return whether it answers the readiness check with 200."""
        try:
            answer = await send_request(
                (self.host, self.ports[1]), "GET", "/damaskrill/readiness", []
            )
        except OSError:
            return False
        return answer[0] == 200

    async def wait_until_ready(self, timeout_s: float = 20) -> bool:
        """Wait for readiness; return whether it came in time."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def send_request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body.

    The status is 0 if the connection ends without a complete answer.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                return await _exchange(reader, writer, method, target, headers, body)
            finally:
                writer.close()
    except (TimeoutError, h11.RemoteProtocolError):
        return 0, b""


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> tuple[int, bytes]:
    http = h11.Connection(h11.CLIENT)
    named = {name.lower() for name, _ in headers}
    framing = [] if "host" in named else [("Host", "desk.example")]
    framing.append(("Content-Length", str(len(body))))
    request = h11.Request(method=method, target=target, headers=[*headers, *framing])
    data = http.send(request) or b""
    data += http.send(h11.Data(data=body)) or b""
    writer.write(data + (http.send(h11.EndOfMessage()) or b""))
    status, parts = 0, []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            try:
                http.receive_data(await reader.read(65_536))
            except OSError:
                return 0, b"".join(parts)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return status, b"".join(parts)
        elif isinstance(event, h11.ConnectionClosed):
            return 0, b"".join(parts)


class Server:
    """Sound server of a service without streams.

    It runs ``n_slots`` requests at a time and lets ``n_queued`` more wait, and drops a
    request when its connection closes.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        server_id: str,
        record: Record,
        n_slots: int = 6,
        n_queued: int = 24,
        work_ms: int = 60,
    ) -> None:
        self.server_id = server_id
        self.record = record
        self.runs: list[str] = []
        self._n_slots, self._n_queued = n_slots, n_queued
        self._work_ms = work_ms
        self._slots = asyncio.Semaphore(n_slots)
        self._n_active = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = Listener(reactor=reactor, handle=self._handle)

    @property
    def address(self) -> tuple[str, int]:
        """Address on which it listens."""
        return self._listener.address

    def send(
        self,
        connection: CallerConnection,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ) -> None:
        """Send an answer."""
        connection.send_answer(status, headers, body)

    def begin(self, connection: CallerConnection) -> None:
        """Handle the arrival of a request on a connection."""

    def _handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        self.begin(connection)
        task = asyncio.get_running_loop().create_task(self._serve(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.on_disconnect = lambda: _cancel(task)

    async def _serve(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        identity = (b"Damaskrill-Instance-Id", self.server_id.encode())
        if request.target == b"/health":
            self.send(connection, 200, (identity,), b"")
            return
        request_id = request.find_header(ID_HEADER) or b""
        echo = (b"Damaskrill-Request-Id", request_id)
        not_run = (b"Damaskrill-Not-Executed", b"1")
        expected = request.find_header(b"damaskrill-expect-instance")
        if expected not in (None, self.server_id.encode()):
            self.send(connection, 421, (echo, not_run, identity), b"")
            return
        if self._n_active >= self._n_slots + self._n_queued:
            self.record.add(f"{self.server_id} rejects {request_id.decode()}")
            self.send(connection, 503, (echo, not_run), b"")
            return
        self._n_active += 1
        try:
            async with self._slots:
                self.runs.append(request_id.decode())
                self.record.add(f"{self.server_id} runs {request_id.decode()}")
                await asyncio.sleep(self._work_ms / 1_000)
        finally:
            self._n_active -= 1
        self.send(connection, 200, (echo, SEAL), b"done " + request_id)


def _cancel(task: "asyncio.Task[None]") -> None:
    task.cancel()


def run(
    main: Callable[[Any, Record, Path], Any], folder: Path, *, trouble: bool
) -> int:
    """Run a script's coroutine with Twisted's reactor; return its exit status."""
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    running: Any = reactor
    running.startRunning(installSignalHandlers=False)
    record = Record()
    record.add(f"trouble: {trouble}")
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        try:
            return int(loop.run_until_complete(main(reactor, record, Path(name))))
        except Exception as error:
            record.add(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
            return 2
        finally:
            record.save(folder / "record.txt")
