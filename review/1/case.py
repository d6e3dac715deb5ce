"""Late copies of rejections, while servers with few slots are full."""

import asyncio
from random import Random

import h11

from damaskrill.fakes.platform import build_configuration
from review.client import send
from review.deployment import HAS_TROUBLE, Deployment, play
from review.server import Connection, Server

ZONES = ["bole", "kality", "sululta", "bole", "kality", "sululta", "bole"]
N_SERVERS, N_FAULTY = 5, 3
# The dose of the site abay-spec: garble "extra late" with x = 0.03 for 5 s, and a burst
# of 1.7 times the usual traffic. Both come ten times.
SHARE_COPIED = 0.03
N_BURSTS, BURST_S, CALM_S = 10, 5.0, 2.0
USUAL_PER_S, BURST_FACTOR = 175, 1.7
DEADLINE_MS = 1_500
NOT_RUN = (408, 421, 429, 503)


class CopyingServer(Server):
    """Server that sends a second copy of some answers where the next one is due."""

    random = Random(41)
    is_copying = False
    n_copies = 0

    async def handle(self, connection: Connection, head: h11.Request) -> None:
        """Send the copy of the last answer, then handle the request."""
        if connection.late_copy:
            connection.transport.write(connection.late_copy)
            connection.late_copy = b""
            self.n_copies += 1
            self.note(f"{self.server_id} sends a copy of its last answer first")
        await super().handle(connection, head)
        if self.is_copying and self.random.random() < SHARE_COPIED:
            connection.late_copy = connection.last_answer


async def play_case(deployment: Deployment) -> dict[str, object]:
    """Send actions in bursts; return which of them ran twice or were denied."""
    route = {
        "name": "r-issue",
        "host": "desk.example",
        "prefix": "/issue/",
        "kind": "non_idempotent",
        "service": "app",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 400,
        "priority": 2,
        "maxAttempts": 1,
    }
    deployment.store.put_configuration(build_configuration(routes=[route]))
    servers = [
        CopyingServer(
            server_id=f"i-{number}",
            service="app",
            host=deployment.next_host(),
            n_slots=3,
            n_queue=2,
            work_s=0.06,
        )
        for number in range(N_SERVERS)
    ]
    for server in servers:
        await deployment.add_server(server)
    await deployment.start_routers(ZONES)
    random = Random(7)
    statuses: dict[str, int] = {}
    clients: list[asyncio.Task[None]] = []

    async def issue(request_id: str) -> None:
        router = random.choice(deployment.routers)
        headers = [
            ("Host", "desk.example"),
            ("Damaskrill-Request-Id", request_id),
            ("Damaskrill-Request-Deadline", str(DEADLINE_MS)),
            ("Authorization", "Bearer key-1"),
        ]
        deployment.note(f"{request_id} sent to {router.host}")
        answer = await send(
            router.address,
            "POST",
            "/issue/7",
            headers,
            body=b"channel",
            timeout_s=DEADLINE_MS / 1_000 + 1,
        )
        statuses[request_id] = answer.status
        deployment.note(f"{request_id} answered {answer.status}")

    async def press(per_s: float, for_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        while loop.time() < until:
            clients.append(loop.create_task(issue(f"r{len(clients):05d}")))
            await asyncio.sleep(random.expovariate(per_s))

    for _ in range(N_BURSTS):
        await press(USUAL_PER_S, CALM_S)
        for server in servers[:N_FAULTY]:
            server.is_copying = HAS_TROUBLE
        await press(USUAL_PER_S * BURST_FACTOR, BURST_S)
        for server in servers:
            server.is_copying = False
    await asyncio.gather(*clients)
    await asyncio.sleep(1)
    n_runs = {each: sum(s.runs[each] for s in servers) for each in statuses}
    for request_id, number in n_runs.items():
        deployment.note(f"{request_id} ran {number} times")
    twice = [each for each, number in n_runs.items() if number > 1]
    refused = [each for each in statuses if statuses[each] in NOT_RUN and n_runs[each]]
    return {
        "broken": bool(twice or refused),
        "requests": len(statuses),
        "answered_200": sum(each == 200 for each in statuses.values()),
        "copies": sum(each.n_copies for each in servers),
        "run_twice": twice,
        "answered_not_run_but_run": refused,
    }


if __name__ == "__main__":
    play(__file__, play_case)
