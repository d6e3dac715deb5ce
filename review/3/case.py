"""Routers are killed while servers of a new software version are released."""

import asyncio
from random import Random

from damaskrill.fakes.platform import build_configuration
from review.deployment import HAS_TROUBLE, Deployment, play
from review.streams import Engine, StreamClient, build_route

# As the site abay-spec: 7 routers in 3 zones before 5 engines.
ZONES = ["bole", "kality", "sululta", "bole", "kality", "sululta", "bole"]
N_ENGINES, N_SLOTS = 5, 64
# herd_kill, whose share is 0.6 at most: 4 of 7 routers.
N_KILLED = 4
# release of a share of 0.4, one server at a time.
N_RELEASED, GAP_S = 2, 1.0
# The routers have served for so long that they know which versions there were.
WARM_UP_S = 22
N_STREAMS, DEADLINE_S = 200, 5
# "More than two streams" break the rule ORDER.
MAX_MIXED = 2


async def play_case(deployment: Deployment) -> dict[str, object]:
    """Kill routers during a release; return which streams hold two versions."""
    deployment.store.put_configuration(build_configuration(routes=[build_route()]))

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
    random = Random(11)
    clients = StreamClient(
        deployment,
        # Retries reach other nodes, those that the balancer has found to be up.
        pick_retry=lambda: random.choice(deployment.routers[N_KILLED:]),
        deadline_s=DEADLINE_S,
    )
    streams = [asyncio.create_task(clients.check(each)) for each in range(N_STREAMS)]
    await asyncio.sleep(1.2)
    if HAS_TROUBLE:
        killed = deployment.routers[:N_KILLED]
        for router in killed:
            router.kill()
            deployment.note(f"{router.host} killed")
        await deployment.restart(killed)
    await asyncio.gather(*streams)
    return {
        "broken": len(clients.mixed) > MAX_MIXED,
        "streams": N_STREAMS,
        "complete": clients.n_complete,
        "begun_at_v2": sum(each[:1] == ["v2"] for each in clients.versions.values()),
        "events_of_two_versions": clients.mixed,
    }


if __name__ == "__main__":
    play(__file__, play_case)
