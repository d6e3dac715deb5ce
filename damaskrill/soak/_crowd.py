"""Callers that press a service at a steady rate while it fails."""

import asyncio
from random import Random

from damaskrill.soak._callers import Exchange, send_request_once
from damaskrill.soak._servers import ENGINES, PLAIN

__all__ = ["send_crowd"]

# So that the repeats of all requests for some seconds would be over the budget.
REQUESTS_PER_S = 40
# Method, path and prompt of requests for a service that may be repeated.
REPEATABLE_REQUESTS = {
    PLAIN: ("GET", "/read/1", ""),
    ENGINES: ("POST", "/check/1", "base:10,own:5"),
}


async def send_crowd(
    addresses: list[tuple[str, int]],
    *,
    service: str,
    duration_s: float,
    key: str,
    exchanges: list[Exchange],
    name: str,
) -> None:
    """Send like requests for a service to any router, for a time in seconds."""
    method, path, prompt = REPEATABLE_REQUESTS[service]
    random = Random(name)
    async with asyncio.TaskGroup() as group:
        for number in range(int(duration_s * REQUESTS_PER_S)):
            router = random.randrange(len(addresses))
            exchange = Exchange(
                request_id=f"{name}-{number}",
                path=path,
                key=key,
                router=router,
                prompt=prompt,
                is_pressing=True,
            )
            exchanges.append(exchange)
            group.create_task(send_request_once(addresses[router], exchange, method))
            await asyncio.sleep(1 / REQUESTS_PER_S)
