"""Stand-ins of backend servers: event streams and plain answers."""

import asyncio
import json
import time

import h11
from standins.http import close, find_port, read_request, send_head, send_whole

__all__ = ["Backend", "now_ms"]

BEAT_S = 1.2


def now_ms():
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Backend:
    """Server of one service, which may start again under its id and address."""

    def __init__(
        self,
        store,
        record,
        *,
        service,
        server_id,
        zone="bole",
        host="127.0.0.1",
        n_slots=64,
    ):
        self.service, self.server_id, self.zone = service, server_id, zone
        self.version, self.n_slots, self.born = "v1", n_slots, 0
        self.address = host, find_port(host)
        self.n_events, self.event_s = 40, 0.1
        self.answer_plain = None
        # Returns whether a stream goes on after its head.
        self.begin = lambda server, request: True
        self._store, self._record = store, record
        self._listener = self._beats = None
        self._tasks, self._writers = set(), set()
        self._n_running = 0

    async def start(self, *, load_s=0.0):
        """Register, load and then listen, at the same address each time."""
        self.born, self._n_running = now_ms(), 0
        self._beats = asyncio.create_task(self._beat())
        await asyncio.sleep(load_s)
        self._listener = await asyncio.start_server(self._accept, *self.address)

    def crash(self):
        """End at once: all connections are reset, and nothing is said."""
        self._beats.cancel()
        self._listener.close()
        for each in list(self._tasks):
            each.cancel()
        for writer in list(self._writers):
            close(writer)

    async def _beat(self):
        sequence, is_written = 0, False
        while True:
            sequence += 1
            is_written = self._store.put(
                f"servers/{self.server_id}",
                {
                    "service": self.service,
                    "address": "{}:{}".format(*self.address),
                    "zone": self.zone,
                    "version": self.version,
                    "slotCount": self.n_slots,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": sequence,
                    "born": self.born,
                },
            )
            await asyncio.sleep(BEAT_S if is_written else 0.1)

    def _accept(self, reader, writer):
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        self._writers.add(writer)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        http = h11.Connection(h11.SERVER)
        try:
            while (request := await read_request(http, reader)) is not None:
                await self._answer(http, writer, request)
                await writer.drain()
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            close(writer)

    async def _answer(self, http, writer, request):
        instance = [("Damaskrill-Instance-Id", self.server_id)]
        expected = request.headers.get("damaskrill-expect-instance", self.server_id)
        request_id = request.headers.get("damaskrill-request-id", "")
        if expected != self.server_id:
            send_whole(http, writer, 421, instance)
        elif request.target == "/health":
            send_whole(http, writer, 200, instance)
        elif request.target.startswith("/damaskrill/"):
            state = {"phase": "unified", "born": self.born, "busy": False}
            state |= {"active": self._n_running, "queued": 0, "models": []}
            if request.target == "/damaskrill/kv-list":
                state = {"epoch": 1, "next": 1, "held": [], "born": self.born}
            send_whole(http, writer, 200, [], json.dumps(state).encode())
        else:
            load = f"{self._n_running},0,{self.n_slots}"
            headers = [
                ("Damaskrill-Request-Id", request_id),
                ("Damaskrill-Response-Seal", f"seal.{self.server_id}.{request_id}"),
                ("Damaskrill-Server-Load", load),
            ]
            self._record("run", request_id, server=self.server_id, at=self.version)
            self._n_running += 1
            try:
                if self.answer_plain is None:
                    await self._stream(http, writer, request, headers)
                else:
                    await self.answer_plain(http, writer, request, headers)
            finally:
                self._n_running -= 1

    async def _stream(self, http, writer, request, headers):
        first = int(request.headers.get("last-event-id", "0")) + 1
        framing = [("Content-Type", "text/event-stream")]
        framing.append(("Transfer-Encoding", "chunked"))
        send_head(http, writer, 200, [*headers, *framing])
        if not self.begin(self, request):
            await writer.drain()
            await asyncio.sleep(60)
        for number in range(first, self.n_events + 1):
            await asyncio.sleep(self.event_s)
            if writer.transport.is_closing():
                return
            event = f"id: {number}\ndata: {self.version} {self.server_id}\n\n"
            writer.write(http.send(h11.Data(data=event.encode())))
        writer.write(http.send(h11.EndOfMessage()))
