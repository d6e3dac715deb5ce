"""All routers are killed while a server is cold."""

import asyncio
import time
from random import Random

from damaskrill.fakes.platform import build_configuration
from review.client import send
from review.deployment import HAS_TROUBLE, Deployment, play
from review.server import Server

N_ROUTERS, N_WARM = 12, 2
ZONES = ["bole", "kality", "sululta"]
COLD_S, COLD_PER_S, COLD_FACTOR, COLD_SLACK = 8, 2, 1.5, 5
PER_S, LENGTH_S, DEADLINE_MS = 150, 9, 1_500


async def play_case(deployment: Deployment) -> dict[str, object]:
    """Return the most requests that the cold server got within a second."""
    route = {
        "name": "r-read",
        "host": "desk.example",
        "prefix": "/read/",
        "kind": "idempotent",
        "service": "app",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 400,
        "priority": 2,
        "maxAttempts": 2,
    }
    service = {
        "name": "app",
        "healthPath": "/health",
        "maxConnections": 100,
        "coldS": COLD_S,
        "coldPerS": COLD_PER_S,
    }
    deployment.store.put_configuration(
        build_configuration(routes=[route], services=[service])
    )
    for number in range(N_WARM):
        await deployment.add_server(
            Server(server_id=f"i-{number}", service="app", host=deployment.next_host())
        )
    await deployment.start_routers([ZONES[n % 3] for n in range(N_ROUTERS)])
    await asyncio.sleep(3)
    random = Random(3)
    statuses: list[int] = []
    tasks: list[asyncio.Task[None]] = []

    async def read(request_id: str) -> None:
        headers = [
            ("Host", "desk.example"),
            ("Damaskrill-Request-Id", request_id),
            ("Damaskrill-Request-Deadline", str(DEADLINE_MS)),
            ("Authorization", "Bearer key-1"),
        ]
        router = random.choice(deployment.routers)
        answer = await send(router.address, "GET", "/read/1", headers, timeout_s=2)
        deployment.note(f"{request_id} answered {answer.status}")
        statuses.append(answer.status)

    async def press() -> None:
        until = time.monotonic() + LENGTH_S
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(read(f"r{len(tasks):05d}")))
            await asyncio.sleep(random.expovariate(PER_S))

    class ColdServer(Server):
        arrivals: list[float] = []

        async def handle(self, connection, head):
            self.arrivals.append(time.monotonic())
            await super().handle(connection, head)

        def entry(self, state="ready"):
            return {**super().entry(state), "coldRemainingMs": COLD_S * 1_000}

    cold = ColdServer(
        server_id="i-cold", service="app", host=deployment.next_host(), born=2_000
    )
    pressing = asyncio.create_task(press())
    await asyncio.sleep(1)
    await deployment.add_server(cold)
    await asyncio.sleep(1.5)
    if HAS_TROUBLE:
        for router in deployment.routers:
            router.kill()
        deployment.note("all routers killed")
        await deployment.restart(deployment.routers)
    await pressing
    await asyncio.gather(*tasks)
    at = cold.arrivals
    most = max(sum(a <= b < a + 1 for b in at) for a in at)
    bound = COLD_PER_S * COLD_FACTOR + COLD_SLACK
    return {
        "broken": most > bound,
        "most_in_a_second": most,
        "bound": bound,
        "arrivals": len(at),
        "served": sum(each == 200 for each in statuses),
        "requests": len(statuses),
    }


if __name__ == "__main__":
    play(__file__, play_case)
