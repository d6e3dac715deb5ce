"""Routers and small stand-ins on loopback addresses, for the scripts of this review.

The stand-ins speak what PROTOCOL.md says: the platform's store, backend servers that
register there, and callers. Each router is a process of its own, started with the
command of the deploy file and settings like those of a small site.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11

ROOT = Path(__file__).resolve().parent.parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-nord", "zone-sued", "zone-west")
STORE_HOST = "127.0.0.1"
BEAT_S = 1.2
SEAL = ("Damaskrill-Response-Seal", "seal")
NOT_RUN = ("Damaskrill-Not-Executed", "1")
PAGE_ITEMS = 50
Headers = list[tuple[str, str]]


def free_port(host: str) -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()


class Request:
    """A complete request that a stand-in has received."""

    def __init__(self, head: h11.Request, body: bytes) -> None:
        self.method = head.method.decode()
        self.target = head.target.decode()
        self.headers = {name.decode(): value.decode() for name, value in head.headers}
        self.body = body

    @property
    def request_id(self) -> str:
        """The caller's ID of the attempt; empty if it has none."""
        return self.headers.get("damaskrill-request-id", "")


class Connection:
    """Connection of a stand-in that is the server; one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._http = h11.Connection(h11.SERVER)
        self._reader, self._writer = reader, writer

    async def receive(self) -> Request | None:
        """Return the next request; None if the peer has closed."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        head, body = None, b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(65_536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return Request(head, body)
            else:
                return None

    def send_raw(self, data: bytes) -> None:
        """Send bytes that do not belong to the current exchange."""
        self._writer.write(data)

    def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete answer."""
        self.begin(status, [*headers, ("Content-Length", str(len(body)))])
        if body:
            self.send_data(body)
        self.end()

    def answer_json(self, content: dict[str, Any]) -> None:
        """Send an object as a complete answer."""
        headers = [("Content-Type", "application/json")]
        self.answer(200, headers, json.dumps(content).encode())

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer; without a length it is sent in chunks."""
        self._send(h11.Response(status_code=status, headers=headers))

    def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        self._send(h11.Data(data=data))

    def end(self) -> None:
        """End the answer."""
        self._send(h11.EndOfMessage())

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    def _send(self, event: Any) -> None:
        data = self._http.send(event)
        if data and not self._writer.is_closing():
            self._writer.write(data)


