"""Processor time and memory of one router: per request, per relayed chunk, at rest.

Two routers run as processes of their own. All callers come to the entry; the only
engine belongs to the owner, which is in the engine's data centre. Callers and stand-ins
run in the measuring process, and their cost counts for neither router.
"""

import asyncio
import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

from attrs import frozen

from benchmarks._figure import Figure
from benchmarks._router_process import RouterUnderMeasure
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
# All settings have the same rate of tokens in total, so that only their spread differs.
TOKENS_PER_S = 4_000
STREAM_DURATION_S = 16
SETTLE_S = 0.5
POLL_S = 0.05
WINDOW_S = 3
N_REQUESTS = 600
REQUESTS_AT_ONCE = 20
TEXT_BYTES = 1_000_000
REST_S = 5
MS_PER_S = 1_000
US_PER_S = 1_000_000


@frozen(kw_only=True)
class Bench:
    """Running routers and stand-ins."""

    entry: RouterUnderMeasure
    owner: RouterUnderMeasure
    engine: HttpFakeEngine
    platform: HttpFakePlatform


def measure(seed: int) -> Iterator[Figure]:
    """Measure in a process of its own, since a reactor cannot be started twice."""
    words = [sys.executable, "-m", "benchmarks.bench_relay", str(seed)]
    done = subprocess.run(words, stdout=subprocess.PIPE, text=True, check=True)
    for line in done.stdout.splitlines():
        yield Figure(**json.loads(line))


async def run(seed: int) -> int:
    """Measure everything and print one JSON object a figure."""
    from twisted.internet import reactor

    bench = await start(reactor, seed)
    try:
        await bench.entry.wait_until_ready()
        await bench.owner.wait_until_ready()
        await asyncio.sleep(REST_S)
        for figure in await measure_rest(bench, seed):
            print_figure(figure)
        for figure in await measure_requests(bench, seed):
            print_figure(figure)
        for n_streams in N_STREAMS:
            for figure in await measure_streams(bench, n_streams, seed):
                print_figure(figure)
    finally:
        await bench.entry.stop()
        await bench.owner.stop()
        await bench.engine.stop()
        await bench.platform.stop()
    return 0


def print_figure(figure: Figure) -> None:
    """Print a figure with its parameters apart."""
    fields = {
        name: getattr(figure, name)
        for name in ("measure", "policy", "value", "unit", "seed", "parameters")
    }
    print(json.dumps(fields), flush=True)


async def start(reactor: Any, seed: int) -> Bench:
    """Start stand-ins and routers."""
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
        RouterUnderMeasure(
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
    return Bench(entry=routers[0], owner=routers[1], engine=engine, platform=platform)


def build_text(engine_address: str) -> bytes:
    """Return a text of about 1 MB; all but a few lines are exceptions for teams."""
    lines = [
        "[limits]",
        "load_floor = 2000",
        f"[service {SERVICE}]",
        "kind = engine",
        # The stand-in is slow on purpose, which must not count against it.
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


async def measure_rest(bench: Bench, seed: int) -> list[Figure]:
    """Measure memory and processor time without any caller."""
    before = processor_times(bench)
    await asyncio.sleep(REST_S)
    after = processor_times(bench)
    figures = []
    for role, router in (("entry", bench.entry), ("owner", bench.owner)):
        percent = 100 * (after[role] - before[role]) / REST_S
        figures += [
            Figure(
                measure="idle_memory",
                policy="product",
                value=round(router.memory_mb(), 1),
                unit="MB",
                seed=seed,
                parameters={"role": role, "text_bytes": TEXT_BYTES},
            ),
            Figure(
                measure="idle_processor_share",
                policy="product",
                value=round(percent, 2),
                unit="percent of a core",
                seed=seed,
                parameters={"role": role},
            ),
        ]
    return figures


async def measure_requests(bench: Bench, seed: int) -> list[Figure]:
    """Measure processor time per short whole request."""
    bench.engine.engine.token_interval_ms = 1
    limit = asyncio.Semaphore(REQUESTS_AT_ONCE)

    async def send(n: int) -> bytes:
        async with limit:
            return await send_chat(bench.entry.caller_port, n, n_tokens=1, stream=False)

    before = processor_times(bench)
    answers = await asyncio.gather(*(send(n) for n in range(N_REQUESTS)))
    after = processor_times(bench)
    n_completed = sum(b"Damaskrill-Outcome: completed" in each for each in answers)
    return [
        Figure(
            measure="processor_time_per_request",
            policy="product",
            value=round(US_PER_S * (after[role] - before[role]) / N_REQUESTS, 1),
            unit="us",
            seed=seed,
            parameters={"role": role, "n_completed": n_completed, "n": N_REQUESTS},
        )
        for role in ("entry", "owner")
    ]


async def measure_streams(bench: Bench, n_streams: int, seed: int) -> list[Figure]:
    """Measure processor time per relayed chunk while all streams run."""
    interval_ms = MS_PER_S * n_streams // TOKENS_PER_S
    bench.engine.engine.token_interval_ms = interval_ms
    n_tokens = MS_PER_S * STREAM_DURATION_S // interval_ms
    calls = [
        asyncio.create_task(
            send_chat(bench.entry.caller_port, n, n_tokens=n_tokens, stream=True)
        )
        for n in range(n_streams)
    ]
    await wait_until_all_run(bench, n_streams)
    n_before = await bench.owner.read_state("chunks_sent_to_routers")
    before = processor_times(bench)
    await asyncio.sleep(WINDOW_S)
    after = processor_times(bench)
    n_chunks = await bench.owner.read_state("chunks_sent_to_routers") - n_before
    memory = {"entry": bench.entry.memory_mb(), "owner": bench.owner.memory_mb()}
    answers = await asyncio.gather(*calls)
    n_completed = sum(b'"outcome":"completed"' in each for each in answers)
    figures = []
    for role in ("entry", "owner"):
        parameters = {
            "role": role,
            "n_streams": n_streams,
            "n_completed": n_completed,
            "token_interval_ms": interval_ms,
            "chunks_per_s": round(n_chunks / WINDOW_S),
        }
        seconds = after[role] - before[role]
        figures += [
            Figure(
                measure="processor_time_per_relayed_chunk",
                policy="product",
                value=round(US_PER_S * seconds / max(n_chunks, 1), 1),
                unit="us",
                seed=seed,
                parameters=parameters,
            ),
            Figure(
                measure="memory_while_streaming",
                policy="product",
                value=round(memory[role], 1),
                unit="MB",
                seed=seed,
                parameters=parameters,
            ),
        ]
    return figures


async def wait_until_all_run(bench: Bench, n_streams: int) -> None:
    """Wait until the engine runs all streams, so that no start is measured."""
    async with asyncio.timeout(STREAM_DURATION_S - WINDOW_S):
        while bench.engine.engine.load < n_streams:
            await asyncio.sleep(POLL_S)
    await asyncio.sleep(SETTLE_S)


def processor_times(bench: Bench) -> dict[str, float]:
    """Return the processor time of both routers so far, in seconds."""
    return {
        "entry": bench.entry.processor_time_s(),
        "owner": bench.owner.processor_time_s(),
    }


async def send_chat(port: int, n: int, *, n_tokens: int, stream: bool) -> bytes:
    """Send one chat and return all that came back."""
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
