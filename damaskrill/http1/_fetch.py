"""One small call with a whole answer, as to the store or a health check."""

import asyncio
from typing import Any

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
    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[tuple[AnswerHead, bytes]] = loop.create_future()
        self._head: AnswerHead | None = None
        self._parts: list[bytes] = []
        self._n_bytes = 0

    def handle_head(self, head: AnswerHead) -> None:
        self._head = head

    def handle_data(self, data: bytes) -> None:
        self._n_bytes += len(data)
        if self._n_bytes <= MAX_BODY_BYTES:
            self._parts.append(data)

    def handle_end(self) -> None:
        if self.done.done():
            return
        if self._head is None or self._n_bytes > MAX_BODY_BYTES:
            self.done.set_exception(OSError("the answer is too large"))
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
) -> tuple[AnswerHead, bytes, ServerConnection]:
    """Make a call.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    address : tuple of (str, int)
        Where to connect.
    request : OutgoingRequest
        The request.
    timeout_ms : int
        Time for connection and answer, in milliseconds.
    connection : ServerConnection, default=None
        Connection of an earlier call, used if it is still open.

    Returns
    -------
    head, body, connection
        The answer, and the connection for the next call.

    Raises
    ------
    OSError
        If no whole answer came in time.
    """
    used = connection
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            if used is None or not used.is_open:
                used = await connect(reactor, address, timeout_ms)
            sink = _AnswerCollector()
            used.start(request, sink)
            head, body = await sink.done
            return head, body, used
    except TimeoutError as error:
        if used is not None:
            used.abort()
        raise OSError(f"no answer within {timeout_ms} ms") from error
    except asyncio.CancelledError:
        if used is not None:
            used.abort()
        raise
