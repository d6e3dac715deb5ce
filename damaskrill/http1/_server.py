"""HTTP/1.1 client connection with one exchange at a time."""

import asyncio
import socket
import time
from collections import deque
from typing import Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from damaskrill.http1._answer_bounds import (
    MAX_ANSWER_HEAD_BYTES,
    AnswerBounds,
    check_head_start,
    check_status,
)
from damaskrill.http1._errors import InvalidAnswerError
from damaskrill.http1._messages import (
    AnswerHead,
    AnswerSink,
    ExchangeFailure,
    FailureKind,
    OutgoingRequest,
)
from damaskrill.http1._transport import count_unacknowledged_bytes, write_now

__all__ = ["ServerConnection", "connect"]

# Time that sent bytes may stay unacknowledged, to detect an unresponsive path. It is
# long enough for several retransmissions of a lost packet.
USER_TIMEOUT_MS = 1_000
# The same for a request larger than what the server's host takes while the server reads
# nothing: a sound server may be silent for a second or two.
LARGE_REQUEST_BYTES = 65_536
LARGE_USER_TIMEOUT_MS = 3_000
# Fraction of that time after which the loss of a connection counts as a timeout.
SILENT_TIMEOUT_FRACTION = 0.9
# Assumed idle timeout of servers that do not send one.
DEFAULT_IDLE_TIMEOUT_MS = 4_000
# Margin for a request to reach the server before it closes the idle connection.
IDLE_MARGIN_MS = 1_000
# Digits of the longest idle timeout that is read; a longer number states nothing.
MAX_TIMEOUT_DIGITS = 9
# Requests whose IDs a connection remembers: a late copy comes soon after its answer.
MAX_REQUEST_IDS = 64


