"""Streams of a fake server: without a length, broken off, or without an end."""

import asyncio
from typing import Any

from damaskrill.fakes.platform._misbehaviour import Misbehaviour
from damaskrill.http1 import CallerConnection, Headers

__all__ = ["UnframedStream", "break_off_stream", "send_without_end"]

ENDLESS_CHUNK = b"x" * 64_000
# Pause between two chunks, so that a test on one machine does not fill its memory.
ENDLESS_INTERVAL_MS = 5


class UnframedStream:
    """Stream with neither a length nor chunks, which ends with its connection.

    Parameters
    ----------
    connection : CallerConnection
        Connection of the request.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._transport: Any = connection.transport

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head."""
        lines = b"".join(b"%b: %b\r\n" % each for each in headers)
        self._transport.write(
            b"HTTP/1.1 %d OK\r\n%bConnection: close\r\n\r\n" % (status, lines)
        )

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
        case Misbehaviour.CUT:
            stream.abort()
        case _:
            return False
    return True


class _FlowControl:
    """Producer that waits while the peer does not read."""

    def __init__(self) -> None:
        self.may_write = asyncio.Event()
        self.may_write.set()

    def pauseProducing(self) -> None:
        """Wait until the peer reads again."""
        self.may_write.clear()

    def resumeProducing(self) -> None:
        """Go on."""
        self.may_write.set()

    def stopProducing(self) -> None:
        """Wait until the task is cancelled, as the connection is gone."""
        self.may_write.clear()


async def send_without_end(connection: CallerConnection, beginning: bytes) -> None:
    """Send bytes until the caller closes the connection.

    Parameters
    ----------
    connection : CallerConnection
        Connection of the request.
    beginning : bytes
        First bytes of the answer.
    """
    transport: Any = connection.transport
    flow = _FlowControl()
    transport.registerProducer(flow, True)
    transport.write(beginning)
    while True:
        await flow.may_write.wait()
        transport.write(ENDLESS_CHUNK)
        await asyncio.sleep(ENDLESS_INTERVAL_MS / 1_000)
