"""Messages from one router to another one, encoded as CBOR arrays."""

import struct
from typing import Any, TypeVar

from attrs import frozen

from damaskrill.mesh._slot_messages import SlotBatch, decode_slots, encode_slots

__all__ = [
    "Message",
    "StreamNotice",
    "StreamQuery",
    "StreamRecords",
    "StreamReply",
    "decode_message",
    "encode_message",
]

T = TypeVar("T")

# Hash of the attempt, origin and age of a stream.
RECORD_LAYOUT = struct.Struct("<QII")


@frozen(kw_only=True)
class StreamNotice:
    """Notice that a stream has begun.

    Parameters
    ----------
    stream : int
        Hash of the attempt that began it.
    origin : int
        Origin of the stream.
    """

    stream: int
    origin: int


@frozen(kw_only=True)
class StreamRecords:
    """Records of streams for a router that may not have been told of them.

    Parameters
    ----------
    records : tuple of (int, int, int)
        Hash of the attempt that began the stream, its origin, and the age of the record
        in milliseconds.
    """

    records: tuple[tuple[int, int, int], ...]


@frozen(kw_only=True)
class StreamQuery:
    """Query for the origin of a stream.

    Parameters
    ----------
    number : int
        Number of the query at its sender.
    stream : int
        Hash of the attempt that began the stream.
    service : str
        Service of the route that resumes it.
    stream_id : str
        Attempt that began the stream. Routers of earlier builds do not send it.
    """

    number: int
    stream: int
    service: str
    stream_id: str = ""


@frozen(kw_only=True)
class StreamReply:
    """Reply to a query.

    Parameters
    ----------
    number : int
        Number of the query.
    origin : int or None
        Origin of the stream; None if it is not known.
    is_recorded : bool
        Whether the sender was told of the stream when it began.
    observed_ms : int
        Time for which the sender has known the servers, in milliseconds.
    is_sole : bool or None
        Whether only the version of the origin has served, so that no record is needed;
        None from routers of earlier builds.
    """

    number: int
    origin: int | None
    is_recorded: bool
    observed_ms: int
    is_sole: bool | None = None


Message = StreamNotice | StreamQuery | StreamReply | StreamRecords | SlotBatch


def encode_message(message: Message) -> list[Any]:
    """Return the array that stands for a message."""
    match message:
        case StreamNotice():
            return ["s", message.stream, message.origin]
        case StreamRecords():
            return [
                "b",
                b"".join(RECORD_LAYOUT.pack(*each) for each in message.records),
            ]
        case StreamQuery():
            fields = [message.number, message.stream, message.service]
            return ["q", *fields, message.stream_id]
        case StreamReply():
            fields = [message.number, message.origin]
            fields += [message.is_recorded, message.observed_ms]
            return ["a", *fields, message.is_sole]
        case SlotBatch():
            return encode_slots(message)


def decode_message(content: Any) -> Message:
    """Return the message that an array stands for.

    Raises
    ------
    ValueError
        If the array is not a valid message.
    """
    match content:
        case ["s", int(stream), int(origin), *_]:
            return StreamNotice(stream=stream, origin=origin)
        case ["b", bytes(packed), *_]:
            return StreamRecords(records=_unpack_records(packed))
        case ["q", int(number), int(stream), str(service), *later]:
            return StreamQuery(
                number=number,
                stream=stream,
                service=service,
                stream_id=_read_optional(later, str) or "",
            )
        case [
            "a",
            int(number),
            int() | None as origin,
            bool(is_recorded),
            int(observed_ms),
            *later,
        ]:
            return StreamReply(
                number=number,
                origin=origin,
                is_recorded=is_recorded,
                observed_ms=observed_ms,
                is_sole=_read_optional(later, bool),
            )
        case ["k", str(service), list(items), *_]:
            return decode_slots(service, items)
        case _:
            raise ValueError("unknown type or layout of frame")


def _read_optional(later: list[Any], kind: type[T]) -> T | None:
    """Return the first of the fields that earlier builds do not send."""
    return later[0] if later and isinstance(later[0], kind) else None


def _unpack_records(packed: bytes) -> tuple[tuple[int, int, int], ...]:
    if len(packed) % RECORD_LAYOUT.size:
        raise ValueError("length of packed records is not a multiple of their size")
    return tuple(RECORD_LAYOUT.iter_unpack(packed))
