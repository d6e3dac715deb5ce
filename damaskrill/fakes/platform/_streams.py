"""Answers of a fake server that have no length or break off."""

import asyncio
from typing import Any

from damaskrill.fakes.platform._misbehaviour import Misbehaviour, UnframedHead
from damaskrill.fakes.platform._raw_answers import build_head
from damaskrill.http1 import CallerConnection, Headers

__all__ = ["UnframedStream", "break_off_stream", "send_unframed"]

# Time between the last bytes and a reset, so that the bytes arrive.
RESET_DELAY_MS = 30
# Bytes of a body that is reset early.
EARLY_RESET_BYTES = 4


class UnframedStream:
    """Stream with neither a length nor chunks, which ends with its connection.

    Parameters
    ----------
    connection : CallerConnection
        Connection of the request.
    head : UnframedHead
        Form of the head.
    """

    def __init__(self, connection: CallerConnection, head: UnframedHead) -> None:
        self._connection = connection
        self._head = head
        self._transport: Any = connection.transport

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head."""
        version = b"HTTP/1.0" if self._head is UnframedHead.HTTP_10 else b"HTTP/1.1"
        if self._head is UnframedHead.CLOSE:
            headers = (*headers, (b"Connection", b"close"))
        self._transport.write(build_head(b"%b %d OK" % (version, status), headers))

    def send_chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        self._transport.write(data)

    def end_stream(self) -> None:
        """Close the connection without a reset."""
        self._connection.on_disconnect = None
        self._transport.loseConnection()

    def abort(self) -> None:
        """Reset the connection."""
        self._connection.abort()


async def break_off_stream(
    stream: CallerConnection | UnframedStream, event: bytes, misbehaviour: Misbehaviour
) -> bool:
    """End a stream as a misbehaviour demands.

    Parameters
    ----------
    stream : CallerConnection or UnframedStream
        The stream.
    event : bytes
        Its next event.
    misbehaviour : Misbehaviour
        Misbehaviour of the server.

    Returns
    -------
    bool
        Whether the stream has ended.
    """
    match misbehaviour:
        case Misbehaviour.MID_EVENT:
            stream.send_chunk(event[:9])
            await asyncio.sleep(0.02)
            stream.abort()
        case Misbehaviour.NO_LENGTH_MID_EVENT:
            stream.send_chunk(event[:9])
            stream.end_stream()
        case Misbehaviour.DRIP:
            # Bytes arrive until the connection is closed, but the event never ends.
            stream.send_chunk(event[:1])
            while True:
                await asyncio.sleep(0.1)
                stream.send_chunk(b"x")
        case Misbehaviour.NO_LENGTH_LATE_RESET:
            await asyncio.sleep(RESET_DELAY_MS / 1_000)
            stream.abort()
        case Misbehaviour.CUT:
            stream.abort()
        case _:
            return False
    return True


async def send_unframed(
    stream: UnframedStream,
    headers: Headers,
    parts: tuple[bytes, ...],
    *,
    misbehaviour: Misbehaviour,
    pause_ms: float,
) -> None:
    """Send a whole answer, and end its connection as a misbehaviour demands.

    Parameters
    ----------
    stream : UnframedStream
        Answer to send.
    headers : tuple
        Headers of the answer.
    parts : tuple of bytes
        Body, in the parts in which it is sent.
    misbehaviour : Misbehaviour
        Misbehaviour of the server.
    pause_ms : float
        Time before each part, in milliseconds; if 0, all parts are sent at once.
    """
    is_early = misbehaviour is Misbehaviour.NO_LENGTH_RESET
    if is_early:
        parts = (b"".join(parts)[:EARLY_RESET_BYTES],)
    stream.begin_stream(200, headers)
    for part in parts:
        if pause_ms:
            await asyncio.sleep(pause_ms / 1_000)
        stream.send_chunk(part)
    if is_early or misbehaviour is Misbehaviour.NO_LENGTH_LATE_RESET:
        await asyncio.sleep(RESET_DELAY_MS / 1_000)
        stream.abort()
    else:
        stream.end_stream()
