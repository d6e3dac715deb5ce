"""Messages from one router to another one, encoded as CBOR arrays."""

from typing import Any

from attrs import frozen

__all__ = [
    "Message",
    "StreamNotice",
    "StreamQuery",
    "StreamReply",
    "decode_message",
    "encode_message",
]


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
    """

    number: int
    stream: int
    service: str


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
    """

    number: int
    origin: int | None
    is_recorded: bool
    observed_ms: int


Message = StreamNotice | StreamQuery | StreamReply


def encode_message(message: Message) -> list[Any]:
    """Return the array that stands for a message."""
    match message:
        case StreamNotice():
            return ["s", message.stream, message.origin]
        case StreamQuery():
            return ["q", message.number, message.stream, message.service]
        case StreamReply():
            fields = [message.number, message.origin]
            return ["a", *fields, message.is_recorded, message.observed_ms]


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
        case ["q", int(number), int(stream), str(service), *_]:
            return StreamQuery(number=number, stream=stream, service=service)
        case [
            "a",
            int(number),
            int() | None as origin,
            bool(is_recorded),
            int(observed_ms),
            *_,
        ]:
            return StreamReply(
                number=number,
                origin=origin,
                is_recorded=is_recorded,
                observed_ms=observed_ms,
            )
        case _:
            raise ValueError("unknown type or layout of frame")
