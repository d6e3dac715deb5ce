"""Handling of one caller's request from its arrival to its final answer."""

import asyncio
from typing import TYPE_CHECKING

from damaskrill.catalog import BackendServer, Route, Team
from damaskrill.feed import STARTUP_BACKOFF_MS
from damaskrill.gateway._attempt import (
    AttemptResult,
    BadAnswer,
    Broken,
    CompleteAnswer,
    NotRun,
    Stalled,
    StreamEnded,
    StreamProgress,
)
from damaskrill.gateway._attempts import AttemptContext, RequestAttempts
from damaskrill.gateway._crash_blocking import build_refusal
from damaskrill.gateway._outcomes import find_refusal, find_run_refusal
from damaskrill.gateway._request_slots import RequestSlots
from damaskrill.gateway._responder import Responder
from damaskrill.gateway._stream_versions import FoundOrigin
from damaskrill.http1 import CallerConnection, CallerRequest, Headers
from damaskrill.mesh import MemberEntry
from damaskrill.steering import (
    FULL_RETRY_DELAY_MS,
    UNKNOWN_SENDER_GRANT,
    CrashGuard,
    ExecutionStatus,
    Refusal,
    RefusalCause,
    RetryState,
    ServerAllowance,
    ServerRequirements,
    expected_output,
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
# Twice the longest pause between two calls to a store that is busy at start-up.
START_WAIT_MS = 2 * STARTUP_BACKOFF_MS
# While the store is unavailable, a router that has started waits for its return.
RETRY_AFTER_START_MS = 1_000
# The caller's next connection goes to another router.
RETRY_AFTER_STOPPING_MS = 20
# Servers start and leave within seconds; callers wait a third of their time at most.
RETRY_AFTER_NO_SERVER_MS = 500
STATUS_MULTIPLE = 300
STATUS_SERVER_ERROR = 500
# Why a request was not sent to another server, as logged.
NO_RETRY_BUDGET = "the retry budget is used up"
NO_RETRY_ALLOWED = "the route allows no further server, or no time is left"
NO_OTHER_SERVER = "no other server is available"
NO_SLOT = "the service has no slot for it in time"
UNKNOWN_VERSION = "the software version that began it is not known"
SUSPECTED_REQUEST = "another server crashed under it or a part of its prompt"


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
        self._metadata = dispatcher.read_request(request)
        self._progress = StreamProgress(connection)
        grant = self._metadata.grant or UNKNOWN_SENDER_GRANT
        self._allowance = ServerAllowance(
            grant=grant if self._metadata.is_relayed else None
        )
        if self._metadata.is_relayed:
            connection.extra_headers = self._report_servers
        self._responder = Responder(
            dispatcher=dispatcher,
            connection=connection,
            progress=self._progress,
            request_id=self._metadata.request_id,
            arrived_at_ms=request.arrived_at_ms,
            allowance=self._allowance,
            sender=connection.peer_host if self._metadata.is_relayed else "",
        )
        self._slots = RequestSlots(
            dispatcher=dispatcher,
            metadata=self._metadata,
            arrived_at_ms=request.arrived_at_ms,
        )
        self._attempts = RequestAttempts(
            dispatcher=dispatcher,
            request=request,
            metadata=self._metadata,
            progress=self._progress,
            responder=self._responder,
            allowance=self._allowance,
            slots=self._slots,
        )
        self._guard: CrashGuard | None = None
        self._may_have_run = False
        self._stop_reason = ""
        self._execution_status = ExecutionStatus.NOT_SENT
        self._last_result: AttemptResult = NotRun(status=503)
        self._limit_at_ms = 0.0

    async def run(self) -> None:
        """Serve the request; cancellation means that the caller has disconnected."""
        try:
            await self._serve()
        except asyncio.CancelledError:
            if self._dispatcher.is_exiting:
                self._refuse_at_exit()
            else:
                self._responder.record_caller_left()
        except Exception as error:
            self._dispatcher.log.warn(
                "internal_error",
                request_id=self._metadata.request_id,
                sentence=f"{type(error).__name__}: {error}"[:300],
            )
            self._responder.refuse_or_abort(
                Refusal(status=500, cause=RefusalCause.INTERNAL_ERROR)
            )
        finally:
            self._attempts.end_held()
            self._slots.close()
            if self._guard is not None:
                self._guard.close()

    def _report_servers(self) -> Headers:
        return self._dispatcher.binding.grant_headers(self._allowance.report())

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
        if configuration.version < metadata.min_text_version:
            # The sender has served by the newer version already.
            self._responder.refuse(
                Refusal(
                    status=503,
                    cause=RefusalCause.CONFIGURATION_OUTDATED,
                    retry_after_ms=START_WAIT_MS,
                )
            )
            return
        route = configuration.find_route(metadata.host, metadata.path)
        if route is None:
            self._responder.refuse(Refusal(status=404, cause=RefusalCause.NO_ROUTE))
            return
        team: Team | None = None
        if configuration.needs_key and not route.is_public:
            team = configuration.find_team(metadata.key)
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
        # The same holds for one that lags behind the router that sent the request.
        until_ms = self._request.arrived_at_ms + START_WAIT_MS
        catalog, version = self._dispatcher.catalog, self._metadata.min_text_version
        while (
            not (catalog.is_complete and catalog.text_version >= version)
            and self._dispatcher.now_ms < until_ms
        ):
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)

    async def _send_until_answered(self, route: Route, team: Team | None) -> None:
        dispatcher = self._dispatcher
        self._responder.route = route
        self._allowance.restrict(route.max_servers)
        self._limit_at_ms = self._request.arrived_at_ms + self._find_limit_ms(route)
        is_relayed = self._metadata.is_relayed
        if not dispatcher.can_finish(self._limit_at_ms, is_relayed=is_relayed):
            self._responder.refuse(
                Refusal(
                    status=503,
                    cause=RefusalCause.STOPPING,
                    retry_after_ms=RETRY_AFTER_STOPPING_MS,
                )
            )
            return
        stream_id = self._metadata.stream_id if route.is_resumable else ""
        service = self._responder.service = dispatcher.pick_service(route, stream_id)
        if not self._metadata.is_relayed:
            # The router that sent it has counted it.
            dispatcher.budget.record_request(service, dispatcher.now_ms)
        found = FoundOrigin()
        if route.is_resumable and self._metadata.is_resumed:
            found = await self._find_origin(service)
            if found.origin is None:
                return
        requirements = ServerRequirements(
            service=service,
            affinity_keys=self._metadata.affinity_keys if route.has_prompt else (),
            route_regions=route.regions,
            team_regions=team.regions if team else None,
            origin=found.origin,
            prompt=self._metadata.prompt if route.has_prompt else (),
            n_output_tokens=expected_output(
                self._metadata.length_hint, self._metadata.n_output_tokens
            ),
        )
        attempts = self._attempts
        guard = self._guard = dispatcher.crashes.guard(self._metadata, team)
        attempts.begin(
            AttemptContext(
                route=route,
                team=team,
                requirements=requirements,
                limit_at_ms=self._limit_at_ms,
                origin_source=found.source,
            ),
            guard,
        )
        while True:
            if self._refuse_crashing(guard):
                return
            peer = self._choose_peer(route, guard)
            if peer is not None:
                if await self._relay(route, peer):
                    return
                continue
            server = await self._choose_server(route, team, guard)
            if self._refuse_crashing(guard):
                return
            if server is not None and not guard.find_rejection(dispatcher.now_ms):
                result = await attempts.try_server(server)
                if result is None:
                    continue
            elif attempts.held is not None:
                result = await attempts.resume_held(attempts.held)
            else:
                self._refuse_unserved()
                return
            if self._deliver(route, result):
                return
            self._last_result = result

    def _choose_peer(self, route: Route, guard: CrashGuard) -> MemberEntry | None:
        """Return the peer to send the request through; None to send it directly."""
        dispatcher, attempts = self._dispatcher, self._attempts
        relay = dispatcher.relay
        is_needed = relay.is_needed or relay.is_trial_due(
            has_failed=bool(attempts.tried)
        )
        if not is_needed or self._metadata.is_relayed or attempts.held is not None:
            return None
        n_sent = self._responder.n_sent
        if n_sent and guard.is_suspected:
            return None
        peer = relay.choose_peer(attempts.tried, self._allowance)
        if peer is None or not n_sent:
            return peer
        service = attempts.requirements.service
        is_allowed = self._may_retry(route) and dispatcher.try_acquire_retry(service)
        return peer if is_allowed else None

    async def _relay(self, route: Route, peer: MemberEntry) -> bool:
        """Send the request through a peer; return whether it has ended."""
        relay = self._dispatcher.relay
        is_trial = not relay.is_needed
        with relay.count_relayed():
            result = await self._attempts.try_peer(peer)
        if result is None:
            return False
        self._dispatcher.log.write(
            "request_relayed",
            request_id=self._metadata.request_id,
            peer=peer.address,
            n_servers_in_all=self._allowance.n_spent,
        )
        if isinstance(result, NotRun) and not self._may_have_run:
            self._responder.refuse(
                Refusal(
                    status=503,
                    cause=RefusalCause.PEER_REFUSED,
                    retry_after_ms=None
                    if result.pause_ms is None
                    else round(result.pause_ms),
                ),
                peer.address,
            )
            return True
        if isinstance(result, CompleteAnswer | StreamEnded):
            relay.record_relayed()
        self._last_result = result
        if self._deliver(route, result):
            return True
        if is_trial and self._may_have_run:
            # The servers may have failed because of this very request.
            self._stop(SUSPECTED_REQUEST)
            self._refuse_after(result)
            return True
        return False

    def _stop(self, reason: str) -> None:
        """Let the request reach no further server, at no other router either."""
        self._stop_reason = reason
        self._allowance.exhaust()

    async def _find_origin(self, service: str) -> FoundOrigin:
        """Return where the resumed stream began; refuse the request if none serves."""
        streams = self._dispatcher.streams
        stream_id = self._metadata.resumed_request_id
        part_id = self._metadata.last_part_id
        found = await streams.find_origin(stream_id, service, part_id=part_id)
        if found.origin is not None and streams.has_origin(service, found.origin):
            return found
        refusal = Refusal(status=503, cause=RefusalCause.STREAM_VERSION_GONE)
        if found.origin is None:
            refusal = Refusal(
                status=503,
                cause=RefusalCause.STREAM_VERSION_UNKNOWN,
                retry_after_ms=streams.retry_after_ms(service),
            )
        self._responder.refuse(refusal, stream_id)
        return FoundOrigin()

    async def _choose_server(
        self, route: Route, team: Team | None, guard: CrashGuard
    ) -> BackendServer | None:
        reserved = self._attempts.take_reserved()
        if reserved is not None or self._attempts.is_held_revived:
            return reserved
        n_sent = self._responder.n_sent
        may_retry = not n_sent or self._may_retry(route)
        if not may_retry and not await self._wait_for_capacity(route):
            self._stop_reason = NO_RETRY_ALLOWED
            return None
        if n_sent and guard.is_suspected:
            self._stop(SUSPECTED_REQUEST)
            return None
        if not await self._bind_begun_stream(route):
            self._stop_reason = UNKNOWN_VERSION
            return None
        server = await self._choose_slot(route, team)
        if self._slots.refusal is not None:
            self._stop_reason = NO_SLOT
            return None
        while server is None and (server := await self._find_server(route)) is None:
            if not await self._wait_for_capacity(route):
                self._stop_reason = NO_OTHER_SERVER
                return None
        if n_sent and not self._dispatcher.try_acquire_retry(server.service):
            self._stop_reason = NO_RETRY_BUDGET
            self._responder.is_retry_denied = True
            return None
        return server

    async def _choose_slot(
        self, route: Route, team: Team | None
    ) -> BackendServer | None:
        """Return the server at which the request has a slot; None if it needs none."""
        attempts, n_sent = self._attempts, self._responder.n_sent
        service = attempts.requirements.service
        is_barred = not self._allowance.n_left or self._progress.has_begun
        if is_barred or (n_sent and not self._dispatcher.can_acquire_retry(service)):
            return None
        return await self._slots.choose_server(
            route,
            team,
            attempts.requirements,
            tried=attempts.tried,
            limit_at_ms=self._limit_at_ms,
        )

    async def _bind_begun_stream(self, route: Route) -> bool:
        """Find the origin of a begun stream that goes on here, if it is not certain."""
        attempts = self._attempts
        requirements = attempts.requirements
        has_begun = self._progress.has_begun and route.is_resumable
        if not has_begun:
            return True
        if requirements.origin is not None:
            return await attempts.confirm_origin()
        found = await self._dispatcher.streams.find_origin(
            self._metadata.stream_id,
            requirements.service,
            part_id=self._metadata.last_part_id,
        )
        attempts.bind_origin(found)
        return found.origin is not None

    def _may_retry(self, route: Route) -> bool:
        state = RetryState(
            n_servers_left=self._allowance.n_left,
            end=self._execution_status,
            remaining_ms=self._limit_at_ms - self._dispatcher.now_ms,
        )
        return may_retry(route, state, min_remaining_ms=MIN_REMAINING_MS)

    async def _wait_for_capacity(self, route: Route) -> bool:
        # After a pause, the servers that were full may be tried again: the request has
        # not run at any of them. If it may have run elsewhere, it has to be repeatable.
        now_ms = self._dispatcher.now_ms
        is_barred = self._may_have_run and not route.may_repeat
        if not self._attempts.overloaded or is_barred:
            return False
        waiting_since_ms = self._progress.sent_at_ms or self._request.arrived_at_ms
        if not may_retry_full(
            elapsed_ms=now_ms - waiting_since_ms,
            target_ms=route.target_ms,
            remaining_ms=self._limit_at_ms - now_ms,
        ):
            return False
        await asyncio.sleep(FULL_RETRY_DELAY_MS / 1_000)
        self._attempts.forget_overloaded()
        return True

    def _find_limit_ms(self, route: Route) -> float:
        limit_ms = route.time_limit_ms + LIMIT_SLACK_MS
        if self._metadata.deadline_ms is not None:
            return min(limit_ms, self._metadata.deadline_ms)
        return limit_ms

    async def _find_server(self, route: Route) -> BackendServer | None:
        dispatcher, attempts = self._dispatcher, self._attempts
        requirements = attempts.requirements
        until_ms = dispatcher.now_ms + SERVER_WAIT_FRACTION * route.target_ms
        only = None if self._allowance.n_left else attempts.sent_to
        while True:
            server = dispatcher.select(requirements, tried=attempts.tried, only=only)
            is_over = dispatcher.now_ms >= until_ms
            if server is not None or is_over or attempts.overloaded:
                return server
            if not dispatcher.has_origin(requirements):
                return None
            wait = dispatcher.find_wait(requirements, tried=attempts.tried)
            if wait is not None and dispatcher.now_ms + wait.duration_ms > until_ms:
                return None
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)

    def _deliver(self, route: Route, result: AttemptResult) -> bool:
        match result:
            case CompleteAnswer(head=head):
                is_error = head.status >= STATUS_SERVER_ERROR
                self._execution_status = ExecutionStatus.ERROR_ANSWER
                if is_error and route.may_repeat:
                    self._may_have_run = True
                    if self._may_retry(route):
                        return False
                if head.status >= STATUS_MULTIPLE and self._attempts.held is not None:
                    return False
                if self._progress.has_begun:
                    self._responder.abort(f"the resume was answered with {head.status}")
                    return True
                self._send_answer(result)
                return True
            case StreamEnded():
                self._responder.record_stream_end()
                return True
            case NotRun():
                self._execution_status = ExecutionStatus.NOT_RUN
                return False
            case BadAnswer() | Broken() | Stalled():
                self._execution_status = ExecutionStatus.MAY_HAVE_RUN
                self._may_have_run = True
                return False

    def _send_answer(self, answer: CompleteAnswer) -> None:
        route = self._responder.route
        may_repeat = route is not None and route.may_repeat
        refused = find_run_refusal(answer, may_repeat=may_repeat)
        if refused is None:
            self._responder.send_answer(answer)
            return
        echo = self._dispatcher.binding.echo_headers(self._metadata.request_id)
        self._responder.refuse(*refused, extra_headers=echo)

    def _refuse_crashing(self, guard: CrashGuard) -> bool:
        rejection = guard.find_rejection(self._dispatcher.now_ms)
        if rejection is None or self._attempts.held is not None:
            return False
        self._stop(rejection.detail)
        if self._may_have_run:
            self._refuse_after(self._last_result)
        else:
            self._responder.refuse(build_refusal(rejection), rejection.detail)
        return True

    def _refuse_at_exit(self) -> None:
        # What was sent may run on; only a request that was never sent has not run.
        self._responder.refuse(
            Refusal(
                status=502 if self._responder.n_sent else 503,
                cause=RefusalCause.STOPPING,
                retry_after_ms=None
                if self._responder.n_sent
                else RETRY_AFTER_STOPPING_MS,
            ),
            "the process exits",
        )

    def _refuse_unserved(self) -> None:
        without_slot = None if self._may_have_run else self._slots.build_refusal()
        if without_slot is not None:
            self._responder.refuse(*without_slot)
            return
        if self._responder.n_sent:
            self._refuse_after(self._last_result)
            return
        refusal = self._find_wait_refusal() or Refusal(
            status=503,
            cause=RefusalCause.NO_SERVER,
            retry_after_ms=RETRY_AFTER_NO_SERVER_MS,
        )
        self._responder.refuse(refusal, self._attempts.requirements.service)

    def _find_wait_refusal(self) -> Refusal | None:
        wait = self._dispatcher.find_wait(self._attempts.requirements)
        if wait is None:
            return None
        retry_after_ms = self._dispatcher.spread_retry_after(wait.duration_ms)
        return Refusal(status=503, cause=wait.cause, retry_after_ms=retry_after_ms)

    def _refuse_after(self, result: AttemptResult) -> None:
        if self._progress.has_begun:
            self._responder.abort(f"the stream was not resumed: {self._stop_reason}")
            return
        match result:
            case CompleteAnswer():
                self._send_answer(result)
            case NotRun() | BadAnswer() | Broken():
                refusal, detail = find_refusal(
                    result,
                    may_have_run=self._may_have_run,
                    is_expired=self._dispatcher.now_ms >= self._limit_at_ms,
                    wait_refusal=self._find_wait_refusal(),
                )
                self._responder.refuse(refusal, detail)
            case StreamEnded() | Stalled():
                # The stream has ended as complete, or the attempt goes on.
                pass
