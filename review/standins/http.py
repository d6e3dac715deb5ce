"""HTTP/1.1 over asyncio streams, parsed by h11."""

import asyncio
import socket

import h11

__all__ = [
    "Request",
    "call",
    "close",
    "find_port",
    "read_request",
    "send_head",
    "send_whole",
]

READ_BYTES = 65_536


def find_port(host):
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Request:
    """A request as it was received."""

    def __init__(self, event, body):
        self.method = event.method.decode()
        self.target = event.target.decode()
        self.headers = {name.decode(): value.decode() for name, value in event.headers}
        self.body = body


async def next_event(http, reader):
    """Return the next event that is not NEED_DATA."""
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(await reader.read(READ_BYTES))
    return event


async def read_request(http, reader):
    """Return the next request of a connection; None at its end."""
    event = await next_event(http, reader)
    if not isinstance(event, h11.Request):
        return None
    body = b""
    while isinstance(part := await next_event(http, reader), h11.Data):
        body += bytes(part.data)
    return Request(event, body)


def send_head(http, writer, status, headers):
    """Send status and headers of an answer."""
    writer.write(http.send(h11.Response(status_code=status, headers=headers)))


def send_whole(http, writer, status, headers, body=b""):
    """Send an answer with a length."""
    framing = [("Content-Length", str(len(body)))]
    send_head(http, writer, status, [*headers, *framing])
    writer.write(http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage()))


def close(writer):
    """Close a connection without waiting for its end."""
    if writer.transport is not None:
        writer.transport.abort()


async def call(address, method, target, headers, *, body=b"", limit_s, on_data=None):
    """Send a request on a new connection.

    Returns
    -------
    dict
        ``status``, ``headers``, ``body`` and ``is_complete``, or ``error``.
    """
    writer, answer = None, {"status": 0, "headers": {}, "body": b""}
    answer["is_complete"] = False
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            http = h11.Connection(h11.CLIENT)
            framing = [("Content-Length", str(len(body)))] if method == "POST" else []
            request = h11.Request(
                method=method, target=target, headers=[*headers, *framing]
            )
            data = http.send(request)
            data += http.send(h11.Data(data=body)) if body else b""
            writer.write(data + http.send(h11.EndOfMessage()))
            while not isinstance(event := await next_event(http, reader), h11.Response):
                if not isinstance(event, h11.InformationalResponse):
                    raise ConnectionError("closed before an answer")
            answer["status"] = event.status_code
            answer["headers"] = {
                name.decode(): value.decode() for name, value in event.headers
            }
            while isinstance(event := await next_event(http, reader), h11.Data):
                answer["body"] += bytes(event.data)
                if on_data is not None:
                    on_data(bytes(event.data))
            answer["is_complete"] = isinstance(event, h11.EndOfMessage)
    except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
        answer["error"] = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            close(writer)
    return answer
