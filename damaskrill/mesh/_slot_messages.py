"""Messages between a router that needs slots and the scheduler of a service."""

import math
from typing import Any

from attrs import frozen

from damaskrill.scheduling import (
    ReleaseOutcome,
    SlotAssignment,
    SlotQueued,
    SlotRefusal,
    SlotRefusalReason,
    SlotRelease,
    SlotRequest,
)
from damaskrill.steering import ServerLoad

__all__ = [
    "MAX_BATCH",
    "MAX_HELD",
    "SlotBatch",
    "SlotMessage",
    "SlotsHeld",
    "decode_slots",
    "encode_slots",
]

# Messages of a frame. With names of usual length they stay below a kilobyte or two.
MAX_BATCH = 50
# Longest names that the operators' configuration can bring.
MAX_NAME = 1_024
# More servers than a service with few slots has.
MAX_EXCLUDED = 256
# Slots that one router holds of a service at most when it tells them all.
MAX_HELD = 1_024
MAX_NUMBER = 2**53
# Highest kind of a message that this build knows.
MAX_KIND = 5
MAX_HASH = 0xFFFF_FFFF
# Priorities of the configuration are small numbers; 0 is the highest.
MAX_PRIORITY = 1_000_000
# A day, in milliseconds: longer than any request lasts.
MAX_TIME_MS = 86_400_000.0
MAX_COUNT = 0xFFFF_FFFF
REASONS = tuple(SlotRefusalReason)
OUTCOMES = tuple(ReleaseOutcome)


@frozen(kw_only=True)
class SlotsHeld:
    """All slots of a service that a router holds, so that lost releases come to light.

    Parameters
    ----------
    numbers : frozenset of int
        Numbers of the requests that hold them.
    """

    numbers: frozenset[int]


SlotMessage = (
    SlotRequest | SlotQueued | SlotAssignment | SlotRefusal | SlotRelease | SlotsHeld
)


@frozen(kw_only=True)
class SlotBatch:
    """Messages about slots of one service, sent to one router at the same time.

    Parameters
    ----------
    service : str
        The service.
    messages : tuple of SlotMessage
        The messages, in order. The router that asks is the sender of a request and of
        a release, and the receiver of the others, so that it is not part of a frame.
    """

    service: str
    messages: tuple[SlotMessage, ...]


def encode_slots(batch: SlotBatch) -> list[Any]:
    """Return the array that stands for a batch."""
    return ["k", batch.service, [_encode(each) for each in batch.messages]]


def decode_slots(service: str, items: list[Any]) -> SlotBatch:
    """Return the batch that an array stands for.

    Raises
    ------
    ValueError
        If a message or a value in it is not valid.
    """
    if len(service) > MAX_NAME or len(items) > MAX_BATCH:
        raise ValueError("batch of slot messages is too long")
    # A later build may add kinds of messages.
    decoded = (_decode(service, each) for each in items)
    return SlotBatch(
        service=service, messages=tuple(each for each in decoded if each is not None)
    )


def _encode(message: SlotMessage) -> list[Any]:
    match message:
        case SlotRequest():
            return [
                0,
                message.number,
                message.team,
                message.priority,
                round(message.target_left_ms),
                max(0, round(message.limit_left_ms)),
                sorted(message.excluded),
            ]
        case SlotQueued():
            predicted_ms = round(message.predicted_ms)
            return [1, message.number, predicted_ms, message.n_ahead]
        case SlotAssignment():
            return [
                2,
                message.number,
                message.server,
                round(message.predicted_ms),
                round(message.waited_ms),
                message.n_ahead,
            ]
        case SlotRefusal():
            return [
                3,
                message.number,
                REASONS.index(message.reason),
                round(message.predicted_ms),
                round(message.retry_after_ms),
                message.n_ahead,
            ]
        case SlotRelease():
            return [
                4,
                message.number,
                OUTCOMES.index(message.outcome),
                round(message.duration_ms),
                _encode_load(message.load),
            ]
        case SlotsHeld():
            return [5, sorted(message.numbers)]


