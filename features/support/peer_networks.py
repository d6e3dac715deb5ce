"""Peer networks on loopback for tests, with a handler that records its events."""

import asyncio
import contextlib

from loguru import logger

from damaskrill.messages import CancelAttempt, Member
from damaskrill.peers import PeerLimits, PeerNetwork
from damaskrill.utils import FakeClock

# Time limit for conditions that depend on sockets; no test measures speed by it.
WAIT_S = 20

SMALL_LIMITS = PeerLimits(
    max_message_bytes=64 * 1024,
    max_queued_messages=8,
    max_queued_bytes=128 * 1024,
)


class RecordingHandler:
    """Records all events in order."""

    def __init__(self):
        self.events = []
        self.accepts_chunks = asyncio.Event()
        self.accepts_chunks.set()

    def payload_received(self, sender, payload, body):
        self.events.append(("payload", sender, payload, body))

    async def chunk_received(self, sender, stream_id, offset, data):
        await self.accepts_chunks.wait()
        self.events.append(("chunk", sender, stream_id, offset, data))

    def peer_connected(self, member):
        self.events.append(("connected", member))

    def peer_lost(self, member):
        self.events.append(("lost", member))

    def peer_unreachable(self, address, payload):
        self.events.append(("unreachable", address, payload))

    def of_kind(self, kind):
        return [each for each in self.events if each[0] == kind]


class Peer:
    """A network with its handler and clock."""

    def __init__(self, n, fleet_key, limits, address="127.0.0.1:0"):
        self.clock = FakeClock()
        self.handler = RecordingHandler()
        own = Member(
            address=address, data_centre="bole", incarnation=f"incarnation-{n}"
        )
        self.network = PeerNetwork(
            own=own,
            fleet_key=fleet_key,
            clock=self.clock,
            limits=limits,
            handler=self.handler,
        )

    @property
    def address(self):
        return self.network.own.address

    def cancel(self, target, attempt_id="a1", **options):
        payload = CancelAttempt(attempt_id=attempt_id)
        return self.network.send_payload(target, payload, **options)


class Relay:
    """TCP relay that can stop forwarding while its connections stay open."""

    def __init__(self, target):
        self.target = target
        self.is_silent = False
        self.tasks = set()
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        host, _, port = self.target().rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        state = {"silent": False}
        self.writers.append((writer, target_writer, state))
        await asyncio.gather(
            self._pump(reader, target_writer, state),
            self._pump(target_reader, writer, state),
        )

    async def _pump(self, reader, writer, state):
        with contextlib.suppress(OSError):
            while content := await reader.read(65536):
                if not state["silent"]:
                    writer.write(content)
                    await writer.drain()
        if not state["silent"]:
            writer.close()

    def stall_open_connections(self):
        for *_, state in self.writers:
            state["silent"] = True

    async def stop(self):
        self.server.close()
        for client, target, _ in self.writers:
            client.transport.abort()
            target.transport.abort()


class LoopRunner:
    """Runs the coroutines of one scenario in an event loop of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.unhandled = []
        self.loop.set_exception_handler(
            lambda _, details: self.unhandled.append(details)
        )

    def run(self, coroutine):
        return self.loop.run_until_complete(asyncio.wait_for(coroutine, 2 * WAIT_S))

    def close(self):
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()


async def wait_until(condition):
    """Wait until a condition holds; fail after ``WAIT_S``."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def collect_log(context):
    """Collect log records of a scenario in ``context.log_records``."""
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record))
    context.add_cleanup(logger.remove, sink)
