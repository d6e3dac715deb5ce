"""The operator takes the last API key away."""

import asyncio

from damaskrill.fakes.platform import build_configuration
from review.client import send
from review.deployment import HAS_TROUBLE, Deployment, play
from review.server import Server

HELD_KEY, UNKNOWN_KEY = "key-1", "key-that-was-never-held"
APPLY_S = 2.0
N_REQUESTS = 10


async def play_case(deployment: Deployment) -> dict[str, object]:
    """Revoke the only key; return which requests still ran after that."""
    route = {
        "name": "r-issue",
        "host": "desk.example",
        "prefix": "/issue/",
        "kind": "non_idempotent",
        "service": "app",
        "timeoutMs": 1_500,
        "targetLatencyMs": 400,
        "priority": 2,
        "maxAttempts": 1,
        "public": False,
    }

    def write_version(version: int, keys: list[str]) -> None:
        tenants = [{"name": "desk", "apiKeys": keys}]
        deployment.store.put_configuration(
            build_configuration(version=version, routes=[route], tenants=tenants)
        )
        deployment.note(f"version {version} acknowledged: {tenants}")

    write_version(1, [HELD_KEY])
    server = Server(server_id="i-0", service="app", host=deployment.next_host())
    await deployment.add_server(server)
    await deployment.start_routers(["bole", "kality"])

    async def issue(name: str, key: str | None) -> list[str]:
        statuses = []
        for number in range(N_REQUESTS):
            router = deployment.routers[number % len(deployment.routers)]
            request_id = f"{name}-{number}"
            headers = [
                ("Host", "desk.example"),
                ("Damaskrill-Request-Id", request_id),
                ("Damaskrill-Request-Deadline", "1500"),
            ]
            if key is not None:
                headers.append(("Authorization", f"Bearer {key}"))
            answer = await send(
                router.address, "POST", "/issue/7", headers, body=b"x", timeout_s=2
            )
            deployment.note(f"{request_id} with {key} answered {answer.status}")
            statuses.append(str(answer.status))
        return statuses

    def count_runs(name: str) -> int:
        return sum(
            count for each, count in server.runs.items() if each.startswith(f"{name}-")
        )

    before = await issue("held-before", HELD_KEY)
    unknown_before = await issue("unknown-before", UNKNOWN_KEY)
    write_version(2, [] if HAS_TROUBLE else [HELD_KEY])
    await asyncio.sleep(APPLY_S + 1)
    await issue("held-after", HELD_KEY)
    await issue("unknown-after", UNKNOWN_KEY)
    await issue("keyless-after", None)
    await asyncio.sleep(0.5)
    n_unknown = count_runs("unknown-before") + count_runs("unknown-after")
    n_keyless = count_runs("keyless-after")
    n_revoked = count_runs("held-after") if HAS_TROUBLE else 0
    return {
        "broken": bool(n_unknown or n_keyless or n_revoked),
        "statuses_before": sorted({*before}),
        "statuses_of_unknown_key_before": sorted({*unknown_before}),
        "ran_with_revoked_key": n_revoked,
        "ran_with_key_never_held": n_unknown,
        "ran_without_key": n_keyless,
        "tenants_told_to_the_server": sorted(
            {
                headers.get("damaskrill-tenant", "none")
                for each, headers in server.received
                if "after" in each
            }
        ),
    }


if __name__ == "__main__":
    play(__file__, play_case)