def _encode_load(load: ServerLoad | None) -> list[Any] | None:
    if load is None:
        return None
    percent = None if load.slowness is None else round(100 * load.slowness)
    counts = (load.n_running, load.n_waiting, load.n_slots)
    return [*(min(each, MAX_COUNT) for each in counts), percent]


def _decode(service: str, fields: Any) -> SlotMessage | None:
    match fields:
        case [
            0,
            int(number),
            str(team),
            int(priority),
            int() | float() as target_left_ms,
            int() | float() as limit_left_ms,
            list(excluded),
            *_,
        ]:
            if len(team) > MAX_NAME or len(excluded) > MAX_EXCLUDED:
                raise ValueError("name or list of servers in a request is too long")
            return SlotRequest(
                router="",
                number=_to_count(number, MAX_NUMBER),
                service=service,
                team=team,
                priority=_to_count(priority, MAX_PRIORITY),
                target_left_ms=_to_time(target_left_ms, minimum=-MAX_TIME_MS),
                limit_left_ms=_to_time(limit_left_ms),
                excluded=frozenset(_to_count(each, MAX_HASH) for each in excluded),
            )
        case [1, int(number), int() | float() as predicted_ms, int(n_ahead), *_]:
            return SlotQueued(
                router="",
                number=_to_count(number, MAX_NUMBER),
                predicted_ms=_to_time(predicted_ms),
                n_ahead=_to_count(n_ahead, MAX_COUNT),
            )
        case [
            2,
            int(number),
            int(server),
            int() | float() as predicted_ms,
            int() | float() as waited_ms,
            int(n_ahead),
            *_,
        ]:
            return SlotAssignment(
                router="",
                number=_to_count(number, MAX_NUMBER),
                server=_to_count(server, MAX_HASH),
                predicted_ms=_to_time(predicted_ms),
                waited_ms=_to_time(waited_ms),
                n_ahead=_to_count(n_ahead, MAX_COUNT),
            )
        case [
            3,
            int(number),
            int(reason),
            int() | float() as predicted_ms,
            int() | float() as retry_after_ms,
            int(n_ahead),
            *_,
        ]:
            return SlotRefusal(
                router="",
                number=_to_count(number, MAX_NUMBER),
                reason=REASONS[_to_count(reason, len(REASONS) - 1)],
                predicted_ms=_to_time(predicted_ms),
                retry_after_ms=_to_time(retry_after_ms),
                n_ahead=_to_count(n_ahead, MAX_COUNT),
            )
        case [4, int(number), int(outcome), int() | float() as duration_ms, load, *_]:
            return SlotRelease(
                router="",
                number=_to_count(number, MAX_NUMBER),
                outcome=OUTCOMES[_to_count(outcome, len(OUTCOMES) - 1)],
                duration_ms=_to_time(duration_ms),
                load=_decode_load(load),
            )
        case [5, list(numbers), *_]:
            if len(numbers) > MAX_HELD:
                raise ValueError("list of slots is too long")
            return SlotsHeld(
                numbers=frozenset(_to_count(each, MAX_NUMBER) for each in numbers)
            )
        case [int(kind), *_] if kind > MAX_KIND and not isinstance(kind, bool):
            return None
        case _:
            raise ValueError("unknown type or layout of slot message")


def _decode_load(fields: Any) -> ServerLoad | None:
    match fields:
        case None:
            return None
        case [
            int(n_running),
            int(n_waiting),
            int(n_slots),
            int() | None as percent,
            *_,
        ]:
            counts = (n_running, n_waiting, n_slots)
            n_running, n_waiting, n_slots = (_to_count(e, MAX_COUNT) for e in counts)
            slowness = percent and _to_count(percent, MAX_COUNT) / 100
            return ServerLoad(
                n_running=n_running,
                n_waiting=n_waiting,
                n_slots=n_slots,
                slowness=slowness or None,
            )
        case _:
            raise ValueError("invalid load in a slot release")


def _to_count(value: Any, most: int) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError("number in a slot message is out of range")
    return value


def _to_time(value: float, *, minimum: float = 0.0) -> float:
    is_number = type(value) in (int, float) and math.isfinite(value)
    if not is_number or not minimum <= value <= MAX_TIME_MS:
        raise ValueError("time in a slot message is out of range")
    return float(value)
