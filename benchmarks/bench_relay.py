"""Processor time and memory of a router: per request, per relayed chunk, and idle.

Two routers run in subprocesses. All callers connect to the entry; the only engine
belongs to the owner, in the engine's data centre. Callers and fake servers run in the
measuring process, so that their cost counts for neither router.
"""

import asyncio
import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

from attrs import frozen

from benchmarks._measurement import Measurement
from benchmarks._router_process import MeasuredRouter
from damaskrill.fakes import (
    FakeConfigurationService,
    FakeEngine,
    FakeHostList,
    HttpFakeEngine,
    HttpFakePlatform,
)
from damaskrill.messages import HostEntry
from damaskrill.runtime import run_in_reactor
from damaskrill.utils import SystemClock

__all__ = ["measure"]

SERVICE = "dossier-review"
N_STREAMS = (50, 200, 1_000)
# Total token rate for any number of streams, so that only their number varies.
TOKENS_PER_S = 4_000
STREAM_DURATION_S = 16
WARM_UP_S = 0.5
POLL_S = 0.05
WINDOW_S = 3
N_REQUESTS = 600
MAX_CONCURRENT_REQUESTS = 20
TEXT_BYTES = 1_000_000
IDLE_S = 5
MS_PER_S = 1_000
US_PER_S = 1_000_000


@frozen(kw_only=True)
class Testbed:
    """Running routers and fake servers."""

    entry: MeasuredRouter
    owner: MeasuredRouter
    engine: HttpFakeEngine
    platform: HttpFakePlatform


def measure(seed: int) -> Iterator[Measurement]:
    """Run in a subprocess, since a reactor cannot be restarted."""
    argv = [sys.executable, "-m", "benchmarks.bench_relay", str(seed)]
    completed = subprocess.run(argv, stdout=subprocess.PIPE, text=True, check=True)
    for line in completed.stdout.splitlines():
        yield Measurement(**json.loads(line))


async def run(seed: int) -> int:
    """Run all measurements and print each as a JSON object."""
    from twisted.internet import reactor

    testbed = await start_testbed(reactor, seed)
    try:
        await testbed.entry.wait_until_ready()
        await testbed.owner.wait_until_ready()
        await asyncio.sleep(IDLE_S)
        for measurement in await measure_idle(testbed, seed):
            print_measurement(measurement)
        for measurement in await measure_requests(testbed, seed):
            print_measurement(measurement)
        for n_streams in N_STREAMS:
            for measurement in await measure_streams(testbed, n_streams, seed):
                print_measurement(measurement)
    finally:
        await testbed.entry.stop()
        await testbed.owner.stop()
        await testbed.engine.stop()
        await testbed.platform.stop()
    return 0


def print_measurement(measurement: Measurement) -> None:
    """Print a measurement with its parameters in a separate object."""
    fields = {
        name: getattr(measurement, name)
        for name in ("measure", "policy", "value", "unit", "seed", "parameters")
    }
    print(json.dumps(fields), flush=True)


async def start_testbed(reactor: Any, seed: int) -> Testbed:
    """Start fake servers and routers."""
    clock = SystemClock()
    state = FakeEngine(
        name="engine-1",
        random_state=seed,
        bearable_load=2_000,
        cold_load=2_000,
        prefill_us_per_token=0,
        token_interval_ms=1,
    )
    engine = HttpFakeEngine(engine=state, clock=clock, reactor=reactor)
    platform = HttpFakePlatform(
        configuration=FakeConfigurationService(),
        host_list=FakeHostList(lag_ms=0),
        clock=clock,
        reactor=reactor,
    )
    engine.start()
    platform.start()
    platform.configuration.publish(build_text(engine.address))
    routers = [
        MeasuredRouter(
            data_centre=data_centre,
            text_url=platform.text_url,
            host_list_url=platform.host_list_url,
        )
        for data_centre in ("entry", "owner")
    ]
    hosts = tuple(
        HostEntry(address=router.peer_address, data_centre=data_centre)
        for router, data_centre in zip(routers, ("entry", "owner"))
    )
    platform.host_list.set_hosts(hosts, 0)
    for router in routers:
        await router.start()
    return Testbed(entry=routers[0], owner=routers[1], engine=engine, platform=platform)


def build_text(engine_address: str) -> bytes:
    """Return a text of about 1 MB, most of it settings of teams."""
    lines = [
        "[limits]",
        "load_floor = 2000",
        f"[service {SERVICE}]",
        "kind = engine",
        # The engine is slow by design, which must not lower its concurrency limit.
        "between_tokens_objective_ms = 10000",
        "first_token_objective_ms = 20000",
        "[data_centre entry]",
        "in_service = yes",
        "[data_centre owner]",
        "in_service = yes",
        "[backend_server engine-1]",
        f"service = {SERVICE}",
        f"address = {engine_address}",
        "data_centre = owner",
        "bearable_load = 2000",
        "cold_load = 2000",
        "[teams]",
    ]
    n_bytes = sum(len(line) + 1 for line in lines)
    n_teams = 0
    while n_bytes < TEXT_BYTES - 100:
        lines.append(f"team-{n_teams:06} = 2 4")
        n_bytes += len(lines[-1]) + 1
        n_teams += 1
    return "\n".join(lines).encode()


