"""Callers that keep connections, take streams up again and record what they see."""

import asyncio
import itertools
import time

from attrs import define, field

CONNECT_S = 1.0
# Time that a caller waits beyond its deadline.
PATIENCE_S = 1.0
MAX_TRIES = 4
_numbers = itertools.count(1)


@define(kw_only=True)
class Kind:
    """Kind of request: its path, deadline and how often it may be taken up."""

    name: str
    deadline_ms: int
    # Pieces or 0, and the time of each, or of the whole request, in milliseconds.
    pieces: tuple = (0, 0)
    gap_ms: tuple = (20, 120)
    is_resumable: bool = False
    is_repeatable: bool = False
    body_bytes: int = 0

    @property
    def is_stream(self):
        return bool(self.pieces[1])


KINDS = (
    Kind(name="chat", deadline_ms=15_000, pieces=(10, 110), gap_ms=(60, 140)),
    Kind(name="dossier", deadline_ms=5_000, pieces=(3, 20), body_bytes=18_000),
    Kind(
        name="check",
        deadline_ms=6_000,
        pieces=(5, 40),
        gap_ms=(20, 90),
        is_resumable=True,
        is_repeatable=True,
        body_bytes=4_700,
    ),
    Kind(name="issue", deadline_ms=1_500, gap_ms=(20, 250), body_bytes=600),
    Kind(name="read", deadline_ms=1_500, gap_ms=(20, 250), is_repeatable=True),
)


@define(kw_only=True)
class Exchange:
    """One request and its answer, as its caller saw it; times in seconds."""

    request_id: str
    kind: Kind
    stream: str
    n_pieces: int
    router: int
    # Number of requests that the connection has carried before.
    n_before: int
    resumes: str = ""
    resumed_after: int = 0
    begun_at: float = 0.0
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict = field(factory=dict)
    body: bytes = b""
    # "complete", "closed", "reset", "given up" or "invalid"; empty while it lasts.
    end: str = ""

    @property
    def is_refused(self):
        return self.end == "complete" and self.status in (429, 503)


