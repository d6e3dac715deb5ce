"""Writing to a Twisted transport without waiting for the event loop."""

import fcntl
import struct
import termios
from typing import Any

from twisted.internet.main import CONNECTION_LOST

__all__ = [
    "count_unacknowledged_bytes",
    "count_unsent_bytes",
    "is_flushed",
    "write_now",
]

INT_FORMAT = "i"


def write_now(transport: Any, data: bytes) -> None:
    """Send data at once if nothing is buffered; buffer what the socket does not take.

    Parameters
    ----------
    transport : object
        Transport of a TCP connection of Twisted.
    data : bytes
        Data to send.

    Notes
    -----
    ``transport.write`` registers the socket for writing and sends in the next iteration
    of the event loop, which costs more than the events of a stream themselves.
    """
    if _is_idle(transport):
        n_sent = transport.writeSomeData(data)
        if n_sent is not CONNECTION_LOST and n_sent > 0:
            data = data[n_sent:]
    if data:
        # Also reports a lost connection in the usual way.
        transport.write(data)


def is_flushed(transport: Any) -> bool:
    """Return whether the socket has taken all data."""
    return not transport.dataBuffer and not transport._tempDataBuffer


def _is_idle(transport: Any) -> bool:
    return bool(
        transport.connected and not transport.disconnecting and is_flushed(transport)
    )


def count_unsent_bytes(transport: Any) -> int:
    """Return the number of bytes that the socket has not taken yet."""
    n_buffered = len(transport.dataBuffer) - transport.offset
    return n_buffered + transport._tempDataLen


def count_unacknowledged_bytes(transport: Any) -> int:
    """Return the number of bytes that the peer's host has not acknowledged yet.

    Parameters
    ----------
    transport : object
        Transport of a TCP connection of Twisted that has a socket.

    Returns
    -------
    int
        Bytes that the socket has not taken, and those that were sent and not
        acknowledged.
    """
    try:
        empty = bytes(struct.calcsize(INT_FORMAT))
        answer = fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, empty)
    except OSError:
        # Not every kind of socket keeps this count; what it has taken counts as sent.
        return count_unsent_bytes(transport)
    (n_sent,) = struct.unpack(INT_FORMAT, answer)
    return count_unsent_bytes(transport) + int(n_sent)
