"""Gateways on loopback in front of the platform's fakes, and a raw caller."""

import asyncio
import itertools
import os
import socket
import time
from collections import defaultdict

from attrs import define, field

from damaskrill.eventlog import DecisionLog
from damaskrill.fakes.platform import (
    FakeServer,
    FakeStore,
    build_configuration,
    build_entry,
)
from damaskrill.gateway import GatewaySettings
from damaskrill.gateway._process import GatewayProcess
from damaskrill.platform import build_platform_binding
from damaskrill.utils import SystemClock
from features.support.reactor_thread import get_reactor_thread

WAIT_S = 10
POLL_S = 0.01
# Seeds that the platform configures, independent of the number of routers.
N_SEEDS = 3
# Features run concurrently in several processes, which need separate addresses.
_hosts = itertools.count(1)
_network = os.getpid() % 60_000
_request_ids = itertools.count(1)


class RecordingLog(DecisionLog):
    """Log that keeps its lines in memory, and their times beside them."""

    def __init__(self):
        super().__init__(router="test", clock=SystemClock())
        self.lines = []
        self.times_ms = []

    def _write(self, level, event, fields):
        self.lines.append({"event": event, **fields})
        self.times_ms.append(self._clock.now_ms)


def free_addresses(host, n_addresses):
    """Return addresses on a loopback host whose ports are free."""
    probes = [socket.socket() for _ in range(n_addresses)]
    for probe in probes:
        probe.bind((host, 0))
    addresses = [probe.getsockname() for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


def build_gateway_settings(*, store, seeds=(), data_centre="bole", **changes):
    """Return settings with separate addresses on loopback."""
    host = f"127.{1 + _network // 250}.{_network % 250}.{next(_hosts) % 250 + 1}"
    callers, readiness, peers, metrics = free_addresses(host, 4)
    values = {
        "name": f"router-{host}",
        "data_centre": data_centre,
        "caller_address": callers,
        "readiness_address": readiness,
        "peer_address": peers,
        "seed_addresses": tuple(seeds),
        "store_address": store,
        "metrics_address": metrics,
        "grace_ms": 4_000,
        "repeat_ratio": 0.2,
        "repeat_slack": 50,
        "repeat_window_ms": 10_000,
        "cold_factor": 1.5,
        "cold_slack": 5,
        "has_predecessor": False,
    }
    return GatewaySettings(**{**values, **changes})


@define
class CallerReply:
    """Reply that a caller received.

    Attributes
    ----------
    status : int
        Status; 0 if the connection ended before one.
    is_complete : bool
        Whether the body was received to its regular end.
    """

    status: int = 0
    headers: dict = field(factory=dict)
    body: bytes = b""
    is_complete: bool = False
    request_id: str = ""
    elapsed_ms: float = 0.0


def build_request(
    path, *, method="POST", key="key-1", body=b"hello", headers=(), request_id=None
):
    """Return the bytes of a request and its ID."""
    request_id = request_id or f"req-{next(_request_ids)}"
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: desk.example",
        f"Damaskrill-Request-Id: {request_id}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if not any(name.lower() == "damaskrill-request-deadline" for name, _ in headers):
        lines.append("Damaskrill-Request-Deadline: 3000")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body, request_id


PROMPT = ("Damaskrill-Prompt-Prefix", "aa:100,bb:200,cc:10")


class Caller:
    """One connection of a caller."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        return cls(*await asyncio.open_connection(*address))

    def send(self, data):
        self.writer.write(data)

    async def read_reply(self):
        reply = CallerReply()
        try:
            async with asyncio.timeout(WAIT_S):
                await self._read_reply(reply)
        except (asyncio.IncompleteReadError, ConnectionError):
            return reply
        return reply

    async def _read_reply(self, reply):
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().strip().split("\r\n")
        reply.status = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            reply.headers[name.strip().lower()] = value.strip()
        if "content-length" in reply.headers:
            length = int(reply.headers["content-length"])
            reply.body = await self.reader.readexactly(length)
        elif reply.headers.get("transfer-encoding") == "chunked":
            while size := int((await self.reader.readuntil(b"\r\n")).strip(), 16):
                reply.body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
        reply.is_complete = True

    def close(self):
        self.writer.transport.abort()


class GatewayTestbed:
    """A store, servers and gateways in one process."""

    def __init__(self):
        # Settings of the gateways that are added.
        self.settings = {}
        self.thread = get_reactor_thread()
        self.servers = {}
        self.gateways = []
        self.logs = []
        self.entries = {}
        self.call(self._start_store)

    def call(self, work, *args, **kwargs):
        """Run a function on the reactor's loop."""

        async def run():
            result = work(*args, **kwargs)
            return await result if asyncio.iscoroutine(result) else result

        return self.thread.run(run())

    def _start_store(self):
        from twisted.internet import reactor

        self.reactor = reactor
        self.store = FakeStore(reactor=reactor)

    def configure(self, **changes):
        content = build_configuration(**changes)
        return self.call(self.store.put, "op/config", content)

    def add_server(self, server_id, service, *, entry=None, **options):
        def start():
            server = FakeServer(reactor=self.reactor, server_id=server_id, **options)
            self.servers[server_id] = server
            content = build_entry(
                service=service, address=server.address, **(entry or {})
            )
            self.entries[server_id] = content
            self.store.put(f"servers/{server_id}", content)

        self.call(start)

    def change_entry(self, server_id, **changes):
        self.entries[server_id] = {**self.entries[server_id], **changes}
        self.call(self.store.put, f"servers/{server_id}", self.entries[server_id])

    def add_gateway(self, *, store=None, **changes):
        seeds = [each._settings.peer_address for each in self.gateways[:N_SEEDS]]
        settings = build_gateway_settings(
            store=store or self.store.address,
            seeds=seeds,
            **{**self.settings, **changes},
        )
        log = RecordingLog()

        def start():
            gateway = GatewayProcess(
                settings=settings,
                binding=build_platform_binding(
                    reactor=self.reactor, address=settings.store_address
                ),
                reactor=self.reactor,
                log=log,
                reread_settings=lambda: settings,
                random_state=1,
            )
            gateway.start()
            return gateway

        gateway = self.call(start)
        self.gateways.append(gateway)
        self.logs.append(log)
        return gateway

    def wait_for(self, condition, timeout_s=WAIT_S):
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if condition():
                return True
            time.sleep(POLL_S)
        return False

    def wait_until_ready(self, gateway=None):
        gateway = gateway or self.gateways[0]
        wanted = len(self.entries)
        assert self.wait_for(
            lambda: gateway.is_ready and gateway._catalog.n_servers >= wanted
        ), "the gateway has not become ready"

    def send(self, path, *, gateway=None, **options):
        """Send one request on a separate connection and return the reply."""
        address = (gateway or self.gateways[0])._settings.caller_address
        data, request_id = build_request(path, **options)

        async def run():
            caller = await Caller.open(address)
            started_at = time.monotonic()
            caller.send(data)
            reply = await caller.read_reply()
            reply.elapsed_ms = (time.monotonic() - started_at) * 1_000
            reply.request_id = request_id
            caller.close()
            return reply

        return self.thread.run(run())

    def runs_of(self, request_id):
        return sum(server.runs[request_id] for server in self.servers.values())

    def runs_by_server(self):
        counts = defaultdict(int)
        for server_id, server in self.servers.items():
            counts[server_id] = sum(server.runs.values())
        return counts

    def close(self):
        def end():
            for gateway in self.gateways:
                gateway.close()
            for server in self.servers.values():
                server.close()
            self.store.close()

        self.call(end)
