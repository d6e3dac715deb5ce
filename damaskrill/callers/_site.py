"""Twisted site with limits on headers, bodies, receive times and connections."""

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from damaskrill.callers._errors import (
    BodyTooLargeError,
    CallerError,
    InvalidFieldError,
    MalformedHttpError,
    SlowSenderError,
)
from damaskrill.callers._limits import CallerLimits
from damaskrill.callers._replies import encode_json, refusal_body, refusal_headers

__all__ = ["BoundedRequest", "BoundedSite"]

ABORT_TIMEOUT_S = 2
REASON_PHRASES = {400: "Bad Request", 408: "Request Timeout", 413: "Content Too Large"}


class BoundedChannel(HTTPChannel):
    """A connection of a caller, refused if a request is not received in time."""

    abortTimeout = ABORT_TIMEOUT_S
    site: Any
    transport: Any
    _receive_timer: Any = None
    _is_refused = False

    def connectionMade(self) -> None:
        """Set the limits and count the connection."""
        limits = self.site.limits
        self.maxHeaders = limits.max_headers
        self.totalHeadersSize = limits.max_header_bytes
        super().connectionMade()
        self.site.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes; the first of a request start its timer."""
        if self._is_refused:
            return
        if self._receive_timer is None and not self._handlingRequest:
            self._start_timer(self.site.limits.header_timeout_ms)
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Replace the timer of the headers by the one of the body."""
        self._stop_timer()
        self._start_timer(self.site.limits.body_timeout_ms)
        super().allHeadersReceived()

    def allContentReceived(self) -> None:
        """Stop the timer, because the request is complete."""
        self._stop_timer()
        super().allContentReceived()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from the site."""
        self._stop_timer()
        self.site.connections.discard(self)
        super().connectionLost(reason)

    def refuse(self, error: CallerError) -> None:
        """Answer with an error and close without reading the remaining request."""
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_timer()
        body = encode_json(refusal_body("", error))
        headers = refusal_headers("", error)
        headers.pop("Damaskrill-Request-Id")
        headers["Content-Type"] = "application/json"
        headers["Content-Length"] = str(len(body))
        headers["Connection"] = "close"
        lines = [
            f"HTTP/1.1 {error.status} {REASON_PHRASES.get(error.status, 'Refused')}"
        ]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(lines).encode("ascii", "replace")
        self.transport.write(head + b"\r\n\r\n" + body)
        self.setTimeout(None)
        self.loseConnection()
        # A client that does not read its answer would keep the connection open forever.
        call_later: Any = self.callLater
        self._receive_timer = call_later(
            ABORT_TIMEOUT_S, self.transport.abortConnection
        )

    def _respondToBadRequestAndDisconnect(self) -> None:
        # The base class calls this for invalid HTTP; its own answer has no body.
        self.refuse(MalformedHttpError())

    def _start_timer(self, limit_ms: int) -> None:
        call_later: Any = self.callLater
        self._receive_timer = call_later(
            limit_ms / 1_000, self._refuse_slow_sender, limit_ms
        )

    def _refuse_slow_sender(self, limit_ms: int) -> None:
        self._receive_timer = None
        self.refuse(SlowSenderError(limit_ms=limit_ms))

    def _stop_timer(self) -> None:
        timer, self._receive_timer = self._receive_timer, None
        if timer is not None and timer.active():
            timer.cancel()


class BoundedRequest(Request):
    """A request whose body is kept in memory and limited in size."""

    channel: Any
    site: Any
    content: Any
    _n_content_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose declared length exceeds the limit."""
        self.content = BytesIO()
        if length is not None and length > self._limit:
            self.channel.refuse(BodyTooLargeError(limit=self._limit))

    def handleContentChunk(self, data: bytes) -> None:
        """Append to the body; refuse the request if it exceeds the limit."""
        self._n_content_bytes += len(data)
        if self._n_content_bytes > self._limit:
            self.channel.refuse(BodyTooLargeError(limit=self._limit))
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        """Pass the complete request to the handler of the site."""
        self.site = self.channel.site
        if self.channel._is_refused:
            return
        self.site.handle(self)

    def read_header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is missing.

        Raises
        ------
        InvalidFieldError
            If the header occurs more than once.
        """
        # The name is passed as bytes, because for a str the library decodes the value
        # as UTF-8 without catching errors.
        values = self.requestHeaders.getRawHeaders(name.encode("ascii")) or [b""]
        if len(values) > 1:
            raise InvalidFieldError(name=name, expected="given only once")
        return values[0].decode("latin-1").strip()

    @property
    def _limit(self) -> int:
        limit: int = self.channel.site.limits.max_body_bytes
        return limit


class BoundedSite(Site):
    """Create a channel for each connection, up to a limit.

    Parameters
    ----------
    handle : callable
        Called with each request after its body was received.
    limits : CallerLimits
        Limits.
    reactor : object
        Twisted's reactor.
    """

    protocol: Any = BoundedChannel

    def __init__(
        self,
        *,
        handle: Callable[[BoundedRequest], None],
        limits: CallerLimits,
        reactor: Any,
    ) -> None:
        super().__init__(
            None,
            requestFactory=BoundedRequest,
            timeout=limits.idle_timeout_ms / 1_000,
            reactor=reactor,
            parsePOSTFormSubmission=False,
        )
        self.handle = handle
        self.limits = limits
        self.connections: set[BoundedChannel] = set()

    def buildProtocol(self, addr: Any) -> Any:
        """Return a channel, or None to close a connection above the limit."""
        if len(self.connections) >= self.limits.max_connections:
            return None
        return super().buildProtocol(addr)

    def log(self, request: Any) -> None:
        """Write no access log, because the events of the kernel log each request."""
