"""Processor time per payload and chunk between routers, and memory per link."""

import asyncio
import time
import tracemalloc
from collections.abc import Iterator

from benchmarks._measurement import Measurement
from damaskrill.configuration import PeerLimits
from damaskrill.messages import CancelAttempt, Member, OfferAttempt, Request
from damaskrill.messages import PeerPayload as Payload
from damaskrill.peers import PeerNetwork
from damaskrill.utils import SystemClock

N_MESSAGES = 5_000
N_LINKS = 100
CHUNK_SIZES = (200, 4_096)
BODY_BYTES = 4_096
FLEET_KEY = "a-key-for-measures"
US_PER_S = 1_000_000
BYTES_PER_KB = 1_000


class CountingHandler:
    """Handler that counts received payloads and chunks."""

    def __init__(self) -> None:
        self.n_received = 0

    def payload_received(self, sender: Member, payload: Payload, body: bytes) -> None:
        """Count a payload."""
        self.n_received += 1

    def chunk_received(
        self, sender: Member, stream_id: str, offset: int, data: bytes
    ) -> None:
        """Count a chunk."""
        self.n_received += 1

    def peer_connected(self, member: Member) -> None:
        """Ignore a connection."""

    def peer_lost(self, member: Member) -> None:
        """Ignore a lost connection."""

    def peer_unreachable(self, address: str, payload: Payload) -> None:
        """Raise an error, since all peers are on loopback and reachable."""
        raise RuntimeError(address)


async def start_network(handler: CountingHandler, name: str) -> PeerNetwork:
    """Start a network that listens on loopback."""
    network = PeerNetwork(
        own=Member(address="127.0.0.1:0", data_centre="bole", incarnation=name),
        fleet_key=FLEET_KEY,
        clock=SystemClock(),
        limits=PeerLimits(max_queued_messages=2 * N_MESSAGES),
        handler=handler,
    )
    await network.start("127.0.0.1", 0)
    return network


async def wait_for(handler: CountingHandler, n_expected: int) -> None:
    """Wait until this many messages have been received."""
    while handler.n_received < n_expected:
        await asyncio.sleep(0)


async def time_messages() -> dict[str, float]:
    """Return processor time by kind, summed over both ends, in microseconds."""
    handler = CountingHandler()
    first = await start_network(CountingHandler(), "first")
    second = await start_network(handler, "second")
    address = second.own.address
    results: dict[str, float] = {}

    async def finish(kind: str, start: float) -> None:
        await wait_for(handler, N_MESSAGES)
        elapsed_s = time.process_time() - start
        results[kind] = elapsed_s / N_MESSAGES * US_PER_S
        handler.n_received = 0

    first.send_payload(address, CancelAttempt(attempt_id="first"))
    await wait_for(handler, 1)
    handler.n_received = 0
    for size in CHUNK_SIZES:
        start = time.process_time()
        for n in range(N_MESSAGES):
            await first.send_chunk(address, "attempt-1", n * size, b"c" * size)
        await finish(f"chunk_of_{size}_bytes", start)
    start = time.process_time()
    for n in range(N_MESSAGES):
        first.send_payload(address, CancelAttempt(attempt_id=f"request-{n}.1"))
    await finish("small_payload", start)
    request = Request(request_id="request-1", service="dossier-review", team="quotes")
    offer = OfferAttempt(
        attempt_id="request-1.1", request=request, backend_server="e", remaining_ms=1
    )
    start = time.process_time()
    for _ in range(N_MESSAGES):
        first.send_payload(address, offer, b"b" * BODY_BYTES)
    await finish("offer_with_body", start)
    await first.stop()
    await second.stop()
    return results


async def measure_link_bytes() -> float:
    """Return the memory of one end of a link, in bytes."""
    handler = CountingHandler()
    hub = await start_network(handler, "hub")
    others = [await start_network(CountingHandler(), str(n)) for n in range(N_LINKS)]
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    for other in others:
        other.send_payload(hub.own.address, CancelAttempt(attempt_id="first"))
    await wait_for(handler, N_LINKS)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for network in (*others, hub):
        await network.stop()
    return (after_bytes - before_bytes) / N_LINKS / 2


def measure(seed: int) -> Iterator[Measurement]:
    """Yield the measurements."""

    def build_measurement(measure: str, value: float, unit: str) -> Measurement:
        return Measurement(
            measure=measure, policy="product", value=value, unit=unit, seed=seed
        )

    for kind, microseconds in asyncio.run(time_messages()).items():
        yield build_measurement(f"peer_{kind}_both_ends", microseconds, "microseconds")
    link_kb = asyncio.run(measure_link_bytes()) / BYTES_PER_KB
    yield build_measurement("peer_link_memory_one_end", link_kb, "kB")
