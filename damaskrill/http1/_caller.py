"""HTTP/1.1 server connection of one caller."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from damaskrill.http1._caller_memory import CallerMemory
from damaskrill.http1._messages import CallerRequest, Headers
from damaskrill.http1._request_reader import RequestReader
from damaskrill.http1._transport import count_unsent_bytes, is_flushed, write_now
from damaskrill.http1._unread_answer import UnreadAnswer
from damaskrill.limits import Eviction
from damaskrill.utils import monotonic_now_ms

if TYPE_CHECKING:
    from damaskrill.http1._caller_factory import CallerConnectionFactory

__all__ = ["CallerConnection"]

# How long the read side stays open after a close, so that unread bytes do not cause a
# reset.
LINGER_MS = 1_000
# Bytes of a stream that a caller has not read yet. Streams have a few hundred kB, which
# sockets hold; more is left only if the caller does not read.
MAX_UNREAD_BYTES = 1_048_576
# Unread bytes of a stream that count in the account of the process; sockets of callers
# that read leave none.
COUNTED_UNREAD_BYTES = 65_536
# Callers expect a new connection to stay open for one second. If it is closed earlier
# without an answer, they need a retry.
FIRST_REQUEST_GRACE_MS = 1_000
# Pause after a rejection for lack of memory: bodies that wait get it within that time.
RETRY_AFTER = (b"Retry-After", b"0.5")


class CallerConnection(Protocol):
    """Connection that reads one request at a time and writes its answer.

    Parameters
    ----------
    factory : CallerConnectionFactory
        Factory with the state that all connections share.
    """

    def __init__(self, factory: "CallerConnectionFactory") -> None:
        self._factory = factory
        self._shared = factory.shared
        limits = factory.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._is_busy = False
        self._is_counted = False
        self._is_closing = False
        self._is_dropped = False
        self._is_disconnected = False
        self._unread: UnreadAnswer | None = None
        self._opened_at_ms = self._idle_since_ms = 0.0
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
        return self._reader.is_reading

    @property
    def is_lingering(self) -> bool:
        """Whether it is closed and only waits for what crosses the close."""
        return self._is_closing

    @property
    def is_dropped(self) -> bool:
        """Whether it ends in the next iteration of the event loop."""
        return self._is_dropped

    @property
    def idle_since_ms(self) -> float | None:
        """When it became idle; None if a request is expected or in progress."""
        if not self._may_parse() or self.is_reading:
            return None
        age_ms = monotonic_now_ms() - self._opened_at_ms
        is_expected = not self._has_answered and age_ms < FIRST_REQUEST_GRACE_MS
        return None if is_expected else self._idle_since_ms

    @property
    def waits_since_ms(self) -> float | None:
        """When it began to wait for a complete request; None if it does not."""
        return self._idle_since_ms if self._may_parse() else None

    def connectionMade(self) -> None:
        """Register the connection and wait for a request."""
        factory = self._factory
        self._opened_at_ms = self._idle_since_ms = monotonic_now_ms()
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self._memory = CallerMemory(
            account=self._shared.account,
            transport=transport,
            evict=self._evict,
            go_on=lambda: self._reader.go_on(),
            review=self._shared.review_soon,
            idle_timeout_ms=factory.limits.idle_timeout_ms,
        )
        self._reader = RequestReader(
            http=self._http,
            factory=factory,
            transport=transport,
            memory=self._memory,
            may_parse=self._may_parse,
            handle_end=self._handle_request_end,
            refuse=self._refuse,
            wait=self._wait,
            wait_no_longer=self._clear_timer,
        )
        self._set_timer(factory.limits.idle_timeout_ms)
        factory.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_closing:
            self._report_discarded(data)
        else:
            self._reader.feed(data)

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        """Notify the request handler that the caller has disconnected."""
        self._is_disconnected = self._is_dropped = True
        self._is_closing = True
        self._factory.connections.discard(self)
        if self._is_counted:
            self._uncount()
        self._memory.release()
        self._reader.end()
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
        if self._is_disconnected:
            return
        n_unread = count_unsent_bytes(self.transport)
        if n_unread > MAX_UNREAD_BYTES:
            self._drop_unread("stream")
        elif n_unread > COUNTED_UNREAD_BYTES:
            self._memory.note_unread()

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
        if self.idle_since_ms is not None:
            self._close()

    def drop(self) -> None:
        """Abort the connection to make room for others."""
        self._shared.record("caller_dropped", "idle")
        # The handler of a request learns of it as of any other disconnect.
        self._is_dropped = self._is_closing = self._is_disconnected = True
        transport: Any = self.transport
        transport.abortConnection()

    def _may_parse(self) -> bool:
        return not (self._is_busy or self._is_closing or self._unread is not None)

    def _wait(self, limit_ms: float) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        self._set_timer(limit_ms)

    def _handle_request_end(self, head: h11.Request, body: bytes) -> None:
        self._clear_timer()
        self._is_busy = True
        self.extra_headers = None
        request = CallerRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple(head.headers.raw_items()),
            body=body,
            arrived_at_ms=self._reader.head_at_ms,
        )
        self._is_counted = True
        shared = self._shared
        shared.bound.n_busy += 1
        shared.make_room(self._factory.connections)
        self._factory.handle_request(self, request)

    def _uncount(self) -> None:
        self._is_counted = False
        self._shared.bound.n_busy -= 1

    @property
    def _answers_head_request(self) -> bool:
        head = self._reader.head
        return head is not None and head.method == b"HEAD"

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
        if self._is_counted:
            self._uncount()
        if self._is_disconnected or self._is_closing:
            return
        self._send(h11.EndOfMessage())
        if self._is_disconnected:
            return
        self._has_answered = True
        self._is_busy = False
        self._memory.release()
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            self._close()
            return
        self._http.start_next_cycle()
        self._idle_since_ms = monotonic_now_ms()
        if is_flushed(self.transport):
            self._await_next()
        else:
            # The next request starts when the caller has read this answer, so that the
            # answers to many requests sent ahead are not kept.
            self._clear_timer()
            self._memory.note_ahead(self._reader.n_unparsed)
            self._watch_unread(self._await_next)

    def _await_next(self) -> None:
        self._set_timer(self._factory.limits.idle_timeout_ms)
        self._reader.await_next()

    def _watch_unread(self, handle_read: Callable[[], None]) -> None:
        def end() -> None:
            self._unread = None
            self._memory.release()
            handle_read()

        self._unread = UnreadAnswer(
            transport=self.transport,
            call_later=self._factory.call_later,
            timeout_ms=self._factory.limits.idle_timeout_ms,
            handle_read=end,
            handle_stall=lambda: self._drop_unread("answer"),
        )
        if not self._is_disconnected:
            self._memory.note_unread()

    def _drop_unread(self, cause: str) -> None:
        self._shared.record("caller_not_reading", cause)
        # The request's handler learns of it as of any other disconnect.
        self._is_disconnected = True
        transport: Any = self.transport
        transport.abortConnection()

    def _evict(self, reason: Eviction) -> None:
        if self._is_disconnected:
            return
        if self._may_parse():
            # It was not passed on.
            self._refuse(503, RETRY_AFTER, cause=reason.value)
        else:
            self._drop_unread(reason.value)

    def _refuse(
        self, status: int, *headers: tuple[bytes, bytes], cause: str = ""
    ) -> None:
        self._factory.log_refusal(status, cause)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            framing = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            response = h11.Response(
                status_code=status, headers=[*headers, *framing], reason=b""
            )
            self._send(response)
            self._send(h11.EndOfMessage())
        self._close()

    def _close(self) -> None:
        # Close the write side first and continue to read for LINGER_MS: closing a
        # socket with unread bytes would reset it and could discard the answer.
        self._is_closing = True
        self._clear_timer()
        self._memory.release()
        if self._is_disconnected:
            return
        self._reader.discard()
        if is_flushed(self.transport):
            self._close_writing()
        else:
            # A caller that reads slowly gets the whole answer; the time counts from
            # then.
            self._watch_unread(self._close_writing)

    def _close_writing(self) -> None:
        transport: Any = self.transport
        transport.loseWriteConnection()
        self._timer = self._factory.call_later(LINGER_MS, self._abort_lingering)

    def _abort_lingering(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()

    def _set_timer(self, delay_ms: float) -> None:
        self._clear_timer()
        self._timer = self._factory.call_later(delay_ms, self._time_out)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _report_discarded(self, data: bytes) -> None:
        # The caller sent this before it knew that the connection was closed.
        if not self._has_discarded:
            self._has_discarded = True
            self._shared.record("caller_bytes_discarded", "closed", n_bytes=len(data))

    def _time_out(self) -> None:
        self._timer = None
        if self._reader.is_held or not self._may_parse():
            return
        if self.is_reading:
            self._refuse(408)
        else:
            self._close()
