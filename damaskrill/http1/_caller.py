"""HTTP/1.1 server connection of one caller."""

from collections.abc import Callable
from typing import Any

import h11
from attrs import define
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from damaskrill.catalog import CallerLimits
from damaskrill.http1._messages import CallerRequest, Headers
from damaskrill.http1._transport import count_unsent_bytes, is_flushed, write_now
from damaskrill.utils import monotonic_now_ms

__all__ = ["CallerConnection", "CallerConnectionFactory"]

# How long the read side stays open after a close, so that unread bytes do not cause a
# reset.
LINGER_MS = 1_000
# Bytes of pipelined requests that are buffered while a request is being answered.
MAX_PIPELINED_BYTES = 262_144
# Bytes of a stream that a caller has not read yet. Streams have a few hundred kB, which
# sockets hold; more is left only if the caller does not read.
MAX_UNREAD_BYTES = 1_048_576
# Callers expect a new connection to stay open for one second. If it is closed earlier
# without an answer, they need a retry.
FIRST_REQUEST_GRACE_MS = 1_000
MS_PER_S = 1_000


class CallerConnection(Protocol):
    """Connection that reads one request at a time and writes its answer.

    Parameters
    ----------
    factory : CallerConnectionFactory
        Factory with the state that all connections share.
    """

    def __init__(self, factory: "CallerConnectionFactory") -> None:
        self._factory = factory
        limits = factory.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._head: h11.Request | None = None
        self._head_at_ms = 0.0
        self._body: list[bytes] = []
        self._n_body_bytes = 0
        self._is_busy = False
        self._is_closing = False
        self._is_disconnected = False
        self._opened_at_ms = 0.0
        self._has_answered = False
        self._has_discarded = False
        self._timer: Any = None
        self.on_disconnect: Callable[[], None] | None = None
        # Returns further headers of the answer to the current request.
        self.extra_headers: Callable[[], Headers] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return self._is_busy

    @property
    def peer_host(self) -> str:
        """Host from which the connection was opened."""
        transport: Any = self.transport
        return str(transport.getPeer().host)

    @property
    def is_reading(self) -> bool:
        """Whether a request has been received in part."""
        return self._head is not None or bool(self._http.trailing_data[0])

    def connectionMade(self) -> None:
        """Register the connection and wait for a request."""
        self._factory.connections.add(self)
        self._opened_at_ms = monotonic_now_ms()
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self._set_timer(self._factory.limits.idle_timeout_ms)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_closing:
            self._report_discarded(data)
            return
        self._http.receive_data(data)
        if self._is_busy:
            if len(self._http.trailing_data[0]) > MAX_PIPELINED_BYTES:
                transport: Any = self.transport
                transport.pauseProducing()
            return
        self._process_events()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        """Notify the request handler that the caller has disconnected."""
        self._is_disconnected = True
        self._is_closing = True
        self._factory.connections.discard(self)
        self._clear_timer()
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer the current request with a complete body."""
        framing: tuple[tuple[bytes, bytes], ...] = ()
        if status not in (204, 304):
            framing = ((b"Content-Length", b"%d" % len(body)),)
        self._send_head(status, (*headers, *framing))
        if body and framing and not self._answers_head_request:
            self._send(h11.Data(data=body))
        self._finish()

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked answer."""
        self._send_head(status, (*headers, (b"Transfer-Encoding", b"chunked")))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the answer; abort if the caller does not read."""
        self._send(h11.Data(data=data))
        transport: Any = self.transport
        if (
            not self._is_disconnected
            and count_unsent_bytes(transport) > MAX_UNREAD_BYTES
        ):
            self._factory.report("caller_not_reading")
            # The request's handler learns of it as of any other disconnect.
            self._is_disconnected = True
            transport.abortConnection()

    def end_stream(self) -> None:
        """End the answer as complete."""
        self._finish()

    def abort(self) -> None:
        """Abort the connection, so that the answer cannot appear complete."""
        self._is_closing = True
        self.on_disconnect = None
        if not self._is_disconnected:
            transport: Any = self.transport
            transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or expected."""
        if self._is_busy or self.is_reading or self._is_closing:
            return
        age_ms = monotonic_now_ms() - self._opened_at_ms
        if self._has_answered or age_ms >= FIRST_REQUEST_GRACE_MS:
            self._close()

    def _process_events(self) -> None:
        try:
            while not self._is_busy and not self._is_closing:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    self._wait_for_more()
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint or 400)

    def _wait_for_more(self) -> None:
        limits = self._factory.limits
        if self._head is not None:
            if self._http.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
            self._set_timer(limits.idle_timeout_ms)
        elif self._http.trailing_data[0]:
            if self._timer is None or not self._timer_is_for_head:
                self._set_timer(limits.header_timeout_ms, for_head=True)

    def _handle_event(self, event: Any) -> None:
        match event:
            case h11.Request():
                self._handle_head(event)
            case h11.Data():
                self._n_body_bytes += len(event.data)
                if self._n_body_bytes > self._factory.limits.max_body_bytes:
                    self._refuse(413)
                    return
                self._body.append(bytes(event.data))
            case h11.EndOfMessage():
                self._handle_request_end()
            case h11.ConnectionClosed():
                self._close()
            case _:
                pass

    def _handle_head(self, head: h11.Request) -> None:
        self._head = head
        self._head_at_ms = monotonic_now_ms()
        self._clear_timer()
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # The next hop may interpret two framings differently, which allows request
            # smuggling.
            self._refuse(400)

    def _handle_request_end(self) -> None:
        head = self._head
        if head is None:
            return
        self._clear_timer()
        self._is_busy = True
        self.extra_headers = None
        request = CallerRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple(head.headers.raw_items()),
            body=b"".join(self._body),
            arrived_at_ms=self._head_at_ms,
        )
        self._body.clear()
        self._factory.handle_request(self, request)

    @property
    def _answers_head_request(self) -> bool:
        return self._head is not None and self._head.method == b"HEAD"

    def _send_head(self, status: int, headers: Headers) -> None:
        if self.extra_headers is not None:
            headers = (*headers, *self.extra_headers())
        if self._factory.is_stopping:
            headers = (*headers, (b"Connection", b"close"))
        self._send(h11.Response(status_code=status, headers=list(headers), reason=b""))

    def _send(self, event: Any) -> None:
        if self._is_disconnected:
            return
        data = self._http.send(event)
        if data:
            write_now(self.transport, data)

    def _finish(self) -> None:
        self.on_disconnect = None
        if self._is_disconnected or self._is_closing:
            return
        self._send(h11.EndOfMessage())
        self._has_answered = True
        self._is_busy = False
        self._head = None
        self._n_body_bytes = 0
        if self._http.our_state is not h11.DONE:
            self._close()
            return
        if self._http.their_state is not h11.DONE:
            self._close()
            return
        self._http.start_next_cycle()
        self._set_timer(self._factory.limits.idle_timeout_ms)
        transport: Any = self.transport
        transport.resumeProducing()
        self._process_events()

    def _refuse(self, status: int) -> None:
        self._factory.log_refusal(status)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self._send(h11.Response(status_code=status, headers=headers, reason=b""))
            self._send(h11.EndOfMessage())
        self._close()

    def _close(self) -> None:
        # Close the write side first and continue to read for LINGER_MS: closing a
        # socket with unread bytes would reset it and could discard the answer.
        self._is_closing = True
        self._clear_timer()
        if self._is_disconnected:
            return
        transport: Any = self.transport
        transport.resumeProducing()
        transport.loseWriteConnection()
        self._linger()

    def _linger(self) -> None:
        # A caller that reads slowly gets the whole answer; the time counts from then.
        action = self._abort_lingering if is_flushed(self.transport) else self._linger
        self._timer = self._factory.call_later(LINGER_MS, action)

    def _abort_lingering(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()

    def _set_timer(self, delay_ms: int, *, for_head: bool = False) -> None:
        self._clear_timer()
        self._timer_is_for_head = for_head
        self._timer = self._factory.call_later(delay_ms, self._time_out)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _report_discarded(self, data: bytes) -> None:
        # The caller sent this before it knew that the connection was closed.
        if not self._has_discarded:
            self._has_discarded = True
            self._factory.report("caller_bytes_discarded", n_bytes=len(data))

    def _time_out(self) -> None:
        self._timer = None
        if self._is_busy or self._is_closing:
            return
        if self.is_reading:
            self._refuse(408)
        else:
            self._close()


@define(kw_only=True, eq=False)
class CallerConnectionFactory(Factory):
    """Factory and shared state of callers' connections.

    Parameters
    ----------
    loop : object
        Event loop.
    handle : callable
        Called with a connection and its complete request.
    report : callable
        Called with an event name and its fields.
    """

    loop: Any
    handle: Callable[[CallerConnection, CallerRequest], None]
    report: Callable[..., None]
    limits: CallerLimits
    is_stopping: bool = False
    connections: set[CallerConnection]

    noisy = False

    def buildProtocol(self, addr: Any) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def handle_request(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Pass a complete request to the handler."""
        self.handle(connection, request)

    def log_refusal(self, status: int) -> None:
        """Report a request that violates the protocol or the limits."""
        self.report("request_unreadable", status=status)

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> Any:
        """Schedule a call after a delay."""
        return self.loop.call_later(delay_ms / MS_PER_S, action)
