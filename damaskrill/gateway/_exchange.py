"""Handling of one caller's request from its arrival to its final answer."""

import asyncio
from typing import TYPE_CHECKING

from damaskrill.catalog import BackendServer, RequestKind, Route, Team
from damaskrill.feed import STARTUP_BACKOFF_MS
from damaskrill.gateway._attempt import (
    Attempt,
    AttemptResult,
    BadAnswer,
    Broken,
    CompleteAnswer,
    NotRun,
    StreamEnded,
    StreamProgress,
)
from damaskrill.gateway._outcomes import (
    classify_outcome,
    describe_prompt,
    find_refusal,
)
from damaskrill.gateway._prompt_blocking import PROMPT_REJECTED
from damaskrill.gateway._responder import Responder
from damaskrill.http1 import (
    CallerConnection,
    CallerRequest,
    ExchangeFailure,
    FailureKind,
    OutgoingRequest,
    ServerConnection,
)
from damaskrill.steering import (
    FULL_RETRY_DELAY_MS,
    ExecutionStatus,
    Refusal,
    RefusalCause,
    RetryState,
    ServerOutcome,
    ServerRequirements,
    may_retry,
    may_retry_full,
)

if TYPE_CHECKING:
    from damaskrill.gateway._dispatcher import RequestDispatcher

__all__ = ["Exchange"]

# Slack beyond the operators' limit, so that an answer that is just ready is not lost.
LIMIT_SLACK_MS = 60
# No server can answer in less time than this.
MIN_REMAINING_MS = 10
# Longest wait of a request for an eligible server, as a fraction of its target. After
# an eighth of the target a refusal still lets the caller retry in time.
SERVER_WAIT_FRACTION = 0.125
POLL_INTERVAL_MS = 15
# A request that may be retried goes to another server after this many targets without
# an answer; a stream after this long without an event, or this many times the longest
# pause that the operators accept, so that slow streams are not interrupted.
IDLE_TIMEOUT_TARGETS = 1.0
STREAM_IDLE_TIMEOUT_MS = 1_000
STREAM_IDLE_TIMEOUT_PAUSES = 4
# After this many targets without an answer, the server is considered unresponsive.
SILENT_TARGETS = 2.0
# Twice the longest pause between two calls to a store that is busy at start-up.
START_WAIT_MS = 2 * STARTUP_BACKOFF_MS
# While the store is unavailable, a router that has started waits for its return.
RETRY_AFTER_START_MS = 1_000
# The caller's next connection goes to another router.
RETRY_AFTER_STOPPING_MS = 20
# Servers start and leave within seconds; callers wait a third of their time at most.
RETRY_AFTER_NO_SERVER_MS = 500
STATUS_SERVER_ERROR = 500
# Why a request was not sent to another server, as logged.
NO_RETRY_BUDGET = "the retry budget is used up"
NO_RETRY_ALLOWED = "the route allows no further server, or no time is left"
NO_OTHER_SERVER = "no other server is available"
SUSPECTED_PROMPT = "another server crashed under a part of its prompt"