async def measure_idle(testbed: Testbed, seed: int) -> list[Measurement]:
    """Measure memory and processor time without callers."""
    before = processor_times(testbed)
    await asyncio.sleep(IDLE_S)
    after = processor_times(testbed)
    measurements = []
    for role, router in (("entry", testbed.entry), ("owner", testbed.owner)):
        percent = 100 * (after[role] - before[role]) / IDLE_S
        measurements += [
            Measurement(
                measure="idle_memory",
                policy="product",
                value=round(router.memory_mb(), 1),
                unit="MB",
                seed=seed,
                parameters={"role": role, "text_bytes": TEXT_BYTES},
            ),
            Measurement(
                measure="idle_processor_share",
                policy="product",
                value=round(percent, 2),
                unit="percent of a core",
                seed=seed,
                parameters={"role": role},
            ),
        ]
    return measurements


async def measure_requests(testbed: Testbed, seed: int) -> list[Measurement]:
    """Measure processor time per short request, from arrival to answer."""
    testbed.engine.engine.token_interval_ms = 1
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def send(n: int) -> bytes:
        async with limit:
            return await send_chat(
                testbed.entry.caller_port, n, n_tokens=1, stream=False
            )

    before = processor_times(testbed)
    answers = await asyncio.gather(*(send(n) for n in range(N_REQUESTS)))
    after = processor_times(testbed)
    n_completed = sum(b"Damaskrill-Outcome: completed" in each for each in answers)
    return [
        Measurement(
            measure="processor_time_per_request",
            policy="product",
            value=round(US_PER_S * (after[role] - before[role]) / N_REQUESTS, 1),
            unit="us",
            seed=seed,
            parameters={"role": role, "n_completed": n_completed, "n": N_REQUESTS},
        )
        for role in ("entry", "owner")
    ]


async def measure_streams(
    testbed: Testbed, n_streams: int, seed: int
) -> list[Measurement]:
    """Measure processor time per relayed chunk while all streams are running."""
    interval_ms = MS_PER_S * n_streams // TOKENS_PER_S
    testbed.engine.engine.token_interval_ms = interval_ms
    n_tokens = MS_PER_S * STREAM_DURATION_S // interval_ms
    calls = [
        asyncio.create_task(
            send_chat(testbed.entry.caller_port, n, n_tokens=n_tokens, stream=True)
        )
        for n in range(n_streams)
    ]
    await wait_until_all_running(testbed, n_streams)
    n_before = await testbed.owner.read_metric("chunks_sent_to_routers")
    before = processor_times(testbed)
    await asyncio.sleep(WINDOW_S)
    after = processor_times(testbed)
    n_chunks = await testbed.owner.read_metric("chunks_sent_to_routers") - n_before
    memory = {"entry": testbed.entry.memory_mb(), "owner": testbed.owner.memory_mb()}
    answers = await asyncio.gather(*calls)
    n_completed = sum(b'"outcome":"completed"' in each for each in answers)
    measurements = []
    for role in ("entry", "owner"):
        parameters = {
            "role": role,
            "n_streams": n_streams,
            "n_completed": n_completed,
            "token_interval_ms": interval_ms,
            "chunks_per_s": round(n_chunks / WINDOW_S),
        }
        seconds = after[role] - before[role]
        measurements += [
            Measurement(
                measure="processor_time_per_relayed_chunk",
                policy="product",
                value=round(US_PER_S * seconds / max(n_chunks, 1), 1),
                unit="us",
                seed=seed,
                parameters=parameters,
            ),
            Measurement(
                measure="memory_while_streaming",
                policy="product",
                value=round(memory[role], 1),
                unit="MB",
                seed=seed,
                parameters=parameters,
            ),
        ]
    return measurements


async def wait_until_all_running(testbed: Testbed, n_streams: int) -> None:
    """Wait until the engine runs all streams, so that start-up is not measured."""
    async with asyncio.timeout(STREAM_DURATION_S - WINDOW_S):
        while testbed.engine.engine.load < n_streams:
            await asyncio.sleep(POLL_S)
    await asyncio.sleep(WARM_UP_S)


def processor_times(testbed: Testbed) -> dict[str, float]:
    """Return the processor time used by both routers, in seconds."""
    return {
        "entry": testbed.entry.processor_time_s(),
        "owner": testbed.owner.processor_time_s(),
    }


async def send_chat(port: int, n: int, *, n_tokens: int, stream: bool) -> bytes:
    """Send a chat request and return the raw response."""
    content = {
        "model": SERVICE,
        "messages": [{"role": "user", "content": f"chat {n}"}],
        "stream": stream,
        "max_tokens": n_tokens,
    }
    body = json.dumps(content).encode()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        b"Content-Length: " + str(len(body)).encode() + b"\r\n\r\n" + body
    )
    try:
        return await reader.read(-1)
    finally:
        writer.close()


if __name__ == "__main__":
    sys.exit(run_in_reactor(run(int(sys.argv[1]))))
