"""Requests at which servers crash, and the check of their number."""

import asyncio
from collections.abc import Sequence
from random import Random

from attrs import frozen

from damaskrill.soak._callers import Exchange, send_request_once
from damaskrill.soak._checks import ServerRecord, Violation
from damaskrill.soak._disruptions import Disruptions

__all__ = [
    "FATAL_PATH",
    "FatalInput",
    "FatalPart",
    "FatalRequest",
    "check_fatal_requests",
    "send_fatal_requests",
]

MEAN_INTERVAL_S = 0.15
STREAM_PATHS = ("/chat/1", "/check/1")
PLAIN_PATHS = ("/issue/1", "/read/1")
BLOCKED = b"crashing_"
FATAL_PATH = "/read/fatal"
STATUS_OK = 200
# Time after the last of them from which servers must get no more than a few requests
# with the part, and from which sound requests must be served again, in seconds.
MAX_RECOGNITION_S = 4.0
MAX_RECOVERY_S = 6.0
MAX_LATE_REQUESTS = 3
# Numbers below which fractions say nothing.
MIN_COMPARED = 20
MIN_SOUND_FRACTION = 0.5


@frozen(kw_only=True)
class FatalPart:
    """Prompt part at which servers crash; its requests all differ.

    Parameters
    ----------
    part_id : str
        ID of the part.
    """

    part_id: str


@frozen(kw_only=True)
class FatalRequest:
    """Request at which servers crash, and which comes again with other IDs."""


FatalInput = FatalPart | FatalRequest


async def send_fatal_requests(
    addresses: list[tuple[str, int]],
    *,
    fatal: FatalInput,
    keys: list[str],
    exchanges: list[Exchange],
    name: str,
    random: Random,
) -> None:
    """Send fatal requests to any router until cancelled.

    Parameters
    ----------
    addresses : list of (str, int)
        Addresses of the routers for callers.
    fatal : FatalInput
        What the servers crash at.
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
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            router = random.randrange(len(addresses))
            exchange = Exchange(
                request_id=f"{name}-{number}",
                path=_choose_path(fatal, random),
                key=random.choice(keys),
                router=router,
                prompt=_build_prompt(fatal, number, random),
                is_fatal=True,
            )
            exchanges.append(exchange)
            group.create_task(send_request_once(addresses[router], exchange))
            await asyncio.sleep(random.expovariate(1 / MEAN_INTERVAL_S))


def _choose_path(fatal: FatalInput, random: Random) -> str:
    match fatal:
        case FatalPart():
            return random.choice(STREAM_PATHS)
        case FatalRequest():
            return FATAL_PATH


def _build_prompt(fatal: FatalInput, number: int, random: Random) -> str:
    match fatal:
        case FatalPart(part_id=part):
            other = f"part-{random.randrange(20)}"
            return f"base:10,{other}:10,{part}:30,own-{number}:5"
        case FatalRequest():
            return ""


def _n_crashes_until_known(fatal: FatalInput) -> int:
    match fatal:
        case FatalPart():
            return 5
        case FatalRequest():
            return 3


def check_fatal_requests(
    fatal_input: FatalInput,
    exchanges: Sequence[Exchange],
    servers: Sequence[ServerRecord],
    crashes: Sequence[float],
    disruptions: Disruptions,
) -> list[Violation]:
    """Return whether servers got too many fatal requests, and sound ones too few.

    Parameters
    ----------
    fatal_input : FatalInput
        What the servers crashed at.
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        Records of all servers.
    crashes : sequence of float
        Times at which it crashed a server, on the monotonic clock in seconds.
    disruptions : Disruptions
        Times of faults; requests at a router that was killed or paused do not count.

    Returns
    -------
    list of Violation
        ``fatal_request`` if too many fatal requests reached servers after enough
        crashes. ``sound_requests``, beside a fatal part, if less than half as many
        sound ones were then served as before the first crash; beside a fatal request,
        if a sound one was rejected as if servers crashed under it.
    """
    n_crashes = _n_crashes_until_known(fatal_input)
    if len(crashes) < n_crashes:
        return []
    known_at = sorted(crashes)[n_crashes - 1]
    recognized_at = known_at + MAX_RECOGNITION_S
    fatal = {each.request_id: each for each in exchanges if each.is_fatal}
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
        violations.append(
            Violation(promise="fatal_request", request_id="", detail=detail)
        )
    last_at = max((each.sent_at for each in fatal.values()), default=0.0)
    period = (known_at + MAX_RECOVERY_S, last_at)
    match fatal_input:
        case FatalPart():
            sound = _select_sound(exchanges, STREAM_PATHS)
            before = [each for each in sound if each.ended_at < min(crashes)]
            violations += _check_served(before, sound, period, disruptions)
        case FatalRequest():
            sound = _select_sound(exchanges, PLAIN_PATHS)
            violations += _check_blocked(sound, period)
    return violations


def _select_sound(
    exchanges: Sequence[Exchange], paths: tuple[str, ...]
) -> list[Exchange]:
    return [
        each
        for each in exchanges
        if each.path in paths and not each.is_fatal and each.ended_at
    ]


def _check_blocked(
    sound: Sequence[Exchange], period: tuple[float, float]
) -> list[Violation]:
    begin, end = period
    return [
        Violation(
            promise="sound_requests",
            request_id=each.request_id,
            detail=f"{each.path}: {each.body.decode(errors='replace')[:80]}",
        )
        for each in sound
        if begin < each.sent_at < end and each.body.startswith(BLOCKED)
    ]


def _check_served(
    before: Sequence[Exchange],
    sound: Sequence[Exchange],
    period: tuple[float, float],
    disruptions: Disruptions,
) -> list[Violation]:
    begin, end = period
    after = [each for each in sound if begin < each.sent_at < end]
    before, after = (
        [
            each
            for each in group
            if not disruptions.hit_router(each.router, each.sent_at, each.ended_at)
        ]
        for group in (before, after)
    )
    if min(len(before), len(after)) < MIN_COMPARED:
        return []
    if _served(after) >= MIN_SOUND_FRACTION * _served(before):
        return []
    detail = f"{_served(after):.2f} of {len(after)}, before {_served(before):.2f}"
    return [Violation(promise="sound_requests", request_id="", detail=detail)]


def _served(exchanges: Sequence[Exchange]) -> float:
    n_served = sum(each.status == STATUS_OK for each in exchanges)
    return n_served / len(exchanges)