class Exchange:
    """Sends a request to servers until one answers or the request must end.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        State that all exchanges share.
    connection : CallerConnection
        The caller's connection.
    request : CallerRequest
        The complete request.
    """

    def __init__(
        self,
        *,
        dispatcher: "RequestDispatcher",
        connection: CallerConnection,
        request: CallerRequest,
    ) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._metadata = dispatcher.binding.read_request(request)
        self._guard = dispatcher.prompts.guard(self._metadata)
        self._progress = StreamProgress(connection)
        self._responder = Responder(
            dispatcher=dispatcher,
            connection=connection,
            progress=self._progress,
            request_id=self._metadata.request_id,
            arrived_at_ms=request.arrived_at_ms,
        )
        self._may_have_run = False
        self._tried: set[tuple[str, int]] = set()
        # Of these, the servers that received the request and those that were full.
        self._sent_to: set[tuple[str, int]] = set()
        self._overloaded: set[tuple[str, int]] = set()
        self._execution_status = ExecutionStatus.NOT_SENT
        self._last_result: AttemptResult = NotRun(status=503)
        self._requirements = ServerRequirements(service="")
        self._limit_at_ms = 0.0
        self._sent_at_ms = 0.0

    async def run(self) -> None:
        """Serve the request; cancellation means that the caller has disconnected."""
        try:
            await self._serve()
        except asyncio.CancelledError:
            self._responder.record_caller_left()
        except Exception as error:
            self._dispatcher.log.warn(
                "internal_error",
                request_id=self._metadata.request_id,
                sentence=f"{type(error).__name__}: {error}"[:300],
            )
            self._responder.refuse(
                Refusal(status=500, cause=RefusalCause.INTERNAL_ERROR), "internal_error"
            )
        finally:
            self._guard.close()

    async def _serve(self) -> None:
        dispatcher, metadata = self._dispatcher, self._metadata
        await self._wait_for_start()
        configuration = dispatcher.catalog.configuration
        if configuration is not None:
            self._responder.version_at_start = configuration.version
        if configuration is None or not dispatcher.catalog.is_complete:
            cause = RefusalCause.NO_CONFIGURATION
            self._responder.refuse(
                Refusal(status=503, cause=cause, retry_after_ms=RETRY_AFTER_START_MS)
            )
            return
        route = configuration.find_route(metadata.host, metadata.path)
        if route is None:
            self._responder.refuse(Refusal(status=404, cause=RefusalCause.NO_ROUTE))
            return
        team: Team | None = None
        if configuration.team_by_key and not route.is_public:
            team = configuration.team_by_key.get(metadata.key or "")
            if team is None:
                self._responder.refuse(
                    Refusal(status=401, cause=RefusalCause.UNKNOWN_KEY)
                )
                return
            self._responder.team = team.name
        await self._send_until_answered(route, team)

    async def _wait_for_start(self) -> None:
        # A router that has just started is up to date within some milliseconds if the
        # store or a peer answers; a refusal would use up one of the caller's retries.
        until_ms = self._request.arrived_at_ms + START_WAIT_MS
        while (
            not self._dispatcher.catalog.is_complete
            and self._dispatcher.now_ms < until_ms
        ):
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)

    async def _send_until_answered(self, route: Route, team: Team | None) -> None:
        dispatcher = self._dispatcher
        self._responder.route = route
        self._limit_at_ms = self._request.arrived_at_ms + self._find_limit_ms(route)
        if not dispatcher.can_finish(self._limit_at_ms):
            self._responder.refuse(
                Refusal(
                    status=503,
                    cause=RefusalCause.STOPPING,
                    retry_after_ms=RETRY_AFTER_STOPPING_MS,
                )
            )
            return
        service = self._responder.service = dispatcher.pick_service(route)
        dispatcher.budget.record_request(service, dispatcher.now_ms)
        self._requirements = ServerRequirements(
            service=service,
            affinity_keys=self._metadata.affinity_keys if route.has_prompt else (),
            route_regions=route.regions,
            team_regions=team.regions if team else frozenset(),
        )
        while not self._refuse_crashing():
            server = await self._find_server(route)
            if self._refuse_crashing():
                return
            if server is None:
                if await self._wait_for_capacity(route):
                    continue
                self._refuse_unserved()
                return
            if self._responder.n_sent and not dispatcher.try_acquire_retry(service):
                self._refuse_after(self._last_result, NO_RETRY_BUDGET)
                return
            result = await self._try_server(route, team, server)
            if result is None:
                continue
            if self._deliver(route, result):
                return
            self._last_result = result
            if not self._may_retry(route) and not await self._wait_for_capacity(route):
                self._refuse_after(result, NO_RETRY_ALLOWED)
                return
            if self._guard.is_suspected:
                self._refuse_after(result, SUSPECTED_PROMPT)
                return

    def _may_retry(self, route: Route) -> bool:
        state = RetryState(
            n_servers=len(self._sent_to),
            end=self._execution_status,
            remaining_ms=self._limit_at_ms - self._dispatcher.now_ms,
        )
        return may_retry(route, state, min_remaining_ms=MIN_REMAINING_MS)

    async def _wait_for_capacity(self, route: Route) -> bool:
        # After a pause, the servers that were full may be tried again: the request has
        # not run at any of them.
        now_ms = self._dispatcher.now_ms
        if not self._overloaded or self._may_have_run:
            return False
        if not may_retry_full(
            elapsed_ms=now_ms - self._request.arrived_at_ms,
            target_ms=route.target_ms,
            remaining_ms=self._limit_at_ms - now_ms,
        ):
            return False
        await asyncio.sleep(FULL_RETRY_DELAY_MS / 1_000)
        self._tried -= self._overloaded
        self._overloaded.clear()
        return True

    def _find_limit_ms(self, route: Route) -> float:
        limit_ms = route.time_limit_ms + LIMIT_SLACK_MS
        if self._metadata.deadline_ms is not None:
            return min(limit_ms, self._metadata.deadline_ms)
        return limit_ms

    async def _find_server(self, route: Route) -> BackendServer | None:
        dispatcher, requirements = self._dispatcher, self._requirements
        until_ms = dispatcher.now_ms + SERVER_WAIT_FRACTION * route.target_ms
        is_at_limit = len(self._sent_to) >= route.max_servers
        only = self._sent_to if is_at_limit else None
        while True:
            server = dispatcher.select(requirements, tried=self._tried, only=only)
            if server is not None or dispatcher.now_ms >= until_ms or self._overloaded:
                return server
            pause_ms = dispatcher.find_pause_ms(requirements, tried=self._tried)
            if pause_ms is not None and dispatcher.now_ms + pause_ms > until_ms:
                return None
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)

    async def _try_server(
        self, route: Route, team: Team | None, server: BackendServer
    ) -> AttemptResult | None:
        dispatcher = self._dispatcher
        self._responder.server = server
        self._responder.load = dispatcher.loads.estimate(server.key, dispatcher.now_ms)
        self._responder.load_age_ms = dispatcher.loads.age_ms(
            server.key, dispatcher.now_ms
        )
        self._tried.add(server.key)
        dispatcher.loads.start(server.key)
        try:
            connection = dispatcher.pool.acquire_idle(server.key)
            if connection is None:
                try:
                    connection = await dispatcher.pool.open(server.key, server.address)
                except OSError as error:
                    self._record_outcome(
                        server, ServerOutcome.NO_CONNECTION, str(error)
                    )
                    return None
                if not dispatcher.catalog.is_usable(server.key):
                    # It became unusable while the connection was being opened.
                    connection.abort()
                    return None
            return await self._exchange(route, team, server, connection)
        finally:
            dispatcher.loads.end(server.key)

    async def _exchange(
        self,
        route: Route,
        team: Team | None,
        server: BackendServer,
        connection: ServerConnection,
    ) -> AttemptResult:
        dispatcher = self._dispatcher
        is_stream = route.kind is RequestKind.STREAM
        attempt = Attempt(
            request_id=self._metadata.request_id,
            read_answer=dispatcher.binding.read_answer,
            progress=self._progress if is_stream else None,
            on_metadata=lambda metadata: dispatcher.handle_metadata(server, metadata),
        )
        remaining_ms = max(1, int(self._limit_at_ms - dispatcher.now_ms))
        headers = dispatcher.binding.server_headers(
            self._request,
            server=server,
            team=team,
            remaining_ms=remaining_ms,
            resume_after=self._progress.last_id,
            cache_source=dispatcher.find_cache_source(route, self._metadata, server),
        )
        dispatcher.record_sent(server)
        self._sent_to.add(server.key)
        self._sent_at_ms = dispatcher.now_ms
        self._responder.record_sent(self._sent_at_ms)
        connection.start(
            OutgoingRequest(
                method=self._request.method,
                target=self._request.target,
                headers=headers,
                body=self._request.body,
            ),
            attempt,
        )
        try:
            result = await self._wait_for_result(route, attempt)
        except asyncio.CancelledError:
            connection.abort()
            self._evaluate_disconnect(route, server, attempt)
            raise
        if not attempt.done.done():
            connection.abort()
        self._evaluate_result(route, server, attempt, result)
        dispatcher.prompts.record_attempt(self._guard, server, attempt, result)
        return result

    async def _wait_for_result(self, route: Route, attempt: Attempt) -> AttemptResult:
        dispatcher = self._dispatcher
        can_retry = route.may_repeat and len(self._sent_to) < route.max_servers
        idle_timeout_ms = float("inf")
        if can_retry:
            idle_timeout_ms = IDLE_TIMEOUT_TARGETS * route.target_ms
        loop = asyncio.get_running_loop()
        while True:
            timeout_ms = self._limit_at_ms - dispatcher.now_ms
            if can_retry:
                if self._progress.has_begun:
                    idle_timeout_ms = max(
                        STREAM_IDLE_TIMEOUT_MS,
                        STREAM_IDLE_TIMEOUT_PAUSES * route.max_pause_ms,
                    )
                idle_ms = (loop.time() - attempt.progress_at) * 1_000
                timeout_ms = min(timeout_ms, idle_timeout_ms - idle_ms)
            if timeout_ms > 0:
                await asyncio.wait([attempt.done], timeout=timeout_ms / 1_000)
            if attempt.done.done():
                return attempt.done.result()
            now_ms = dispatcher.now_ms
            idle_ms = (loop.time() - attempt.progress_at) * 1_000
            if now_ms >= self._limit_at_ms or idle_ms >= idle_timeout_ms:
                reason = f"no progress for {idle_ms:.0f} ms"
                failure = ExchangeFailure(
                    kind=FailureKind.STALLED,
                    reason=reason,
                    has_answer=attempt.has_head,
                )
                return Broken(failure=failure)

    def _deliver(self, route: Route, result: AttemptResult) -> bool:
        match result:
            case CompleteAnswer(head=head):
                is_error = head.status >= STATUS_SERVER_ERROR
                self._execution_status = ExecutionStatus.ERROR_ANSWER
                if is_error and route.may_repeat:
                    self._may_have_run = True
                    if self._may_retry(route):
                        return False
                if self._progress.has_begun:
                    self._responder.abort(f"the resume was answered with {head.status}")
                    return True
                self._responder.send_answer(result)
                return True
            case StreamEnded():
                self._responder.record_stream_end()
                return True
            case NotRun():
                self._execution_status = ExecutionStatus.NOT_RUN
                return False
            case BadAnswer() | Broken():
                self._execution_status = ExecutionStatus.MAY_HAVE_RUN
                self._may_have_run = True
                return False

    def _evaluate_result(
        self,
        route: Route,
        server: BackendServer,
        attempt: Attempt,
        result: AttemptResult,
        *,
        is_expired: bool = False,
    ) -> None:
        now_ms = self._dispatcher.now_ms
        waited_ms = now_ms - self._sent_at_ms
        is_late = waited_ms > SILENT_TARGETS * route.target_ms
        found = classify_outcome(
            result,
            is_expired=is_expired or now_ms >= self._limit_at_ms,
            is_silent=is_late and not attempt.has_head,
            waited_ms=waited_ms,
        )
        if found is None:
            return
        outcome, reason = found
        if outcome is ServerOutcome.FULL:
            self._overloaded.add(server.key)
        self._record_outcome(server, outcome, reason, attempt)

    def _evaluate_disconnect(
        self, route: Route, server: BackendServer, attempt: Attempt
    ) -> None:
        # A caller that disconnects for lack of an answer is evidence of an unresponsive
        # server.
        failure = ExchangeFailure(
            kind=FailureKind.CLOSED,
            reason="caller disconnected",
            has_answer=attempt.has_head,
        )
        result = Broken(failure=failure)
        self._evaluate_result(route, server, attempt, result, is_expired=True)

    def _record_outcome(
        self,
        server: BackendServer,
        outcome: ServerOutcome,
        reason: str,
        attempt: Attempt | None = None,
    ) -> None:
        dispatcher = self._dispatcher
        if outcome is not ServerOutcome.GOOD:
            dispatcher.log.warn(
                "attempt_failed",
                request_id=self._metadata.request_id,
                backend_server=server.server_id,
                data_centre=server.data_centre,
                causes=[
                    {
                        "code": outcome.value,
                        "sentence": outcome.sentence,
                        "subject": server.server_id,
                    }
                ],
                detail=reason,
                load=round(dispatcher.loads.estimate(server.key, dispatcher.now_ms)),
                wait_ms=round(dispatcher.now_ms - self._sent_at_ms)
                if self._responder.n_sent
                else 0,
                **describe_prompt(self._metadata, attempt),
            )
        dispatcher.record_outcome(server, outcome)

    def _refuse_crashing(self) -> bool:
        part = self._guard.find_rejected(self._dispatcher.now_ms)
        if not part:
            return False
        detail = f"prompt part {part}"
        if self._may_have_run:
            self._refuse_after(self._last_result, detail)
        else:
            self._responder.refuse(PROMPT_REJECTED, detail)
        return True

    def _refuse_unserved(self) -> None:
        if self._responder.n_sent:
            self._refuse_after(self._last_result, NO_OTHER_SERVER)
            return
        cause, retry_after_ms = RefusalCause.NO_SERVER, RETRY_AFTER_NO_SERVER_MS
        pause_ms = self._find_retry_after_ms()
        if pause_ms is not None:
            cause, retry_after_ms = RefusalCause.SERVERS_PAUSED, pause_ms
        self._responder.refuse(
            Refusal(status=503, cause=cause, retry_after_ms=retry_after_ms),
            self._requirements.service,
        )

    def _find_retry_after_ms(self) -> int | None:
        pause_ms = self._dispatcher.find_pause_ms(self._requirements)
        if pause_ms is None:
            return None
        return self._dispatcher.spread_retry_after(pause_ms)

    def _refuse_after(self, result: AttemptResult, reason: str) -> None:
        if self._progress.has_begun:
            self._responder.abort(f"the stream was not resumed: {reason}")
            return
        match result:
            case CompleteAnswer():
                self._responder.send_answer(result)
            case NotRun() | BadAnswer() | Broken():
                refusal, detail = find_refusal(
                    result,
                    may_have_run=self._may_have_run,
                    is_expired=self._dispatcher.now_ms >= self._limit_at_ms,
                    pause_ms=self._find_retry_after_ms(),
                )
                self._responder.refuse(refusal, detail)
            case StreamEnded():
                # The stream has ended as complete; nothing is left to send.
                pass
