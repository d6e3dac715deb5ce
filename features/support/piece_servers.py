"""Stand-in servers whose streams can be checked piece by piece."""

import asyncio
import socket
import struct
import time

from attrs import define, field

SEAL = "Damaskrill-Response-Seal: seal\r\n"
CLOSE_DELAY_S = 0.03


def build_piece(stream, version, number):
    """Return the event with a number of a stream that a version writes."""
    return f"id: {number}\ndata: {stream} {version} {number} höher\n\n".encode()


def build_body(request_id):
    """Return the body of an answer other than a stream."""
    return f'{{"answer": "{request_id}"}}'.encode().ljust(900)


@define(kw_only=True)
class Run:
    """Run of a request, as its server saw it; times in seconds."""

    request_id: str
    server: str
    version: str
    begun_at: float
    ended_at: float = 0.0
    # "running", "complete", "left" by the router, or "broken" by the server.
    end: str = "running"
    has_fault: bool = False


@define(kw_only=True)
class Faults:
    """Shares of the requests at which servers misbehave.

    Attributes
    ----------
    breaks : float
        Streams that break off: before, inside or after an event, inside a character or
        chunk, with a reset or a regular close.
    silences : float
        Answers with a silence of 0.6 to 1.5 s.
    unframed : float
        Answers that have no length and end with their connection.
    closes : float
        Answers with ``Connection: close``.
    late_resets : float
        Connections that are reset just after a complete answer.
    early_closes : float
        Kept connections that are closed after 0 to 50 ms.
    full : float
        Requests that are rejected as not run.
    """

    breaks: float = 0.0
    silences: float = 0.0
    unframed: float = 0.0
    closes: float = 0.0
    late_resets: float = 0.0
    early_closes: float = 0.0
    full: float = 0.0


@define(kw_only=True, eq=False)
class PieceServer:
    """Server whose paths state the work: ``/chat/STREAM/PIECES/GAP_MS``.

    Attributes
    ----------
    runs : list of Run
        All runs.
    """

    server_id: str
    version: str
    random: object
    faults: Faults = field(factory=Faults)
    # Requests that it runs at a time and states with its load; any number if 0.
    n_slots: int = 0
    runs: list = field(factory=list)
    # Returns whether the router that owns the port of a new connection is cut off.
    is_cut: object = lambda port: False
    _server: object = None
    # Open connections, and the run on each.
    _running: dict = field(factory=dict)

    async def start(self):
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[:2]

    def close(self):
        """Stop listening."""
        self._server.close()

    def reset_ports(self, ports):
        """Reset the connections of a router that is cut off."""
        for writer, run in list(self._running.items()):
            if _find_port(writer) in ports:
                if run is not None and run.end == "running":
                    run.end = "broken"
                _reset(writer)

    async def _serve(self, reader, writer):
        if await asyncio.to_thread(self.is_cut, _find_port(writer)):
            _reset(writer)
            return
        self._running[writer] = None
        try:
            while await self._serve_request(reader, writer):
                if self._draws(self.faults.early_closes):
                    await asyncio.sleep(self.random.uniform(0, 0.05))
                    return
        except (OSError, asyncio.IncompleteReadError):
            # The router has closed the connection.
            return
        finally:
            del self._running[writer]
            writer.close()

    def _draws(self, share):
        return self.random.random() < share

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        await reader.readexactly(int(headers.get("content-length", "0")))
        path = first.split()[1]
        if path == "/health":
            lines = f"Damaskrill-Instance-Id: {self.server_id}\r\n"
            writer.write(_head(200, lines, length=0))
            return True
        request_id = headers["damaskrill-request-id"]
        echo = f"Damaskrill-Request-Id: {request_id}\r\n"
        if headers.get("damaskrill-expect-instance", self.server_id) != self.server_id:
            writer.write(_head(421, echo + "Damaskrill-Not-Executed: 1\r\n", length=0))
            return True
        n_active = sum(run is not None for run in self._running.values())
        if self.n_slots:
            load = f"{n_active},0,{self.n_slots},100"
            echo += f"Damaskrill-Server-Load: {load}\r\n"
        is_full = self.n_slots and n_active >= self.n_slots
        if is_full or self._draws(self.faults.full):
            writer.write(_head(503, echo + "Damaskrill-Not-Executed: 1\r\n", length=0))
            return True
        run = Run(
            request_id=request_id,
            server=self.server_id,
            version=self.version,
            begun_at=time.monotonic(),
        )
        self.runs.append(run)
        self._running[writer] = run
        leaving = asyncio.ensure_future(reader.read(1))
        # A reset is as good as a close.
        leaving.add_done_callback(lambda each: each.cancelled() or each.exception())
        work = asyncio.ensure_future(self._answer(run, path, headers, writer, echo))
        await asyncio.wait([leaving, work], return_when=asyncio.FIRST_COMPLETED)
        run.ended_at = time.monotonic()
        if writer in self._running:
            self._running[writer] = None
        if not work.done():
            run.end = "left" if run.end == "running" else run.end
            work.cancel()
            leaving.cancel()
            return False
        if not leaving.done():
            leaving.cancel()
            await asyncio.wait([leaving])
        if run.end == "running":
            run.end = "left"
        is_kept = not work.cancelled() and work.exception() is None and work.result()
        return bool(is_kept)

    async def _answer(self, run, path, headers, writer, echo):
        _, kind, stream, n_pieces, gap_ms = path.split("/")
        echo += SEAL
        is_silent = run.has_fault = self._draws(self.faults.silences)
        silence_s = self.random.uniform(0.6, 1.5) if is_silent else 0.0
        is_kept = not self._draws(self.faults.closes)
        if not is_kept:
            echo += "Connection: close\r\n"
        if kind in ("issue", "read"):
            await asyncio.sleep(int(gap_ms) / 1_000 + silence_s)
            body = build_body(run.request_id)
            is_unframed = self._draws(self.faults.unframed)
            writer.write(_head(200, echo, length=None if is_unframed else len(body)))
            writer.write(body)
            is_framed = not is_unframed
            is_kept = is_kept and is_framed
        else:
            begin = int(headers.get("last-event-id", "0")) + 1
            pieces = _Pieces(
                run=run,
                writer=writer,
                random=self.random,
                is_chunked=not self._draws(self.faults.unframed),
            )
            n_left = int(n_pieces) - begin + 1
            broken_after = silent_after = -1
            if self._draws(self.faults.breaks):
                broken_after = self.random.randrange(max(1, n_left))
            if is_silent:
                silent_after = self.random.randrange(max(1, n_left))
            pieces.begin(echo)
            for sent, number in enumerate(range(begin, int(n_pieces) + 1)):
                await asyncio.sleep(int(gap_ms) / 1_000)
                if sent == silent_after:
                    await asyncio.sleep(silence_s)
                if sent == broken_after:
                    await pieces.break_off(build_piece(stream, self.version, number))
                    return False
                pieces.send(build_piece(stream, self.version, number))
                await writer.drain()
            is_framed = pieces.end()
            is_kept = is_framed and is_kept
        await writer.drain()
        is_reset = self._draws(self.faults.late_resets)
        # An answer that ends with its connection is not complete if that is reset.
        run.end = "broken" if is_reset and not is_framed else "complete"
        if is_reset:
            await asyncio.sleep(CLOSE_DELAY_S)
            _reset(writer)
            return False
        return is_kept


