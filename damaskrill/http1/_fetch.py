"""Single HTTP call with a buffered answer, for the store and health checks."""

import asyncio
from typing import Any

from damaskrill.http1._errors import InvalidAnswerError
from damaskrill.http1._messages import (
    AnswerHead,
    AnswerSink,
    ExchangeFailure,
    OutgoingRequest,
)
from damaskrill.http1._server import ServerConnection, connect

__all__ = ["fetch"]

MAX_BODY_BYTES = 32_000_000


class _AnswerCollector(AnswerSink):
    def __init__(self, max_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[tuple[AnswerHead, bytes]] = loop.create_future()
        self._head: AnswerHead | None = None
        self._parts: list[bytes] = []
        self._n_bytes = 0
        self._max_bytes = max_bytes

    def handle_head(self, head: AnswerHead) -> None:
        self._head = head

    def handle_data(self, data: bytes) -> None:
        self._n_bytes += len(data)
        if self._n_bytes > self._max_bytes:
            raise InvalidAnswerError(reason=f"it exceeds {self._max_bytes} bytes")
        self._parts.append(data)

    def handle_end(self) -> None:
        if self.done.done():
            return
        if self._head is None:
            self.done.set_exception(OSError("the answer has no head"))
        else:
            self.done.set_result((self._head, b"".join(self._parts)))

    def handle_failure(self, failure: ExchangeFailure) -> None:
        if not self.done.done():
            self.done.set_exception(OSError(failure.reason))


async def fetch(
    reactor: Any,
    address: tuple[str, int],
    request: OutgoingRequest,
    *,
    timeout_ms: int,
    connection: ServerConnection | None = None,
    max_bytes: int = MAX_BODY_BYTES,
) -> tuple[AnswerHead, bytes, ServerConnection]:
    """Send a request and return the complete answer.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    address : tuple of (str, int)
        Address of the server.
    request : OutgoingRequest
        Request to send.
    timeout_ms : int
        Timeout of connection and answer together, in milliseconds.
    connection : ServerConnection, default=None
        Connection of an earlier call, reused if it is still open.
    max_bytes : int, default=32_000_000
        Longest body, in bytes.

    Returns
    -------
    head : AnswerHead
        Status and headers of the answer.
    body : bytes
        Complete body of the answer.
    connection : ServerConnection
        Connection to pass to the next call.

    Raises
    ------
    OSError
        If no complete answer was received in time.
    """
    active = connection
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            if active is None or not active.is_open:
                active = await connect(reactor, address, timeout_ms)
            sink = _AnswerCollector(max_bytes)
            active.start(request, sink)
            head, body = await sink.done
            return head, body, active
    except TimeoutError as error:
        if active is not None:
            active.abort()
        raise OSError(f"no answer within {timeout_ms} ms") from error
    except asyncio.CancelledError:
        if active is not None:
            active.abort()
        raise
