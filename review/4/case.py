"""Another writer puts an entry into the store just before a key is taken away."""

import asyncio
import time

from damaskrill.fakes.platform import build_configuration
from review.client import send
from review.deployment import HAS_TROUBLE, Deployment, play
from review.server import Server

ZONES = ["bole", "kality", "sululta"]
HELD_KEY, REVOKED_KEY = "key-1", "key-2"
# The bound configApplyMs, and for how long the routers are watched.
APPLY_S, WATCHED_S = 2.0, 15.0
QUIET_S = 3.0
# Within the time that a reader waits after a change before it calls the store again.
SOON_S = 0.1
# A service that no configuration names, and a number of another type than the whole
# milliseconds of the platform's servers.
FOREIGN_ENTRY = b"""{"service": "inventory", "address": "127.0.0.1:9", "zone": "bole",
"version": "v1", "slotCount": 8, "state": "ready", "coldRemainingMs": 1e30,
"sequence": 1, "born": 1000}"""


async def play_case(deployment: Deployment) -> dict[str, object]:
    """Take a key away; return which requests ran with it after configApplyMs."""
    store = deployment.store

    def write_version(version: int, keys: list[str]) -> None:
        tenants = [{"name": "desk", "apiKeys": keys}]
        store.put_configuration(build_configuration(version=version, tenants=tenants))
        deployment.note(f"version {version} acknowledged: {tenants}")

    write_version(1, [HELD_KEY, REVOKED_KEY])
    server = Server(server_id="i-0", service="app", host=deployment.next_host())
    await deployment.add_server(server)
    await deployment.start_routers(ZONES)
    statuses: dict[str, int] = {}

    async def read(name: str, key: str) -> None:
        for number, router in enumerate(deployment.routers):
            request_id = f"{name}-{key}-router-{number}"
            headers = [
                ("Host", "desk.example"),
                ("Damaskrill-Request-Id", request_id),
                ("Damaskrill-Request-Deadline", "1500"),
                ("Authorization", f"Bearer {key}"),
            ]
            answer = await send(router.address, "GET", "/read/7", headers, timeout_s=2)
            statuses[request_id] = answer.status
            deployment.note(f"{request_id} answered {answer.status}")

    await read("before", HELD_KEY)
    await read("before", REVOKED_KEY)
    await asyncio.sleep(QUIET_S)
    # A second server comes, which is no trouble.
    other = Server(server_id="i-1", service="app", host=deployment.next_host())
    await deployment.add_server(other)
    await asyncio.sleep(SOON_S)
    if HAS_TROUBLE:
        store.put("servers/inventory-7", FOREIGN_ENTRY)
        deployment.note("another writer has put an entry")
    write_version(2, [HELD_KEY])
    acknowledged_at = time.monotonic()
    n_ends = 0
    while (elapsed_s := time.monotonic() - acknowledged_at) < WATCHED_S:
        await asyncio.sleep(0.5)
        for router in deployment.routers:
            if router.process is not None and router.process.poll() is not None:
                n_ends += 1
                deployment.note(f"router {router.host} has ended by itself")
                router.start()
        if elapsed_s > APPLY_S:
            await read(f"after-{elapsed_s:.1f}", HELD_KEY)
            await read(f"after-{elapsed_s:.1f}", REVOKED_KEY)
    runs = [*server.runs, *other.runs]
    stale = [each for each in runs if each.startswith("after") and REVOKED_KEY in each]
    return {
        "broken": bool(stale),
        "requests_with_revoked_key_after_bound": sum(
            each.startswith("after") and REVOKED_KEY in each for each in statuses
        ),
        "of_these_run": len(stale),
        "last_of_them": [each for each in statuses if each in stale][-1:],
        "processes_that_ended_by_themselves": n_ends,
    }


if __name__ == "__main__":
    play(__file__, play_case)
