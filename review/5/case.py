"""All routers are killed after a release, and the store has dropped its history."""

import asyncio
import time
from random import Random

from damaskrill.fakes.platform import build_configuration
from review.deployment import HAS_TROUBLE, Deployment, play
from review.streams import Engine, StreamClient, build_route

ZONES = ["bole", "kality", "sululta", "bole", "kality"]
N_OLD, N_NEW, N_SLOTS = 2, 3, 64
# The release: the new engines serve beside the old ones, which drain after this time.
OVERLAP_S, DRAIN_S = 18, 2.0
N_STREAMS, N_EVENTS, EVENT_S, DEADLINE_S = 60, 55, 0.2, 15
# "More than two streams" break the rule ORDER.
MAX_MIXED = 2


async def play_case(deployment: Deployment) -> dict[str, object]:
    """Kill all routers after a release; return which streams hold two versions."""
    store, routes = deployment.store, [build_route()]
    store.put_configuration(build_configuration(routes=routes))

    def build_engine(name: str, version: str, born_at_s: float) -> Engine:
        engine = Engine(
            server_id=name,
            service="pool",
            host=deployment.next_host(),
            version=version,
            n_slots=N_SLOTS,
            n_queue=192,
            born=round(born_at_s * 1_000),
        )
        engine.n_events, engine.event_s = N_EVENTS, EVENT_S
        return engine

    an_hour_ago = time.time() - 3_600
    old = [build_engine(f"old-{each}", "v1", an_hour_ago) for each in range(N_OLD)]
    for engine in old:
        await deployment.add_server(engine)
    await deployment.start_routers(ZONES)
    await asyncio.sleep(2)
    for each in range(N_NEW):
        await deployment.add_server(build_engine(f"new-{each}", "v2", time.time()))
    await asyncio.sleep(OVERLAP_S)
    random = Random(11)
    clients = StreamClient(
        deployment,
        pick_retry=lambda: random.choice(deployment.routers),
        deadline_s=DEADLINE_S,
    )
    streams = [
        asyncio.create_task(clients.check(each, pause_s=2.0))
        for each in range(N_STREAMS)
    ]
    await asyncio.sleep(0.5)
    for engine in old:
        store.put_leaving(engine.server_id, engine.entry())
    await asyncio.sleep(DRAIN_S)
    for engine in old:
        # They go on with what they run, "at times many seconds".
        store.remove_server(engine.server_id)
        deployment.note(f"{engine.server_id} is gone from the store")
    await asyncio.sleep(0.5)
    if HAS_TROUBLE:
        store.discard_history()
        deployment.note("the store has dropped its history")
    await asyncio.sleep(0.5)
    store.put_configuration(build_configuration(version=2, routes=routes))
    await asyncio.sleep(0.5)
    if HAS_TROUBLE:
        for router in deployment.routers:
            router.kill()
        deployment.note("all routers killed")
        await deployment.restart(deployment.routers)
    await asyncio.gather(*streams)
    return {
        "broken": len(clients.mixed) > MAX_MIXED,
        "streams": N_STREAMS,
        "complete": clients.n_complete,
        "begun_at_v1": sum(each[:1] == ["v1"] for each in clients.versions.values()),
        "events_of_two_versions": clients.mixed,
    }


if __name__ == "__main__":
    play(__file__, play_case)