class Listener:
    """Listens and calls a handler for each connection until it is closed."""

    def __init__(self, handle: Callable[[Connection], Awaitable[None]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[Connection] = set()

    async def open(self, host: str, port: int) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=512, reuse_address=True
        )

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.abort()
        for task in list(self._tasks):
            task.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        task = asyncio.get_running_loop().create_task(self._run(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, connection: Connection) -> None:
        self._connections.add(connection)
        try:
            await self._handle(connection)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._connections.discard(connection)
            connection.abort()


class Store:
    """The platform's store; `is_down` makes it reset all calls and refuse writes."""

    def __init__(self) -> None:
        self.address = (STORE_HOST, free_port(STORE_HOST))
        self.is_down = False
        self._revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._log: deque[dict[str, Any]] = deque(maxlen=10_000)
        self._changed = asyncio.Event()
        self._listener = Listener(self._serve)

    async def open(self) -> None:
        """Begin to serve."""
        await self._listener.open(*self.address)

    def close(self) -> None:
        """Stop serving."""
        self._listener.close()

    def go_down(self) -> None:
        """Reset all calls until `is_down` is cleared."""
        self.is_down = True
        self._listener.reset_connections()

    def write(self, key: str, content: dict[str, Any]) -> bool:
        """Write an item; return whether the store has acknowledged it."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        return self._change({"key": key, "value": value, "leaseId": 0})

    def delete(self, key: str) -> bool:
        """Remove an item; return whether the store has acknowledged it."""
        return self._change({"key": key, "deleted": True})

    def _change(self, change: dict[str, Any]) -> bool:
        if self.is_down:
            return False
        self._revision += 1
        change["revision"] = self._revision
        self._items.pop(change["key"], None)
        if "value" in change:
            self._items[change["key"]] = change
        self._log.append(change)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def _serve(self, connection: Connection) -> None:
        while (request := await connection.receive()) is not None:
            if self.is_down:
                return
            parts = urlsplit(request.target)
            query = {name: each[0] for name, each in parse_qs(parts.query).items()}
            prefix, after = query.get("prefix", ""), query.get("after", "")
            if parts.path == "/damaskrill/kv-range":
                content = self._list(prefix, after)
            else:
                content = await self._watch(prefix, int(after), query["maxWaitMs"])
            headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
            connection.answer(200, headers, json.dumps(content).encode())

    def _list(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return {"items": items, "hasMore": has_more, "atRev": self._revision}

    async def _watch(self, prefix: str, after: int, wait_ms: str) -> dict[str, Any]:
        ends_at = time.monotonic() + int(wait_ms) / 1_000
        while True:
            events = [
                each
                for each in self._log
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            remaining_s = ends_at - time.monotonic()
            if events or remaining_s <= 0:
                return {"events": events, "atRev": self._revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing has changed; the answer has no events.
                pass


class Routers:
    """Router processes, each on a loopback host of its own."""

    def __init__(self, n_routers: int, store: Store) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.hosts = [f"127.0.0.{number + 11}" for number in range(n_routers)]
        self._ports = [free_port(STORE_HOST) for _ in range(3)]
        self._processes: list[subprocess.Popen[bytes]] = []
        self._logs: list[Any] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self._command = deploy["roles"]["router"]["run"].split()
        self._command[0] = sys.executable
        for number, host in enumerate(self.hosts):
            path = Path(self._folder.name, f"router-{number}.conf")
            path.write_text(self._build_settings(number, host, store), "utf-8")

    def addresses(self) -> list[tuple[str, int]]:
        """Return the addresses for callers."""
        return [(host, self._ports[0]) for host in self.hosts]

    def start(self) -> None:
        """Start all routers."""
        for number in range(len(self.hosts)):
            settings = str(Path(self._folder.name, f"router-{number}.conf"))
            path = f"{ROOT / 'target/deps'}{os.pathsep}{ROOT}"
            log = Path(self._folder.name, f"router-{number}.log").open("wb")
            self._logs.append(log)
            self._processes.append(
                subprocess.Popen(
                    self._command,
                    cwd=ROOT,
                    env={
                        **os.environ,
                        "DAMASKRILL_BOOT": settings,
                        "PYTHONPATH": path,
                        "PYTHONDONTWRITEBYTECODE": "1",
                    },
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )
            )

    async def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        """Return whether all routers answer that they are ready in time."""
        ends_at = time.monotonic() + limit_s
        for host in self.hosts:
            while True:
                address = (host, self._ports[1])
                try:
                    answer = await call(address, "GET", "/damaskrill/readiness", [])
                except OSError:
                    answer = None
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > ends_at:
                    return False
                await asyncio.sleep(0.1)
        return True

    def memory_mb(self, number: int) -> float:
        """Return the resident memory of a router."""
        process = self._processes[number]
        status = Path(f"/proc/{process.pid}/status").read_text("ascii")
        line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
        return int(line.split()[1]) / 1_024

    def n_running(self) -> int:
        """Return how many routers still run."""
        return sum(process.poll() is None for process in self._processes)

    def read_logs(self) -> str:
        """Return what the routers have logged."""
        logs = sorted(Path(self._folder.name).glob("router-*.log"))
        return "".join(each.read_text("utf-8", errors="replace") for each in logs)

    def stop(self) -> None:
        """End all routers."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for log in self._logs:
            log.close()
        self._folder.cleanup()

    def _build_settings(self, number: int, host: str, store: Store) -> str:
        front, ready, control = self._ports
        seeds = ",".join(f"{each}:{control}" for each in self.hosts[:3])
        zones = "".join(f"zones.{zone}=freistaat\n" for zone in ZONES)
        return (
            f"node=front-{number}\nrole=router\nmachineClass=front\n"
            f"serves=front,control\nbindIp={host}\nzone={ZONES[number % 3]}\n"
            f"region=freistaat\n{zones}listen.front={host}:{front}\n"
            f"listen.ready={host}:{ready}\nlisten.control={host}:{control}\n"
            f"seedAddrs={seeds}\nbootstrap=true\nlimits.memoryMb=300\n"
            "limits.maxFds=4100\ndiscovery=platform\nbeatIntervalMs=1200\n"
            "bounds.contactMs=3000\nbounds.drainTimeoutMs=2000\n"
            "bounds.gracePeriodS=8\nbounds.configApplyMs=2000\n"
            "bounds.budgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retrySlack=58\n"
            "bounds.coldFactor=1.5\nbounds.coldSlack=5\n"
            f"platform.address={store.address[0]}:{store.address[1]}\n"
            "platform.form=read\nplatform.readsPerS=2000\nplatform.historyTtlS=20\n"
        )


class Answer:
    """What a caller has received; `status` is 0 if the connection broke before."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False

    def __str__(self) -> str:
        if not self.status:
            return "closed without an answer"
        end = "" if self.is_complete else ", cut off"
        sealed = "sealed" if SEAL[0].lower() in self.headers else "no seal"
        return f"{self.status} ({sealed}{end}) {self.body[:60]!r}"


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    *,
    limit_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    answer = Answer()
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(*address)
    try:
        async with asyncio.timeout(limit_s):
            http = h11.Connection(h11.CLIENT)
            framed = [("Host", "desk.example"), *headers]
            if body:
                framed.append(("Content-Length", str(len(body))))
            head = h11.Request(method=method, target=target, headers=framed)
            writer.write(http.send(head) or b"")
            if body:
                writer.write(http.send(h11.Data(data=body)) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
            await _receive(http, reader, answer)
    except (OSError, TimeoutError, h11.ProtocolError):
        # What has arrived so far is the caller's answer.
        pass
    finally:
        writer.transport.abort()
    return answer


async def _receive(
    http: h11.Connection, reader: asyncio.StreamReader, answer: Answer
) -> None:
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {
                name.decode(): value.decode() for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.is_complete = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return
