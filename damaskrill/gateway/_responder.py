"""Final answer to one request, with its log line and metrics."""

from typing import TYPE_CHECKING

from attrs import define, field

from damaskrill.catalog import BackendServer, Route
from damaskrill.gateway._attempt import CompleteAnswer, StreamProgress
from damaskrill.http1 import CallerConnection, Headers, forwarded_headers
from damaskrill.steering import (
    AnswerTimings,
    LatencyCause,
    LoggedOutcome,
    Refusal,
    RefusalCause,
    ServerAllowance,
    find_latency_cause,
)

if TYPE_CHECKING:
    from damaskrill.gateway._dispatcher import RequestDispatcher

__all__ = ["Responder"]

STATUS_OK = 200
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503


@define(kw_only=True, eq=False)
class Responder:
    """Sender of the final answer to a request, which is sent and logged once.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        State that all exchanges share.
    connection : CallerConnection
        The caller's connection.
    progress : StreamProgress
        Part of a stream that has been sent to the caller.
    request_id : str
        The caller's identifier of the request.
    arrived_at_ms : float
        Time of arrival in milliseconds.
    allowance : ServerAllowance
        Servers that the request has reached and may reach.

    Attributes
    ----------
    service, team : str
        Service and team of the request; empty while unknown.
    server : BackendServer or None
        Server of the last attempt.
    n_sent : int
        Number of times that the request was sent to a server.
    n_servers : int
        Number of servers to which this router has sent it.
    sender : str
        Host of the router that sent it here; empty if a caller did.
    route : Route or None
        Route of the request; None while unknown.
    load, load_age_ms : float
        Estimated number of requests at the server of the last attempt when it was
        selected, and the age of the server's last load report in milliseconds.
    is_retry_denied : bool
        Whether the retry budget did not allow to send it again.
    version_at_start : int
        Version of the configuration that the request's route was taken from; 0 if none.
    """

    dispatcher: "RequestDispatcher"
    connection: CallerConnection
    progress: StreamProgress
    request_id: str
    arrived_at_ms: float
    allowance: ServerAllowance
    service: str = ""
    team: str = ""
    server: BackendServer | None = None
    n_sent: int = 0
    n_servers: int = 0
    sender: str = ""
    route: Route | None = None
    load: float = 0.0
    load_age_ms: float = -1.0
    version_at_start: int = 0
    is_retry_denied: bool = False
    _sent_at_ms: float | None = field(default=None, init=False)
    _answered_at_ms: float | None = field(default=None, init=False)
    _has_ended: bool = field(default=False, init=False)

    def record_server(self, server: BackendServer) -> None:
        """Record the selected server and what is known of its load."""
        loads, now_ms = self.dispatcher.loads, self.dispatcher.now_ms
        self.server = server
        self.load = loads.estimate(server.key, now_ms)
        self.load_age_ms = loads.age_ms(server.key, now_ms)

    def record_sent(self, now_ms: float) -> None:
        """Record that the request is sent to a server."""
        self.n_sent += 1
        self._sent_at_ms = now_ms

    def send_answer(self, answer: CompleteAnswer) -> None:
        """Forward a complete answer from a server."""
        self._has_ended = True
        self._answered_at_ms = self.dispatcher.now_ms
        headers = forwarded_headers(answer.head.headers)
        self.connection.send_answer(answer.head.status, headers, answer.body)
        is_error = answer.head.status >= STATUS_SERVER_ERROR
        self._log(
            LoggedOutcome.COMPLETED,
            status=answer.head.status,
            cause=RefusalCause.SERVER_ERROR if is_error else self._find_latency_cause(),
        )

    def record_stream_end(self) -> None:
        """Record that a stream has been forwarded to its end."""
        self._has_ended = True
        self._log(
            LoggedOutcome.COMPLETED, status=STATUS_OK, cause=self._find_latency_cause()
        )

    def record_caller_left(self) -> None:
        """Record that the caller has disconnected before the end."""
        self._has_ended = True
        self._log(LoggedOutcome.CALLER_LEFT, cause=RefusalCause.CALLER_LEFT)

    def refuse(
        self, refusal: Refusal, detail: str = "", *, extra_headers: Headers = ()
    ) -> None:
        """Send a refusal, or abort a begun stream, unless the request has ended.

        Parameters
        ----------
        refusal : Refusal
            The refusal.
        detail : str, default=""
            Detail to log.
        extra_headers : tuple, default=()
            Headers besides those of each refusal.
        """
        if self._has_ended:
            return
        if self.progress.has_begun:
            self.abort(refusal.cause.value)
            return
        self._has_ended = True
        headers: list[tuple[bytes, bytes]] = [*extra_headers]
        if refusal.retry_after_ms is not None:
            value = f"{refusal.retry_after_ms / 1_000:.3f}".encode()
            headers.append((b"Retry-After", value))
        body = f"{refusal.cause.value}: {refusal.cause.sentence}\n".encode()
        headers.append((b"Content-Type", b"text/plain"))
        self.connection.send_answer(refusal.status, tuple(headers), body)
        is_not_run = (
            refusal.status < STATUS_SERVER_ERROR or refusal.status == STATUS_UNAVAILABLE
        )
        self._log(
            LoggedOutcome.NOT_RUN if is_not_run else LoggedOutcome.UNKNOWN,
            status=refusal.status,
            cause=refusal.cause,
            detail=detail,
        )

    def refuse_or_abort(self, refusal: Refusal) -> None:
        """Refuse the request, or abort the connection if its answer was cut short."""
        if self._has_ended:
            self.connection.abort()
        else:
            self.refuse(refusal, refusal.cause.value)

    def abort(self, detail: str) -> None:
        """Abort a stream so that it cannot look complete."""
        self._has_ended = True
        self.connection.abort()
        self._log(
            LoggedOutcome.UNKNOWN, cause=RefusalCause.STREAM_BROKEN, detail=detail
        )

    def _timings(self) -> AnswerTimings:
        start_ms, first_at_ms = self.arrived_at_ms, self.progress.first_at_ms
        if first_at_ms is None:
            first_at_ms = self._answered_at_ms
        return AnswerTimings(
            sent_ms=None if self._sent_at_ms is None else self._sent_at_ms - start_ms,
            first_ms=None if first_at_ms is None else first_at_ms - start_ms,
            longest_pause_ms=self.progress.longest_pause_ms,
        )

    def _find_latency_cause(self) -> LatencyCause | None:
        if self.route is None:
            return None
        return find_latency_cause(
            self._timings(),
            target_ms=self.route.target_ms,
            max_pause_ms=self.route.max_pause_ms,
            n_sent=self.n_sent,
        )

    def _log(
        self,
        outcome: LoggedOutcome,
        *,
        status: int = 0,
        cause: RefusalCause | LatencyCause | None = None,
        detail: str = "",
    ) -> None:
        dispatcher = self.dispatcher
        write = dispatcher.log.write if cause is None else dispatcher.log.warn
        configuration = dispatcher.catalog.configuration
        server_id = self.server.server_id if self.server else ""
        times = self._timings()
        version = configuration.version if configuration else 0
        fields: dict[str, object] = {}
        if self.version_at_start != version:
            fields["text_version_at_start"] = self.version_at_start
        if times.sent_ms is not None:
            fields["wait_ms"] = round(times.sent_ms)
            fields["load"] = round(self.load)
            fields["load_age_ms"] = round(self.load_age_ms)
        if times.first_ms is not None:
            fields["first_ms"] = round(times.first_ms)
        if self.route is not None:
            fields["target_ms"] = self.route.target_ms
            fields["n_servers"] = self.n_servers
            fields["n_servers_in_all"] = self.allowance.n_spent
            fields["max_servers"] = self.allowance.limit
        if self.n_sent > 1 or self.is_retry_denied:
            fields["retries_left"] = round(dispatcher.budget.n_left(self.service), 2)
            fields["n_sharing_retries"] = dispatcher.n_sharing()
            fields["is_retry_denied"] = self.is_retry_denied
        if self.sender:
            fields["peer"] = self.sender
        if times.longest_pause_ms:
            fields["longest_pause_ms"] = round(times.longest_pause_ms)
        if cause is not None:
            subject = server_id or self.service
            fields["causes"] = [
                {"code": cause.value, "sentence": cause.sentence, "subject": subject}
            ]
        write(
            "request_ended",
            request_id=self.request_id,
            outcome=outcome.value,
            status=status,
            service=self.service,
            team=self.team,
            backend_server=server_id,
            latency_ms=round(dispatcher.now_ms - self.arrived_at_ms),
            n_attempts=self.n_sent,
            text_version=version,
            store_age_ms=dispatcher.store_age_ms(),
            detail=detail,
            **fields,
        )
        dispatcher.metrics.record_request(
            outcome.value, cause.value if cause else "none"
        )
        dispatcher.metrics.observe_times(times, self.service)
