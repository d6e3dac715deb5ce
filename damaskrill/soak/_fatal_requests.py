"""Requests with a prompt part at which servers crash, and the check of their number."""

import asyncio
from collections.abc import Sequence
from random import Random

from damaskrill.soak._callers import Exchange, send_request_once
from damaskrill.soak._checks import ServerRecord, Violation
from damaskrill.soak._disruptions import Disruptions

__all__ = ["check_fatal_parts", "send_fatal_requests"]

MEAN_INTERVAL_S = 0.15
STREAM_PATHS = ("/chat/1", "/check/1")
STATUS_OK = 200
# Crashes after which the routers must recognize the part.
N_CRASHES = 5
# Time after the last of them from which servers must get no more than a few requests
# with the part, and from which sound requests must be served again, in seconds.
MAX_RECOGNITION_S = 4.0
MAX_RECOVERY_S = 6.0
MAX_LATE_REQUESTS = 3
# Numbers below which fractions say nothing.
MIN_COMPARED = 20
MIN_SOUND_FRACTION = 0.5


async def send_fatal_requests(
    addresses: list[tuple[str, int]],
    *,
    part: str,
    keys: list[str],
    exchanges: list[Exchange],
    name: str,
    random: Random,
) -> None:
    """Send requests with a fatal part to any router until cancelled.

    Parameters
    ----------
    addresses : list of (str, int)
        Addresses of the routers for callers.
    part : str
        ID of the fatal part.
    keys : list of str
        API keys to choose from.
    exchanges : list of Exchange
        Record to which each request is added.
    name : str
        Prefix of the request IDs.
    random : Random
        Source of random choices.
    """
    number = 0
    tasks: set[asyncio.Task[None]] = set()
    try:
        while True:
            number += 1
            router = random.randrange(len(addresses))
            exchange = Exchange(
                request_id=f"{name}-{number}",
                path=random.choice(STREAM_PATHS),
                key=random.choice(keys),
                router=router,
                prompt=f"base:10,part-{random.randrange(20)}:10,{part}:30,own-{number}:5",
                has_fatal_part=True,
            )
            exchanges.append(exchange)
            task = asyncio.create_task(send_request_once(addresses[router], exchange))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(1 / MEAN_INTERVAL_S))
    finally:
        for each in list(tasks):
            each.cancel()


def check_fatal_parts(
    exchanges: Sequence[Exchange],
    servers: Sequence[ServerRecord],
    crashes: Sequence[float],
    disruptions: Disruptions,
) -> list[Violation]:
    """Return whether servers got too many fatal requests, and sound ones too few.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        Records of all servers.
    crashes : sequence of float
        Times at which the part crashed a server, on the monotonic clock in seconds.
    disruptions : Disruptions
        Times of faults; requests at a router that was killed or paused do not count.

    Returns
    -------
    list of Violation
        ``fatal_part`` if too many requests with the part reached servers after enough
        crashes, ``sound_requests`` if less than half as many sound streams were then
        served as before the first crash.
    """
    if len(crashes) < N_CRASHES:
        return []
    recognized_at = sorted(crashes)[N_CRASHES - 1] + MAX_RECOGNITION_S
    fatal = {each.request_id: each for each in exchanges if each.has_fatal_part}
    late = [
        at
        for server in servers
        for at, request_id in server.arrivals
        if request_id in fatal
        and at > recognized_at
        and not disruptions.hit_router(fatal[request_id].router, at, at)
    ]
    violations = []
    if len(late) > MAX_LATE_REQUESTS:
        detail = f"{len(late)} requests later than {MAX_RECOGNITION_S:.0f} s"
        violations.append(Violation(promise="fatal_part", request_id="", detail=detail))
    return violations + _check_sound(exchanges, crashes, disruptions)


def _check_sound(
    exchanges: Sequence[Exchange], crashes: Sequence[float], disruptions: Disruptions
) -> list[Violation]:
    recovered_at = sorted(crashes)[N_CRASHES - 1] + MAX_RECOVERY_S
    last_at = max((e.sent_at for e in exchanges if e.has_fatal_part), default=0.0)
    sound = [
        each
        for each in exchanges
        if each.path in STREAM_PATHS
        and not each.has_fatal_part
        and each.ended_at
        and not disruptions.hit_router(each.router, each.sent_at, each.ended_at)
    ]
    before = [each for each in sound if each.ended_at < min(crashes)]
    after = [each for each in sound if recovered_at < each.sent_at < last_at]
    if min(len(before), len(after)) < MIN_COMPARED:
        return []
    if _served(after) >= MIN_SOUND_FRACTION * _served(before):
        return []
    detail = f"{_served(after):.2f} of {len(after)}, before {_served(before):.2f}"
    return [Violation(promise="sound_requests", request_id="", detail=detail)]


def _served(exchanges: Sequence[Exchange]) -> float:
    n_served = sum(each.status == STATUS_OK for each in exchanges)
    return n_served / len(exchanges)
