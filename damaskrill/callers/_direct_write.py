"""Writes a part of a streamed answer to the socket at once."""

from typing import Any

__all__ = ["write_chunk"]


def write_chunk(http_request: Any, data: bytes) -> None:
    """Write bytes of an answer whose head has been sent.

    Parameters
    ----------
    http_request : twisted.web.server.Request
        The request.
    data : bytes
        The bytes.

    Notes
    -----
    The library's own write waits for the socket to become writable, which costs two
    changes of the poll set and a turn of the event loop for each part. A streamed
    part is small and the socket is nearly always free, so it is tried at once; what
    the socket does not take goes the library's way.
    """
    transport: Any = getattr(http_request.channel, "transport", None)
    if not _can_write_directly(http_request, transport):
        http_request.write(data)
        return
    chunk = b"%x\r\n%b\r\n" % (len(data), data)
    n_sent = transport.writeSomeData(chunk)
    if not isinstance(n_sent, int):
        # The connection is lost; the library notices at its own write.
        n_sent = 0
    if n_sent < len(chunk):
        transport.write(chunk[n_sent:])


def _can_write_directly(http_request: Any, transport: Any) -> bool:
    if not http_request.chunked or not http_request.startedWriting:
        return False
    if not hasattr(transport, "writeSomeData"):
        return False
    # The library's own queue must be empty, or parts would overtake each other.
    has_queue = transport.dataBuffer or transport._tempDataBuffer
    return bool(transport.connected and not has_queue)