@define(kw_only=True, eq=False)
class _Pieces:
    run: Run
    writer: object
    random: object
    is_chunked: bool

    def begin(self, echo):
        echo += "Content-Type: text/event-stream\r\n"
        if self.is_chunked:
            echo += "Transfer-Encoding: chunked\r\n"
        self.writer.write(_head(200, echo))

    def send(self, data):
        if not self.is_chunked:
            self.writer.write(data)
            return
        # Chunks end anywhere.
        at = self.random.randrange(len(data))
        for part in (data[:at], data[at:]):
            if part:
                self.writer.write(b"%x\r\n%b\r\n" % (len(part), part))

    def end(self):
        if self.is_chunked:
            self.writer.write(b"0\r\n\r\n")
        return self.is_chunked

    async def break_off(self, data):
        self.run.end = "broken"
        # 0 breaks off between two events, the last byte but one inside the blank line.
        at = self.random.choice([0, 3, len(data) - 4, len(data) - 1])
        form = self.random.choice(["reset", "close", "inside a chunk"])
        if at and self.is_chunked and form == "inside a chunk":
            self.writer.write(b"%x\r\n%b" % (len(data), data[:at]))
        elif at:
            size = b"%x\r\n" % at if self.is_chunked else b""
            end = b"\r\n" if self.is_chunked else b""
            self.writer.write(size + data[:at] + end)
        await asyncio.sleep(CLOSE_DELAY_S)
        # Without chunks only a reset, or an end inside an event, shows a break.
        if form == "reset" or (not self.is_chunked and not at):
            _reset(self.writer)


def _head(status, lines, *, length=None):
    end = "" if length is None else f"Content-Length: {length}\r\n"
    return f"HTTP/1.1 {status} Status\r\n{lines}{end}\r\n".encode()


def _find_port(writer):
    peer = writer.get_extra_info("peername")
    return peer[1] if peer else 0


def _reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
