"""Backend server that follows the users' pages."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import h11
from attrs import define, field

__all__ = ["Connection", "Server"]

SEAL = ("Damaskrill-Response-Seal", "seal")


class Connection(asyncio.Protocol):
    """Connection of a router, whose requests are handled one after the other."""

    def __init__(self, handle: "Callable[[Connection, h11.Request], Any]") -> None:
        self._handle = handle
        self._http = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._work: asyncio.Task[None] | None = None
        self.transport: Any = None
        self.last_answer = b""
        self.late_copy = b""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Read requests."""
        self._http.receive_data(data)
        self._read()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the request, as most servers do."""
        if self._work is not None:
            self._work.cancel()

    def _read(self) -> None:
        while self._work is None:
            match self._http.next_event():
                case h11.NEED_DATA | h11.PAUSED | h11.ConnectionClosed():
                    return
                case h11.Request() as head:
                    self._head = head
                case h11.EndOfMessage() if self._head is not None:
                    work = asyncio.ensure_future(self._handle(self, self._head))
                    work.add_done_callback(self._end)
                    self._work = work

    def _end(self, work: "asyncio.Task[None]") -> None:
        if not work.cancelled() and self._http.our_state is h11.DONE:
            self._work = None
            self._http.start_next_cycle()
            self._read()
        else:
            self.transport.abort()

    def write(self, event: Any) -> bytes:
        """Write a part of an answer and return its bytes."""
        data = self._http.send(event) or b""
        self.transport.write(data)
        return data

    def answer(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes = b""
    ) -> None:
        """Write a whole answer."""
        length = ("Content-Length", str(len(body)))
        data = self.write(
            h11.Response(status_code=status, headers=[*headers, length], reason=b"")
        )
        data += self.write(h11.Data(data=body))
        self.last_answer = data + self.write(h11.EndOfMessage())


@define(eq=False, kw_only=True)
class Server:
    """Server with slots and a short queue, which rejects what exceeds them.

    Attributes
    ----------
    runs : Counter
        Number of runs by request ID.
    received : list of (str, dict)
        Request ID and headers of each request that reached it.
    """

    server_id: str
    service: str
    host: str
    zone: str = "bole"
    version: str = "v1"
    n_slots: int = 8
    n_queue: int = 16
    work_s: float = 0.05
    born: int = 1_000
    port: int = 0
    on_crash: "Callable[[Server], None]" = lambda server: None
    runs: Counter[str] = field(factory=Counter)
    received: list[tuple[str, dict[str, str]]] = field(factory=list)
    address: tuple[str, int] = ("", 0)
    note: Callable[[str], None] = lambda text: None
    _n_present: int = 0
    _slots: asyncio.Semaphore = field(init=False)
    _listener: asyncio.Server | None = None
    _connections: list[Connection] = field(factory=list)

    async def start(self) -> None:
        """Listen on its port, or on a free one."""
        self._slots = asyncio.Semaphore(self.n_slots)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._connect, self.host, self.port)
        self.address = self._listener.sockets[0].getsockname()

    def stop(self) -> None:
        """End as a process does, with all its connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in self._connections:
            connection.transport.abort()

    def _connect(self) -> Connection:
        connection = Connection(self.handle)
        self._connections.append(connection)
        return connection

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its entry in the platform's store."""
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": self.version,
            "slotCount": self.n_slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def handle(self, connection: Connection, head: h11.Request) -> None:
        """Answer a request: reject it, or wait for a slot and run it."""
        headers = {name.decode(): value.decode() for name, value in head.headers}
        request_id = headers.get("damaskrill-request-id", "")
        echo = ("Damaskrill-Request-Id", request_id)
        if head.target == b"/health":
            connection.answer(200, [("Damaskrill-Instance-Id", self.server_id)])
            return
        self.received.append((request_id, headers))
        self.note(f"{request_id} reached {self.server_id}")
        load = ("Damaskrill-Server-Load", f"{self._n_present},0,{self.n_slots}")
        if headers.get("damaskrill-expect-instance", self.server_id) != self.server_id:
            connection.answer(421, [echo, ("Damaskrill-Instance-Id", self.server_id)])
            return
        if self._n_present >= self.n_slots + self.n_queue:
            self.note(f"{request_id} rejected by {self.server_id}, not run")
            connection.answer(503, [echo, load, ("Damaskrill-Not-Executed", "1")])
            return
        self._n_present += 1
        try:
            async with self._slots:
                self.runs[request_id] += 1
                self.note(f"{request_id} runs at {self.server_id}")
                await self.run(connection, headers, [echo, load, SEAL])
        finally:
            self._n_present -= 1

    async def run(
        self,
        connection: Connection,
        request: dict[str, str],
        headers: Sequence[tuple[str, str]],
    ) -> None:
        """Work on a request and answer it."""
        await asyncio.sleep(self.work_s)
        connection.answer(200, headers, b"done")