class Connection:
    """Connection of a caller to a router."""

    def __init__(self, router, reader, writer):
        self.router = router
        self.n_before = 0
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, router, address):
        """Return a connection; None if the router refuses it."""
        try:
            async with asyncio.timeout(CONNECT_S):
                return cls(router, *await asyncio.open_connection(*address))
        except (OSError, TimeoutError):
            return None

    @property
    def is_closed(self):
        """Whether the router has closed it, as far as the caller knows."""
        return self._reader.at_eof() or self._writer.is_closing()

    def close(self):
        self._writer.transport.abort()

    async def send(self, exchange, head, body, *, pause_s):
        """Send a request, read its answer; return whether to keep the connection."""
        limit_s = exchange.kind.deadline_ms / 1_000 + PATIENCE_S
        exchange.begun_at = time.monotonic()
        try:
            async with asyncio.timeout(limit_s):
                self._writer.write(head + body[: len(body) // 2])
                if pause_s:
                    await asyncio.sleep(pause_s)
                self._writer.write(body[len(body) // 2 :])
                exchange.sent_at = time.monotonic()
                await self._read(exchange)
            exchange.end = "complete"
        except TimeoutError:
            exchange.end = "given up"
        except asyncio.IncompleteReadError as error:
            exchange.body += error.partial
            exchange.end = "closed"
        except ConnectionError:
            exchange.end = "reset"
        except ValueError:
            exchange.end = "invalid"
        finally:
            exchange.ended_at = time.monotonic()
            exchange.sent_at = exchange.sent_at or exchange.ended_at
        self.n_before += 1
        is_kept = (
            exchange.end == "complete" and exchange.headers.get("connection") != "close"
        )
        if not is_kept:
            self.close()
        return is_kept

    async def _read(self, exchange):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        exchange.status = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            exchange.headers[name.strip().lower()] = value.strip()
        if "content-length" in exchange.headers:
            length = int(exchange.headers["content-length"])
            exchange.body = await self._reader.readexactly(length)
            return
        while size := int((await self._reader.readuntil(b"\r\n")).strip(), 16):
            exchange.body += (await self._reader.readexactly(size + 2))[:-2]
        await self._reader.readexactly(2)


class Callers:
    """Callers that send requests one after the other.

    Parameters
    ----------
    addresses : list of (str, int)
        Addresses of the routers.
    random : Random
        Source of random choices.
    idle_ms : int
        Time after which routers close idle connections, in milliseconds.
    kinds : tuple of Kind
        Kinds of requests.

    Attributes
    ----------
    exchanges : list of Exchange
        All requests.
    """

    def __init__(self, *, addresses, random, idle_ms, kinds=KINDS):
        self.exchanges = []
        self.is_stopping = False
        # Routers to which the balancer sends no new connections.
        self.is_out = lambda router: False
        self._addresses = addresses
        self._random = random
        self._idle_ms = idle_ms
        self._kinds = kinds

    async def run(self, n_callers, *, seconds, patience_s):
        """Run callers for some time, and leave what has not ended a while later."""
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self._call()) for _ in range(n_callers)]
        await asyncio.wait(tasks, timeout=seconds)
        self.is_stopping = True
        _, pending = await asyncio.wait(tasks, timeout=patience_s)
        for task in pending:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _call(self):
        connection = None
        while not self.is_stopping:
            if connection is None or connection.is_closed:
                connection = await self._connect()
                if connection is None:
                    await asyncio.sleep(0.05)
                    continue
            kind = self._random.choice(self._kinds)
            exchange = self._build(kind, connection)
            if not await self._send(connection, exchange):
                connection = None
                if kind.is_resumable and exchange.end in ("closed", "reset"):
                    await self._take_up(exchange)
            await asyncio.sleep(self._draw_idle_s())

    async def _connect(self, other_than=-1):
        n = len(self._addresses)
        usable = [e for e in range(n) if e != other_than and not self.is_out(e)]
        router = self._random.choice(usable or range(n))
        return await Connection.open(router, self._addresses[router])

    def _draw_idle_s(self):
        drawn = self._random.random()
        if drawn < 0.7:
            return self._random.uniform(0, 0.15)
        if drawn < 0.9:
            return self._random.uniform(0.5, 0.8) * self._idle_ms / 1_000
        # Just as the router closes the connection.
        return self._idle_ms / 1_000 + self._random.uniform(-0.01, 0.01)

    def _build(self, kind, connection):
        request_id = f"req-{next(_numbers)}"
        return Exchange(
            request_id=request_id,
            kind=kind,
            stream=request_id,
            n_pieces=self._random.randint(*kind.pieces),
            router=connection.router,
            n_before=connection.n_before,
        )

    async def _send(self, connection, exchange):
        kind = exchange.kind
        self.exchanges.append(exchange)
        gap_ms = self._random.randint(*kind.gap_ms)
        method = "GET" if kind.name == "read" else "POST"
        body = b"x" * kind.body_bytes
        lines = [
            f"{method} /{kind.name}/{exchange.stream}/{exchange.n_pieces}/{gap_ms}"
            " HTTP/1.1",
            "Host: desk.example",
            f"Damaskrill-Request-Id: {exchange.request_id}",
            f"Damaskrill-Request-Deadline: {kind.deadline_ms}",
            "Authorization: Bearer key-1",
            f"Content-Length: {len(body)}",
        ]
        if kind.is_stream:
            part = self._random.randrange(20)
            lines.append(f"Damaskrill-Prompt-Prefix: base:10,a{part}:10,own:5")
        if exchange.resumes:
            lines.append(f"Resumes: {exchange.resumes}")
        if exchange.resumed_after:
            lines.append(f"Last-Event-Id: {exchange.resumed_after}")
        is_slow = body and self._random.random() < 0.1
        pause_s = self._random.uniform(0.05, 0.6) if is_slow else 0.0
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        return await connection.send(exchange, head, body, pause_s=pause_s)

    async def _take_up(self, broken):
        """Go on with a stream at other routers; a caller stops after a few tries."""
        first, received = broken, find_last_number(broken.body)
        for _ in range(MAX_TRIES):
            if not received or received >= broken.n_pieces:
                return
            connection = await self._connect(other_than=broken.router)
            if connection is None:
                await asyncio.sleep(0.1)
                continue
            request_id = f"{first.stream}-again-{next(_numbers)}"
            again = Exchange(
                request_id=request_id,
                kind=first.kind,
                stream=first.stream,
                n_pieces=first.n_pieces,
                router=connection.router,
                n_before=0,
                resumes=first.request_id,
                resumed_after=received,
            )
            await self._send(connection, again)
            connection.close()
            received = find_last_number(again.body) or received
            if again.end == "complete" and again.status == 200:
                return
            broken = again
            await asyncio.sleep(self._random.uniform(0.02, 0.3))


def find_last_number(body):
    """Return the number of the last whole event; 0 if there is none."""
    whole = body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""
    numbers = [int(line[3:]) for line in whole.split(b"\n") if line.startswith(b"id:")]
    return numbers[-1] if numbers else 0
