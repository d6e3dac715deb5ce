"""Servers of a new version are withdrawn while streams are about to begin there."""

import asyncio
import itertools
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent)]

from loopback import (  # noqa: E402
    BEAT_S,
    HAS_TROUBLE,
    SEAL,
    ZONES,
    Connection,
    Headers,
    Listener,
    Record,
    Request,
    Routers,
    Store,
    call,
    free_port,
)

N_ROUTERS = 3
N_OLD, N_NEW = 6, 2
KEY = "key-of-desk"
DEADLINE_MS = 5_000
SLOTS = 64
STREAMS_PER_S = 50
# A prompt is read for some tenths of a second before the first event.
READ_S, N_EVENTS, EVENT_S = 0.4, 30, 0.1
# How long a server serves on after the store has accepted that its entry is gone.
DRAIN_S, LONGER_S = 2.0, 0.2
OLD_ALONE_S, BESIDE_S, AFTER_S = 13.0, 3.0, 6.0
MAX_MIXED = 2

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r-draft",
            "host": "desk.example",
            "prefix": "/draft/",
            "kind": "streaming",
            "timeoutMs": 5_000,
            "targetLatencyMs": 500,
            "priority": 0,
            "service": "models",
            "maxAttempts": 2,
            "public": False,
            "stickySessions": True,
            "streamResume": True,
            "targetGapMs": 300,
        }
    ],
    "services": [
        {
            "name": "models",
            "healthPath": "/health",
            "maxConnections": 370,
            "coldS": 0.0,
            "coldPerS": 0.0,
            "engineName": {"slotCount": SLOTS, "kvTokens": 351826},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "desk", "apiKeys": [KEY], "priority": 1}],
}


class ModelServer:
    """Server that names its version in each event, and goes on at `Last-Event-Id`."""

    def __init__(self, number: int, version: str, store: Store, record: Record) -> None:
        self.name = f"server-{number}-{version}"
        self._version = version
        self._zone = ZONES[number % len(ZONES)]
        host = f"127.0.0.{number + 31}"
        self.address = (host, free_port(host))
        self._store, self._record = store, record
        self._born_ms, self._sequence = 0, 0
        self._is_listed = False
        self._n_running = 0
        # Prompt parts that it has cached, and their tokens.
        self._cached: dict[str, int] = {}
        self.listener = Listener(self._serve)

    async def start(self) -> None:
        """Start to serve and write the entry."""
        self._born_ms = int(time.time() * 1_000)
        await self.listener.open(*self.address)
        self._is_listed = True
        self.beat()
        self._record.write(f"{self.name} is listed")

    async def leave(self) -> None:
        """Remove the entry, serve on for the drain time, and exit."""
        self._is_listed = False
        self._store.delete(f"servers/{self.name}")
        self._record.write(f"{self.name} has no entry any more")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        self._record.write(f"{self.name} exits, {self._n_running} streams running")
        self.listener.close()

    def beat(self) -> None:
        """Write the entry."""
        if self._is_listed:
            self._sequence += 1
            self._store.write(
                f"servers/{self.name}",
                {
                    "service": "models",
                    "address": f"{self.address[0]}:{self.address[1]}",
                    "zone": self._zone,
                    "version": self._version,
                    "slotCount": SLOTS,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": self._sequence,
                    "born": self._born_ms,
                },
            )

    async def _serve(self, connection: Connection) -> None:
        while (request := await connection.receive()) is not None:
            if request.headers.get("damaskrill-expect-instance") not in (
                None,
                self.name,
            ):
                connection.answer(421, [("Damaskrill-Instance-Id", self.name)])
            elif request.target == "/damaskrill/report":
                connection.answer_json({"phase": "unified", "born": self._born_ms})
            elif request.target == "/damaskrill/kv-list":
                held = [["", part, n, "m"] for part, n in self._cached.items()]
                connection.answer_json(
                    {"born": self._born_ms, "epoch": 1, "next": 1, "held": held}
                )
            elif request.target == "/health":
                connection.answer(200, [("Damaskrill-Instance-Id", self.name)])
            else:
                await self._stream(connection, request)

    async def _stream(self, connection: Connection, request: Request) -> None:
        self._n_running += 1
        try:
            first = int(request.headers.get("last-event-id", "0")) + 1
            how = "begins" if first == 1 else f"goes on at {first} with"
            self._record.write(f"{self.name} {how} {request.request_id}")
            await asyncio.sleep(READ_S if first == 1 else READ_S / 4)
            prompt = request.headers["damaskrill-prompt-prefix"].split(",")
            for part in prompt:
                part_id, _, n_tokens = part.partition(":")
                self._cached[part_id] = int(n_tokens)
            headers: Headers = [
                ("Damaskrill-Request-Id", request.request_id),
                ("Damaskrill-Server-Load", f"{self._n_running},0,{SLOTS}"),
                SEAL,
                ("Content-Type", "text/event-stream"),
            ]
            connection.begin(200, headers)
            for number in range(first, N_EVENTS + 1):
                event = f"id: {number}\ndata: {self._version}\n\n"
                connection.send_data(event.encode())
                await asyncio.sleep(EVENT_S)
            connection.end()
        finally:
            self._n_running -= 1