@implementer(IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """Connection to a server.

    Notes
    -----
    The end of the connection is the end of an answer without a length only if the
    server's host had taken the whole request: a server may answer an upload at once,
    and give up in its middle.

    Bytes that belong to no request make the connection unusable: a second answer,
    bytes after the end of an answer, and bytes outside an exchange.

    A late copy of an answer comes where the next answer is due, and is known by the ID
    of its request. A connection that has carried an answer without an ID cannot tell a
    copy of it from the next answer (`record_unnamed`).
    """

    def __init__(self) -> None:
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )
        self._sink: AnswerSink | None = None
        self._bounds = AnswerBounds()
        self._n_exchanges = 0
        self._request_ids: deque[str] = deque(maxlen=MAX_REQUEST_IDS)
        self._has_unnamed_refusal = False
        self._is_last = False
        self._has_answer = False
        self._is_open = False
        self._n_untaken = 0
        self._started_at = 0.0
        self._user_timeout_ms = 0
        self._idle_limit_ms = DEFAULT_IDLE_TIMEOUT_MS
        self.opened_at_ms = 0.0
        self.idle_since_ms = 0.0
        self.on_idle: Any = None

    @property
    def is_open(self) -> bool:
        """Whether another exchange can be started."""
        return self._is_open and self._sink is None

    @property
    def idle_limit_ms(self) -> int:
        """Longest idle time after which the connection is reused, in milliseconds."""
        return self._idle_limit_ms

    @property
    def was_used(self) -> bool:
        """Whether it has completed an exchange before."""
        return self._n_exchanges > 0

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with an ID has been sent on this connection."""
        return request_id in self._request_ids

    @property
    def is_last(self) -> bool:
        """Whether the present exchange is the last one that it may carry."""
        return self._is_last

    @property
    def has_unnamed_refusal(self) -> bool:
        """Whether a copy of a refusal could be taken for that of the next request."""
        return self._has_unnamed_refusal

    def record_unnamed(self, *, is_refusal: bool) -> None:
        """Record that the answer of the present exchange has no ID.

        Parameters
        ----------
        is_refusal : bool
            Whether a request that may be repeated cannot take a copy of it for more
            than a refusal. Otherwise the connection carries no further request.
        """
        if is_refusal:
            self._has_unnamed_refusal = True
        else:
            self._is_last = True

    def connectionMade(self) -> None:
        """Set the socket's options."""
        self._is_open = True
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self._set_user_timeout(USER_TIMEOUT_MS)

    def start(
        self, request: OutgoingRequest, sink: AnswerSink, *, request_id: str = ""
    ) -> None:
        """Send a request and pass its answer to a sink.

        Parameters
        ----------
        request : OutgoingRequest
            The request.
        sink : AnswerSink
            Receiver of the answer.
        request_id : str, default=""
            ID by which the answer is known; empty if it has none.
        """
        self._sink = sink
        if request_id:
            self._request_ids.append(request_id)
        else:
            # A copy of its answer, which may be a refusal, has none either.
            self._has_unnamed_refusal = True
        self._bounds = AnswerBounds()
        self._has_answer = False
        self._started_at = time.monotonic()
        is_large = len(request.body) > LARGE_REQUEST_BYTES
        self._set_user_timeout(LARGE_USER_TIMEOUT_MS if is_large else USER_TIMEOUT_MS)
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._write(b"".join(part for part in parts if part))

    def _set_user_timeout(self, timeout_ms: int) -> None:
        if timeout_ms != self._user_timeout_ms:
            self._user_timeout_ms = timeout_ms
            transport: Any = self.transport
            transport.getHandle().setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )

    def abort(self) -> None:
        """Abort the connection, so that the server stops its work."""
        self._sink = None
        self._is_open = False
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection."""
        self._is_open = False
        transport: Any = self.transport
        transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._sink is None:
            self.abort()
            return
        self._has_answer = True
        self._bounds.add_received(len(data))
        self._http.receive_data(data)
        self._process_events()

    def readConnectionLost(self) -> None:
        """Close the connection that the server has ended in order."""
        transport: Any = self.transport
        # The socket can't be asked any more when the connection is lost.
        self._n_untaken = count_unacknowledged_bytes(transport)
        transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Do nothing; this side is never closed alone."""

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        """End an answer without a length, or report the failure."""
        self._is_open = False
        is_clean = bool(reason.check(ConnectionDone))
        if self._n_untaken:
            reason_text = f"it ended with {self._n_untaken} bytes of the request to go"
            self._fail(FailureKind.CLOSED, reason_text)
        if self._sink is not None and is_clean:
            self._http.receive_data(b"")
            self._process_events()
        if self._sink is not None:
            self._fail(self._classify_loss(is_clean), reason.getErrorMessage())

    def _classify_loss(self, is_clean: bool) -> FailureKind:
        if is_clean:
            return FailureKind.CLOSED
        # The library does not distinguish a timeout from a reset.
        waited_ms = (time.monotonic() - self._started_at) * 1_000
        if (
            not self._has_answer
            and waited_ms >= self._user_timeout_ms * SILENT_TIMEOUT_FRACTION
        ):
            return FailureKind.SILENT
        return FailureKind.RESET

    def _write(self, data: bytes) -> None:
        write_now(self.transport, data)

    def _process_events(self) -> None:
        try:
            while self._sink is not None:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    self._check_bounds()
                    return
                self._handle_event(event)
        except InvalidAnswerError as error:
            self._fail(FailureKind.MALFORMED, str(error))
            self.abort()
        except h11.RemoteProtocolError as error:
            # After the end of the connection the answer is incomplete, not malformed.
            is_cut = not self._is_open
            kind = FailureKind.CLOSED if is_cut else FailureKind.MALFORMED
            self._fail(kind, str(error))
            self.abort()

    def _check_bounds(self) -> None:
        self._bounds.check_framing()
        if self._http.their_state is h11.SEND_RESPONSE:
            check_head_start(self._http.trailing_data[0])

    def _handle_event(self, event: Any) -> None:
        sink = self._sink
        if sink is None:
            return
        match event:
            case h11.Response():
                check_status(event.status_code)
                headers = tuple(event.headers.raw_items())
                head = AnswerHead(status=event.status_code, headers=headers)
                self._read_idle_limit(head)
                sink.handle_head(head)
            case h11.InformationalResponse():
                self._bounds.add_informational()
            case h11.Data():
                self._bounds.add_body(len(event.data), begins_chunk=event.chunk_start)
                sink.handle_data(bytes(event.data))
            case h11.EndOfMessage():
                self._end_exchange(sink)
            case h11.ConnectionClosed():
                self._fail(FailureKind.CLOSED, "connection closed before an answer")
            case _:
                pass

    def _end_exchange(self, sink: AnswerSink) -> None:
        self._n_exchanges += 1
        self._sink = None
        has_surplus = bool(self._http.trailing_data[0])
        is_done = self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        if is_done and not has_surplus and self._is_open:
            self._http.start_next_cycle()
            sink.handle_end()
            if self.on_idle is not None:
                self.on_idle(self)
        else:
            self._is_open = False
            transport: Any = self.transport
            transport.loseConnection()
            sink.handle_end()

    def _read_idle_limit(self, head: AnswerHead) -> None:
        value = head.find_header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            seconds = number.strip()
            is_number = seconds.isdigit() and len(seconds) <= MAX_TIMEOUT_DIGITS
            if name.strip().lower() == b"timeout" and is_number:
                limit_ms = int(seconds) * 1_000 - IDLE_MARGIN_MS
                self._idle_limit_ms = max(0, limit_ms)

    def _fail(self, kind: FailureKind, reason: str) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.handle_failure(
                ExchangeFailure(
                    kind=kind,
                    reason=reason,
                    was_reused=self.was_used,
                    has_answer=self._has_answer,
                )
            )


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, future: "asyncio.Future[ServerConnection]") -> None:
        self._future = future

    def buildProtocol(self, addr: Any) -> "_PendingConnection":
        return _PendingConnection(self._future)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        if not self._future.done():
            self._future.set_exception(OSError(reason.getErrorMessage()))


class _PendingConnection(ServerConnection):
    def __init__(self, future: "asyncio.Future[ServerConnection]") -> None:
        super().__init__()
        self._future = future

    def connectionMade(self) -> None:
        super().connectionMade()
        if self._future.done():
            self.abort()
        else:
            self._future.set_result(self)


async def connect(
    reactor: Any, address: tuple[str, int], timeout_ms: int
) -> ServerConnection:
    """Open a connection.

    Raises
    ------
    OSError
        If the server refuses the connection or does not answer in time.
    """
    future: asyncio.Future[ServerConnection] = (
        asyncio.get_running_loop().create_future()
    )
    connector = reactor.connectTCP(
        address[0], address[1], _Connector(future), timeout=timeout_ms / 1_000
    )
    try:
        return await future
    except asyncio.CancelledError:
        connector.disconnect()
        raise
