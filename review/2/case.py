"""Routers are killed while servers of a new software version are released."""

import asyncio
import re
from collections.abc import Sequence
from random import Random

import h11

from damaskrill.fakes.platform import build_configuration
from review.client import Answer, send
from review.deployment import HAS_TROUBLE, Deployment, play
from review.server import Connection, Server

# As the site abay-spec: 7 routers in 3 zones before 5 engines.
ZONES = ["bole", "kality", "sululta", "bole", "kality", "sululta", "bole"]
N_ENGINES, N_SLOTS = 5, 64
# herd_kill, whose share is 0.6 at most: 4 of 7 routers.
N_KILLED = 4
# release of a share of 0.4, one server at a time.
N_RELEASED, GAP_S, DRAIN_S = 2, 1.0, 2.0
# The routers have served for so long that they know which versions there were.
WARM_UP_S = 22
N_STREAMS, N_EVENTS, EVENT_S = 200, 12, 0.25
DEADLINE_S = 5
# "More than two streams" break the rule ORDER.
MAX_MIXED = 2
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Engine(Server):
    """Engine whose events name the software version that wrote them."""

    async def run(
        self,
        connection: Connection,
        request: dict[str, str],
        headers: Sequence[tuple[str, str]],
    ) -> None:
        """Write the events after the last one that the client has."""
        first = int(request.get("last-event-id", "0")) + 1
        chunked = ("Transfer-Encoding", "chunked")
        stream = [*headers, ("Content-Type", "text/event-stream"), chunked]
        connection.write(h11.Response(status_code=200, headers=stream, reason=b""))
        for number in range(first, N_EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            connection.write(h11.Data(data=event))
        connection.write(h11.EndOfMessage())


async def play_case(deployment: Deployment) -> dict[str, object]:
    """Kill routers during a release; return which streams hold two versions."""
    route = {
        "name": "r-check",
        "host": "desk.example",
        "prefix": "/check/",
        "kind": "streaming",
        "streamResume": True,
        "stickySessions": True,
        "service": "pool",
        "timeoutMs": 15_000,
        "targetLatencyMs": 400,
        "targetGapMs": 300,
        "priority": 0,
        "maxAttempts": 2,
    }
    deployment.store.put_configuration(build_configuration(routes=[route]))

    def build_engine(name: str, version: str, born: int) -> Engine:
        return Engine(
            server_id=name,
            service="pool",
            host=deployment.next_host(),
            version=version,
            n_slots=N_SLOTS,
            n_queue=192,
            born=born,
        )

    old = [build_engine(f"old-{each}", "v1", 1_000) for each in range(N_ENGINES)]
    for engine in old:
        await deployment.add_server(engine)
    await deployment.start_routers(ZONES)
    await asyncio.sleep(WARM_UP_S)
    for number in range(N_RELEASED):
        await deployment.add_server(build_engine(f"new-{number}", "v2", 2_000))
        leaving = old[number]
        deployment.store.put_leaving(leaving.server_id, leaving.entry())
        deployment.note(f"{leaving.server_id} is draining")
        await asyncio.sleep(GAP_S)
    for leaving in old[:N_RELEASED]:
        deployment.store.remove_server(leaving.server_id)
    random = Random(11)
    versions: dict[str, list[str]] = {}
    n_complete = 0

    async def check(number: int) -> None:
        nonlocal n_complete
        name = f"s{number:03d}"
        prompt = f"aa{number % 20:02x}:400,bb{number:04x}:60"
        router = deployment.routers[number % len(deployment.routers)]
        events: list[tuple[int, str]] = []
        for attempt in range(2):
            request_id = f"{name}-{attempt}"
            headers = [
                ("Host", "desk.example"),
                ("Damaskrill-Request-Id", request_id),
                ("Damaskrill-Request-Deadline", str(DEADLINE_S * 1_000)),
                ("Damaskrill-Model", "m"),
                ("Damaskrill-Token-Usage", "460,48"),
                ("Damaskrill-Prompt-Prefix", prompt),
                ("Authorization", "Bearer key-1"),
            ]
            if events:
                headers += [("Last-Event-Id", str(events[-1][0]))]
                headers += [("Resumes", f"{name}-0")]
            deployment.note(f"{request_id} sent to {router.host} after {events[-1:]}")
            answer = await send(
                router.address,
                "POST",
                "/check/1",
                headers,
                body=b"clause",
                timeout_s=DEADLINE_S,
                answer=Answer(),
            )
            if answer.status == 200:
                found = EVENT.findall(answer.body)
                events += [(int(n), version.decode()) for n, version in found]
            deployment.note(
                f"{request_id} answered {answer.status}, complete: "
                f"{answer.is_complete}, events now: {events}"
            )
            if answer.is_complete and answer.status == 200:
                n_complete += 1
                break
            # Retries reach other nodes, those that the balancer has found to be up.
            router = random.choice(deployment.routers[N_KILLED:])
        versions[name] = [version for _, version in events]

    streams = [asyncio.create_task(check(number)) for number in range(N_STREAMS)]
    await asyncio.sleep(1.2)
    if HAS_TROUBLE:
        killed = deployment.routers[:N_KILLED]
        for router in killed:
            router.kill()
            deployment.note(f"{router.host} killed")
        await deployment.restart(killed)
    await asyncio.gather(*streams)
    mixed = [name for name, each in versions.items() if len(set(each)) > 1]
    return {
        "broken": len(mixed) > MAX_MIXED,
        "streams": N_STREAMS,
        "complete": n_complete,
        "begun_at_v2": sum(each[:1] == ["v2"] for each in versions.values()),
        "events_of_two_versions": mixed,
    }


if __name__ == "__main__":
    play(__file__, play_case)