class Callers:
    """Callers of streams, each attempt at the next router."""

    def __init__(self, routers: Routers, record: Record) -> None:
        self._addresses = routers.addresses()
        self._record = record
        self._numbers = itertools.count(1)
        # Versions whose events a stream holds, and whether it is complete.
        self.streams: dict[str, tuple[list[str], bool]] = {}

    async def send(self) -> None:
        """Ask for one stream."""
        number = next(self._numbers)
        request_id = f"stream-{number}"
        headers: Headers = [
            ("Authorization", f"Bearer {KEY}"),
            ("Damaskrill-Request-Id", request_id),
            ("Damaskrill-Request-Deadline", str(DEADLINE_MS)),
            ("Damaskrill-Model", "m"),
            ("Damaskrill-Token-Usage", "400,120"),
            ("Damaskrill-Prompt-Prefix", f"d{number}:350,p{number}:50"),
        ]
        router = number % len(self._addresses)
        body = b"draft %d" % number
        answer = await call(
            self._addresses[router], "POST", "/draft/1", headers, body, limit_s=6.0
        )
        events = answer.body.decode().split("\n\n")[:-1]
        versions = [each.partition("data: ")[2] for each in events]
        held = sorted(set(versions))
        self.streams[request_id] = (held, answer.is_complete)
        end = "complete" if answer.is_complete else "cut off"
        counts = dict(Counter(versions))
        self._record.write(
            f"{request_id} by router {router}: {answer.status}, {counts}, {end}"
        )


async def send_until_cancelled(callers: Callers) -> None:
    """Ask for streams at regular times."""
    async with asyncio.TaskGroup() as group:
        started_at = time.monotonic()
        for number in itertools.count():
            due_at = started_at + number / STREAMS_PER_S
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            group.create_task(callers.send())


async def beat_until_cancelled(servers: list[ModelServer]) -> None:
    """Write the servers' entries about every beat."""
    while True:
        await asyncio.sleep(BEAT_S)
        for server in servers:
            server.beat()


def judge(callers: Callers, record: Record) -> int:
    """Return the exit status by the rule ORDER on software versions."""
    streams = callers.streams.items()
    mixed = [name for name, (versions, _) in streams if len(versions) > 1]
    n_complete = sum(is_complete for _, (_, is_complete) in streams)
    n_new = sum(versions == ["v2"] for _, (versions, _) in streams)
    record.write(f"{len(streams)} streams, {n_complete} complete, {n_new} of v2 only")
    record.write(f"{len(mixed)} hold events of both versions: {', '.join(mixed)}")
    if n_complete < len(streams) // 2 or not n_new:
        return 2
    if len(mixed) > MAX_MIXED:
        record.write(f"ORDER broken: {len(mixed)} streams, not {MAX_MIXED}")
        return 1
    return 0


async def main() -> int:
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    store = Store()
    routers = Routers(N_ROUTERS, store)
    old = [ModelServer(number, "v1", store, record) for number in range(N_OLD)]
    new = [ModelServer(N_OLD + each, "v2", store, record) for each in range(N_NEW)]
    tasks: list[asyncio.Task[None]] = []
    try:
        await store.open()
        store.write("op/config", CONFIGURATION)
        for server in old:
            await server.start()
        routers.start()
        if not await routers.wait_until_ready():
            return 2
        callers = Callers(routers, record)
        loop = asyncio.get_running_loop()
        tasks.append(loop.create_task(beat_until_cancelled([*old, *new])))
        await asyncio.sleep(OLD_ALONE_S - 3.0)
        tasks.append(loop.create_task(send_until_cancelled(callers)))
        await asyncio.sleep(3.0)
        for server in new:
            await server.start()
        await asyncio.sleep(BESIDE_S)
        if HAS_TROUBLE:
            await asyncio.gather(*(server.leave() for server in new))
        await asyncio.sleep(AFTER_S)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        return judge(callers, record)
    finally:
        routers.stop()
        store.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
