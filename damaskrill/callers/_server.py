"""HTTP server that passes the requests of callers to a request handler."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import parse_qsl, unquote

from twisted.internet.defer import maybeDeferred

from damaskrill.callers._answer import CallerAnswer
from damaskrill.callers._errors import (
    CallerError,
    InternalCallerError,
    InvalidFieldError,
    MethodNotAllowedError,
    UnknownPathError,
)
from damaskrill.callers._limits import CallerLimits
from damaskrill.callers._parse import (
    CallerRequest,
    parse_action_query,
    parse_chat,
    parse_permit_request,
    parse_service_call,
)
from damaskrill.callers._replies import encode_json
from damaskrill.callers._site import BoundedRequest, BoundedSite
from damaskrill.messages import Request
from damaskrill.utils import Clock

__all__ = ["CallerServer", "OperatorPages", "RequestHandler"]

SERVICE_PREFIX = "/v1/services/"
TEXT = "text/plain; charset=utf-8"
MAX_QUERY_FIELDS = 20
# Connections of callers that connect simultaneously must not be dropped before they
# are accepted.
LISTEN_BACKLOG = 1_024


class RequestHandler(Protocol):
    """Interface through which ``CallerServer`` passes requests to the process."""

    def next_request_id(self) -> str:
        """Return an ID that is unique within the fleet."""

    def open_request(self, call: CallerRequest, answer: CallerAnswer) -> None:
        """Dispatch a request; raise ``RouterBusyError`` if the router is overloaded."""

    def query_outcome(self, request: Request, answer: CallerAnswer) -> None:
        """Look up a recorded outcome."""

    def request_permit(self, service: str, team: str, answer: CallerAnswer) -> None:
        """Request a permit."""

    def handle_disconnect(self, request_id: str) -> None:
        """Handle a caller that disconnected before its answer was complete."""


class OperatorPages(Protocol):
    """State of the process as shown to operators and the platform."""

    def readiness(self) -> tuple[bool, str]:
        """Return whether new requests are accepted, and a sentence with the reason."""

    def status_text(self) -> str:
        """Return the status page."""

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""


class CallerServer:
    """HTTP server of one router for callers and operators.

    Parameters
    ----------
    handler : RequestHandler
        Receives the parsed requests.
    pages : OperatorPages
        Content of the pages for operators.
    clock : Clock
        Time for the deadlines of requests.
    limits : CallerLimits
        Limits.
    reactor : object
        Twisted's reactor.
    report_error : callable
        Called with each unexpected exception in this server.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        pages: OperatorPages,
        clock: Clock,
        limits: CallerLimits,
        reactor: Any,
        report_error: Callable[[Exception], None],
    ) -> None:
        self._report_error = report_error
        self._handler = handler
        self._pages = pages
        self._clock = clock
        self._limits = limits
        self._reactor = reactor
        self._site = BoundedSite(handle=self._handle, limits=limits, reactor=reactor)
        self._listener: Any = None

    def start(self, host: str, port: int) -> int:
        """Listen; return the bound port."""
        self._listener = self._reactor.listenTCP(port, self._site, LISTEN_BACKLOG, host)
        return int(self._listener.getHost().port)

    async def stop_listening(self) -> None:
        """Accept no new connections; open ones continue."""
        listener, self._listener = self._listener, None
        if listener is not None:
            stopping = maybeDeferred(listener.stopListening)
            await stopping.asFuture(asyncio.get_running_loop())

    def close_connections(self) -> None:
        """Close all remaining connections."""
        for channel in list(self._site.connections):
            channel.loseConnection()

    def _handle(self, http_request: BoundedRequest) -> None:
        answer = CallerAnswer(
            http_request=http_request,
            request_id=self._handler.next_request_id(),
            limits=self._limits,
            on_disconnect=self._handler.handle_disconnect,
        )
        try:
            path, fields = _split_target(http_request.uri)
            route = self._find_route(http_request, path, fields, answer)
            route()
        except CallerError as error:
            answer.refuse(error)
        except Exception as error:
            self._report_error(error)
            answer.refuse(InternalCallerError())

    def _find_route(
        self,
        http_request: BoundedRequest,
        path: str,
        fields: dict[str, str],
        answer: CallerAnswer,
    ) -> Callable[[], None]:
        method = http_request.method.decode("ascii", "replace")
        match path:
            case "/v1/chat/completions":
                _check_method(method, "POST")
                return lambda: self._handle_chat(http_request, answer)
            case "/v1/permits":
                _check_method(method, "POST")
                return lambda: self._handle_permit_request(http_request, answer)
            case "/v1/outcomes":
                _check_method(method, "GET")
                return lambda: self._handle_outcome_query(fields, answer)
            case "/healthz":
                _check_method(method, "GET")
                return lambda: answer.send_page(200, TEXT, b"this process runs\n")
            case "/readyz":
                _check_method(method, "GET")
                return lambda: self._send_readiness(answer)
            case "/status":
                _check_method(method, "GET")
                return lambda: answer.send_page(
                    200, TEXT, self._pages.status_text().encode()
                )
            case "/metrics":
                _check_method(method, "GET")
                return lambda: answer.send_page(200, TEXT, self._pages.metrics_text())
        if path.startswith(SERVICE_PREFIX):
            _check_method(method, "POST")
            service = path.removeprefix(SERVICE_PREFIX)
            return lambda: self._handle_service_call(http_request, service, answer)
        raise UnknownPathError()

    def _handle_chat(self, http_request: BoundedRequest, answer: CallerAnswer) -> None:
        call = parse_chat(
            request_id=answer.request_id,
            body=http_request.content.read(),
            read_header=http_request.read_header,
            now_ms=self._clock.now_ms,
            limits=self._limits,
        )
        if call.is_stream:
            answer.enable_streaming()
        self._handler.open_request(call, answer)

    def _handle_service_call(
        self, http_request: BoundedRequest, service: str, answer: CallerAnswer
    ) -> None:
        call = parse_service_call(
            request_id=answer.request_id,
            service=service,
            body=http_request.content.read(),
            read_header=http_request.read_header,
            now_ms=self._clock.now_ms,
            limits=self._limits,
        )
        self._handler.open_request(call, answer)

    def _handle_permit_request(
        self, http_request: BoundedRequest, answer: CallerAnswer
    ) -> None:
        service, team = parse_permit_request(
            http_request.content.read(), http_request.read_header
        )
        self._handler.request_permit(service, team, answer)

    def _handle_outcome_query(
        self, fields: dict[str, str], answer: CallerAnswer
    ) -> None:
        request = parse_action_query(
            request_id=answer.request_id,
            fields=fields,
            now_ms=self._clock.now_ms,
            limits=self._limits,
        )
        self._handler.query_outcome(request, answer)

    def _send_readiness(self, answer: CallerAnswer) -> None:
        is_ready, sentence = self._pages.readiness()
        content = {"ready": is_ready, "sentence": sentence}
        status = 200 if is_ready else 503
        answer.send_page(status, "application/json", encode_json(content))


def _split_target(target: bytes) -> tuple[str, dict[str, str]]:
    path, _, query = target.partition(b"?")
    try:
        pairs = parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            max_num_fields=MAX_QUERY_FIELDS,
        )
        return unquote(path.decode("ascii"), errors="strict"), dict(pairs)
    except ValueError as error:
        expected = f"ASCII with at most {MAX_QUERY_FIELDS} query fields"
        raise InvalidFieldError(name="the request target", expected=expected) from error


def _check_method(method: str, allowed: str) -> None:
    if method != allowed:
        raise MethodNotAllowedError(allowed=allowed)
