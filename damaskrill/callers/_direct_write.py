"""Write chunks of a streamed answer directly to the socket."""

from typing import Any

__all__ = ["write_chunk"]


def write_chunk(http_request: Any, data: bytes) -> None:
    """Write a chunk of an answer whose head has been sent.

    Parameters
    ----------
    http_request : twisted.web.server.Request
        The request.
    data : bytes
        The bytes.

    Notes
    -----
    The library's own write waits for the socket to become writable, which costs two
    changes of the poll set and an iteration of the event loop for each chunk. A
    streamed chunk is small and the socket is nearly always writable, so the chunk is
    written immediately; bytes that the socket does not accept are passed to the
    library.
    """
    transport: Any = getattr(http_request.channel, "transport", None)
    if not _can_write_directly(http_request, transport):
        http_request.write(data)
        return
    chunk = b"%x\r\n%b\r\n" % (len(data), data)
    n_sent = transport.writeSomeData(chunk)
    if not isinstance(n_sent, int):
        # The connection is lost; the library detects this in its own write.
        n_sent = 0
    if n_sent < len(chunk):
        transport.write(chunk[n_sent:])


def _can_write_directly(http_request: Any, transport: Any) -> bool:
    if not http_request.chunked or not http_request.startedWriting:
        return False
    if not hasattr(transport, "writeSomeData"):
        return False
    # The library's own buffer must be empty, or chunks would be sent out of order.
    has_queue = transport.dataBuffer or transport._tempDataBuffer
    return bool(transport.connected and not has_queue)
