"""Callers that take up streams which broke off, at another router."""

import asyncio
import time
from random import Random

from damaskrill.soak._callers import Exchange, send_request_once
from damaskrill.soak._servers import N_EVENTS

__all__ = ["RESUMABLE_PATH", "follow_streams_forever"]

RESUMABLE_PATH = "/check/1"
N_SHARED_PARTS = 20
# Share of the streams whose connection the caller loses after some events.
LOSS_PROBABILITY = 0.5
# Callers try again after this time, in seconds, and for so long.
TRY_INTERVAL_S = 0.3
MAX_TRYING_S = 6.0
MEAN_INTERVAL_S = 0.1


async def follow_streams_forever(
    addresses: list[tuple[str, int]],
    *,
    keys: list[str],
    exchanges: list[Exchange],
    name: str,
    random: Random,
) -> None:
    """Read resumable streams until cancelled, each over several tries if need be.

    Parameters
    ----------
    addresses : list of (str, int)
        Addresses of the routers.
    keys : list of str
        API keys to choose from.
    exchanges : list of Exchange
        Record to which each request is added.
    name : str
        Prefix of the request IDs.
    random : Random
        Source of random choices.
    """
    n_requests = 0
    n_routers = len(addresses)
    while True:
        router = random.randrange(n_routers)
        key = random.choice(keys)
        shared = f"base:10,part-{random.randrange(N_SHARED_PARTS)}:10"
        prompt = f"{shared},{name}-own-{n_requests}:5"
        leaves_after = None
        if random.random() < LOSS_PROBABILITY:
            leaves_after = random.randint(1, N_EVENTS - 1)
        first_id, last_event = "", 0
        begun_at = time.monotonic()
        while last_event < N_EVENTS and time.monotonic() < begun_at + MAX_TRYING_S:
            n_requests += 1
            exchange = Exchange(
                request_id=f"{name}-{n_requests}",
                path=RESUMABLE_PATH,
                key=key,
                router=router,
                prompt=prompt,
                resumes=first_id,
                last_event=last_event,
                leaves_after=leaves_after,
            )
            exchanges.append(exchange)
            await send_request_once(addresses[router], exchange)
            last_event += exchange.n_events
            if last_event and not first_id:
                first_id = exchange.request_id
            if not first_id:
                # A stream that has not begun is no matter of this caller.
                break
            leaves_after = None
            if n_routers > 1:
                router = (router + random.randrange(1, n_routers)) % n_routers
            if last_event < N_EVENTS:
                await asyncio.sleep(TRY_INTERVAL_S)
        await asyncio.sleep(random.expovariate(1 / MEAN_INTERVAL_S))
