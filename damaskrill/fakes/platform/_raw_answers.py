"""Answers of fake backend servers that are written byte by byte."""

import asyncio
import itertools
from typing import Any

from damaskrill.fakes.platform._misbehaviour import EndlessPart
from damaskrill.http1 import CallerConnection, Headers

__all__ = [
    "EVENT_STREAM",
    "build_endless_answer",
    "build_event",
    "build_head",
    "send_endless",
]

BLOCK_BYTES = 131_072
ENDLESS_PAUSE_MS = 1
SLOW_PAUSE_MS = 50
EVENT_STREAM = (b"Content-Type", b"text/event-stream")
CHUNKED = (b"Transfer-Encoding", b"chunked")


def build_event(number: int, author: bytes = b"") -> bytes:
    """Return the event of a stream with a number.

    Parameters
    ----------
    number : int
        Number of the event.
    author : bytes, default=b""
        ID of the server that writes it, which the data names; empty for none.
    """
    data = b"token-%d" % number + (b" " + author if author else b"")
    return b"id: %d\ndata: %b\n\n" % (number, data)


def build_endless_answer(part: EndlessPart, headers: Headers) -> tuple[bytes, bytes]:
    """Return the start of an answer and the bytes that are repeated after it.

    Numbered events are repeated with increasing numbers by `send_endless` only.

    Parameters
    ----------
    part : EndlessPart
        Part of the answer that never ends.
    headers : tuple
        Headers of the answer apart from those that frame its body.
    """
    plain = build_head(b"HTTP/1.1 200 OK", headers)
    chunked = build_head(b"HTTP/1.1 200 OK", (*headers, CHUNKED))
    text = b"x" * BLOCK_BYTES
    match part:
        case EndlessPart.JUNK:
            return b"", text
        case EndlessPart.SLOW_JUNK:
            return b"", b"x"
        case EndlessPart.STATUS_LINE:
            return b"HTTP/1.1 200 ", text
        case EndlessPart.HEADER_VALUE:
            return plain[:-2] + b"Server: ", text
        case EndlessPart.HEADERS:
            return plain[:-2], _repeat(b"X-More: 0123456789\r\n")
        case EndlessPart.INFORMATIONAL_HEADS:
            return b"", _repeat(b"HTTP/1.1 102 Processing\r\n\r\n")
        case EndlessPart.CHUNK_LINE:
            return chunked, b"0" * BLOCK_BYTES
        case EndlessPart.CHUNK_EXTENSIONS:
            return chunked, _repeat(b"1;name=%b\r\nx\r\n" % (b"y" * 1_000))
        case EndlessPart.TINY_CHUNKS:
            return chunked, _repeat(b"1\r\nx\r\n")
        case EndlessPart.TRAILERS:
            return chunked + b"1\r\nx\r\n0\r\n", _repeat(b"X-More: 0123456789\r\n")
        case EndlessPart.CHUNKED_BODY:
            return chunked, _chunk(text)
        case EndlessPart.UNFRAMED_BODY:
            return plain, text
        case EndlessPart.SIZED_BODY:
            length = (b"Content-Length", b"%d" % 10**15)
            return build_head(b"HTTP/1.1 200 OK", (*headers, length)), text
        case EndlessPart.UNSEALED_BODY:
            unsealed = tuple(each for each in headers if not _is_seal(each))
            return build_head(b"HTTP/1.1 200 OK", (*unsealed, CHUNKED)), _chunk(b"x")
        case EndlessPart.UNFRAMED_EVENT:
            head = build_head(b"HTTP/1.1 200 OK", (*headers, EVENT_STREAM))
            return head + b"id: 1\ndata: ", text
        case EndlessPart.EVENT | EndlessPart.TINY_EVENTS | EndlessPart.NUMBERED_EVENTS:
            head = build_head(b"HTTP/1.1 200 OK", (*headers, EVENT_STREAM, CHUNKED))
            block = text if part is EndlessPart.EVENT else _repeat(b":\n\n")
            return head + _chunk(build_event(1) + build_event(2)), _chunk(block)


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


async def send_endless(
    connection: CallerConnection, part: EndlessPart, headers: Headers
) -> None:
    """Send an answer that never ends, until the task is cancelled."""
    transport: Any = connection.transport
    first, block = build_endless_answer(part, headers)
    is_slow = part in (EndlessPart.SLOW_JUNK, EndlessPart.UNSEALED_BODY)
    pause_ms = SLOW_PAUSE_MS if is_slow else ENDLESS_PAUSE_MS
    flow = _FlowControl()
    transport.registerProducer(flow, True)
    transport.write(first)
    for number in itertools.count(3):
        if part is EndlessPart.NUMBERED_EVENTS:
            block = _chunk(b"id: %d\ndata: %b\n\n" % (number, b"x" * BLOCK_BYTES))
        await flow.may_write.wait()
        transport.write(block)
        await asyncio.sleep(pause_ms / 1_000)


def build_head(status_line: bytes, headers: Headers) -> bytes:
    """Return the head of an answer."""
    lines = b"".join(b"%b: %b\r\n" % each for each in headers)
    return b"%b\r\n%b\r\n" % (status_line, lines)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _repeat(data: bytes) -> bytes:
    return data * (BLOCK_BYTES // len(data))


def _is_seal(header: tuple[bytes, bytes]) -> bool:
    return header[0].lower() == b"damaskrill-response-seal"
