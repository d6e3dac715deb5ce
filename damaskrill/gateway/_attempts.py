"""Attempts of one request at servers, and the hand-over between two of them."""

import asyncio
from typing import TYPE_CHECKING, Any

from attrs import evolve, frozen

from damaskrill.catalog import BackendServer, RequestKind, Route, Team
from damaskrill.gateway._attempt import (
    Attempt,
    AttemptResult,
    Broken,
    Stalled,
    StreamProgress,
)
from damaskrill.gateway._attempt_records import AttemptRecords
from damaskrill.gateway._buffers import AnswerBuffer
from damaskrill.gateway._events import parse_first_event_id
from damaskrill.gateway._peer_relay import peer_key
from damaskrill.gateway._peer_report import PeerReport
from damaskrill.gateway._request_slots import RequestSlots
from damaskrill.gateway._responder import Responder
from damaskrill.gateway._sent_request import SentRequest
from damaskrill.gateway._stream_binding import StreamBinding, StreamStart
from damaskrill.gateway._stream_versions import FoundOrigin, OriginSource
from damaskrill.http1 import (
    CallerRequest,
    ExchangeFailure,
    FailureKind,
    Headers,
    OutgoingRequest,
    ServerConnection,
)
from damaskrill.mesh import MemberEntry
from damaskrill.steering import (
    AnswerMetadata,
    CrashGuard,
    RequestMetadata,
    ServerAllowance,
    ServerOutcome,
    ServerRequirements,
    early_budget_fraction,
    effective_priority,
    short_server_id,
    silence_limit_ms,
)

if TYPE_CHECKING:
    from damaskrill.gateway._dispatcher import RequestDispatcher

__all__ = ["AttemptContext", "RequestAttempts"]

# Interval at which another server is sought while the present one is silent.
SILENCE_POLL_MS = 100
# Time below which no other server could answer.
MIN_HANDOVER_MS = 50


@frozen(kw_only=True)
class AttemptContext:
    """What all attempts of a request have in common.

    Parameters
    ----------
    route : Route
        The request's route.
    team : Team or None
        The caller's team.
    requirements : ServerRequirements
        Requirements on its first server.
    limit_at_ms : float
        Time at which the request ends without an answer, in milliseconds.
    origin_source : OriginSource
        By which evidence the origin of a stream that it takes up is known.
    """

    route: Route
    team: Team | None
    requirements: ServerRequirements
    limit_at_ms: float
    origin_source: OriginSource = OriginSource.UNKNOWN


class RequestAttempts:
    """Sends a request to one server after the other.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        State that all exchanges share.
    request : CallerRequest
        The complete request.
    metadata : RequestMetadata
        Metadata of the request.
    progress : StreamProgress
        Forwards the events of a stream.
    responder : Responder
        Sender of the final answer.
    allowance : ServerAllowance
        Servers that the request has reached, also through peers, and may still reach.
    slots : RequestSlots
        Slots of the request.

    Attributes
    ----------
    sent_to, overloaded : set of tuple of (str, int)
        Incarnations that received the request from this router, and those that were
        full.
    held : SentRequest or None
        Attempt at a silent server. It goes on unless another server accepts the
        request.

    Notes
    -----
    A sound server may be silent for a while. Therefore an attempt is only ended for
    another one that has a server, a connection and a retry of the budget, and that was
    not refused. `begin` precedes the first attempt.
    """

    _context: AttemptContext
    _requirements: ServerRequirements
    _guard: CrashGuard
    _records: AttemptRecords
    _origin_source: OriginSource

    def __init__(
        self,
        *,
        dispatcher: "RequestDispatcher",
        request: CallerRequest,
        metadata: RequestMetadata,
        progress: StreamProgress,
        responder: Responder,
        allowance: ServerAllowance,
        slots: RequestSlots,
    ) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._metadata = metadata
        self._progress = progress
        self._responder = responder
        self._reserved: BackendServer | None = None
        # Whether the held attempt is at a server that is merely slow.
        self._is_early = False
        self._stream_binding = StreamBinding(
            streams=dispatcher.streams,
            incarnations=dispatcher.incarnations,
            stream_id=metadata.stream_id,
        )
        self._allowance = allowance
        self._slots = slots
        self._tried: set[tuple[str, int]] = set()
        # Short hashes of the servers that the request has reached at other routers.
        self._reached_elsewhere: frozenset[int] = frozenset()
        self.sent_to: set[tuple[str, int]] = set()
        self.overloaded: set[tuple[str, int]] = set()
        self.held: SentRequest | None = None

    def begin(self, context: AttemptContext, guard: CrashGuard) -> None:
        """Set what the attempts have in common, and what is known of crashes."""
        self._context = context
        self._requirements = context.requirements
        self._origin_source = context.origin_source
        self._guard = guard
        self._reached_elsewhere = self._allowance.reached
        self._records = AttemptRecords(
            dispatcher=self._dispatcher,
            metadata=self._metadata,
            team=context.team.name if context.team else "",
        )

    @property
    def tried(self) -> set[tuple[str, int]]:
        """Incarnations that were selected here or at another router, and peers.

        Notes
        -----
        A server that another router has reached may be listed later than the request
        comes.
        """
        if self._reached_elsewhere:
            servers = self._dispatcher.catalog.find_all_servers(self._responder.service)
            self._tried.update(
                each.key
                for each in servers
                if short_server_id(each.key) in self._reached_elsewhere
            )
        return self._tried

    @property
    def requirements(self) -> ServerRequirements:
        """Requirements on the next server."""
        may_follow = self._context.route.may_repeat and self._allowance.n_left > 1
        if may_follow != self._requirements.is_last:
            return self._requirements
        return evolve(self._requirements, is_last=not may_follow)

    @property
    def is_held_revived(self) -> bool:
        """Whether the held attempt has made progress."""
        return self.held is not None and self.held.is_revived

    def take_reserved(self) -> BackendServer | None:
        """Return the server that was reserved when the present one fell silent."""
        reserved, self._reserved = self._reserved, None
        return reserved

    def forget_overloaded(self) -> None:
        """Make the servers that were full eligible again."""
        self._tried -= self.overloaded
        self.overloaded.clear()

    async def try_server(self, server: BackendServer) -> AttemptResult | None:
        """Send the request to a server and return the result.

        Returns
        -------
        AttemptResult or None
            None if the request was not sent. If a held attempt makes progress before
            the server accepts the request, the result of the held attempt.
        """
        self._responder.record_server(server)
        self._tried.add(server.key)
        dispatcher = self._dispatcher
        dispatcher.loads.start(server.key)
        # Other requests may be assigned while the connection is being opened.
        acquired_at_ms = dispatcher.throttle.acquire(server, dispatcher.now_ms)
        sent = None
        try:
            connection = await self._connect(server)
            if connection is not None and not self.is_held_revived:
                sent = self._send(server, connection)
                dispatcher.throttle.record_sent(
                    server, acquired_at_ms, dispatcher.now_ms
                )
        finally:
            if sent is None:
                dispatcher.loads.end(server.key)
                dispatcher.throttle.release(server, acquired_at_ms)
                self._slots.discard(server)
        if sent is None:
            if connection is not None:
                self._dispatcher.pool.release(server.key, connection)
            return None
        if self.held is not None:
            try:
                does_held_go_on = await self._does_held_go_on(self.held, sent)
            except BaseException:
                self._end(sent)
                raise
            if does_held_go_on:
                self._end(sent)
                return await self.resume_held(self.held)
        return await self._wait_for_end(sent)

    async def try_peer(self, peer: MemberEntry) -> AttemptResult | None:
        """Send the request through a peer; return None if it was not sent."""
        dispatcher, context = self._dispatcher, self._context
        self._tried.add(peer_key(peer))
        remaining_ms = max(1, int(context.limit_at_ms - dispatcher.now_ms))
        connection = await dispatcher.relay.connect(peer, remaining_ms)
        if connection is None:
            return None
        is_stream = context.route.kind is RequestKind.STREAM
        report = PeerReport(dispatcher.binding.read_peer_events)
        attempt = Attempt(
            request_id=self._metadata.request_id,
            read_answer=dispatcher.binding.read_peer_answer,
            progress=self._progress if is_stream else None,
            on_metadata=report.read_metadata,
            on_forward=_ignore_events,
            buffer=AnswerBuffer(budget=dispatcher.buffer_budget),
            read_events=report.read_events,
        )
        headers = dispatcher.binding.peer_headers(
            self._request,
            remaining_ms=max(1, int(context.limit_at_ms - dispatcher.now_ms)),
            resume_after=self._progress.last_id,
            stream_id=self._metadata.stream_id,
            text_version=dispatcher.catalog.text_version,
            grant=self._allowance.lend(),
            proof=str(peer.hop_proof) if peer.hop_proof else "",
        )
        self._responder.record_sent(dispatcher.now_ms)
        connection.start(
            self._build_request(headers), attempt, request_id=self._metadata.request_id
        )
        try:
            result = await self._wait_for_result(attempt, may_hand_over=False)
        finally:
            if not attempt.has_ended:
                connection.abort()
        self._allowance.settle(report.find_grant(result))
        if not isinstance(result, Broken):
            # Otherwise the peer has failed, and its servers may be sound.
            own = {short_server_id(key) for key in self.sent_to}
            self._reached_elsewhere = self._allowance.reached - own
        return result

    async def resume_held(self, held: SentRequest) -> AttemptResult:
        """Go on with the held attempt and return its result."""
        self.held = None
        self._responder.server = held.server
        held.attempt.release()
        return await self._wait_for_end(held)

    def end_held(self) -> None:
        """End the held attempt, if there is one."""
        held, self.held = self.held, None
        if held is not None:
            self._end(held)

    async def _connect(self, server: BackendServer) -> ServerConnection | None:
        dispatcher = self._dispatcher
        request_id = self._metadata.request_id
        connection = dispatcher.pool.acquire_idle(
            server.key,
            request_id=request_id,
            may_repeat=self._context.route.may_repeat,
        )
        if connection is not None:
            return await self._check_process(server, connection)
        remaining_ms = max(1.0, self._context.limit_at_ms - dispatcher.now_ms)
        try:
            connection = await dispatcher.pool.open(
                server.key, server.address, limit_ms=remaining_ms
            )
        except OSError as error:
            # A connect that the request's own limit ended says nothing of the server.
            if dispatcher.now_ms < self._context.limit_at_ms:
                self._records.record(server, ServerOutcome.NO_CONNECTION, str(error))
                dispatcher.relay.record_failure(server)
            return None
        if dispatcher.catalog.is_usable(server.key):
            return await self._check_process(server, connection)
        # It became unusable while the connection was being opened.
        connection.abort()
        return None

    async def _check_process(
        self, server: BackendServer, connection: ServerConnection
    ) -> ServerConnection | None:
        """Return the connection if a begun stream may go on there."""
        origin = self._requirements.origin
        if origin is None:
            return connection
        try:
            has_origin = await self._stream_binding.has_origin(
                server, connection.opened_at_ms, origin
            )
        except BaseException:
            connection.abort()
            raise
        is_usable = self._dispatcher.catalog.is_usable(server.key)
        if has_origin and is_usable and connection.is_open:
            return connection
        connection.abort()
        return None

    def _send(self, server: BackendServer, connection: ServerConnection) -> SentRequest:
        dispatcher, context = self._dispatcher, self._context
        is_stream = context.route.kind is RequestKind.STREAM
        start: StreamStart | None = None
        if context.route.is_resumable:
            origin = self._requirements.origin
            start = self._stream_binding.start(server, connection, origin)
        is_first = True

        def read_metadata(metadata: AnswerMetadata) -> None:
            if not metadata.request_id:
                self._record_unnamed(connection, metadata)
            dispatcher.engines.record_begun(attempt)
            dispatcher.handle_metadata(server, metadata)

        def handle_events(events: bytes) -> None:
            nonlocal is_first
            if start is not None and not self._progress.has_begun:
                self._bind_stream(start)
            if is_first:
                is_first = False
                self._record_going_on(server, events)

        attempt = Attempt(
            request_id=self._metadata.request_id,
            read_answer=dispatcher.binding.read_answer,
            progress=self._progress if is_stream else None,
            on_metadata=read_metadata,
            on_forward=handle_events,
            buffer=AnswerBuffer(budget=dispatcher.buffer_budget),
        )
        need = dispatcher.engines.find_need(
            server, self._requirements, dispatcher.now_ms
        )
        headers = dispatcher.binding.server_headers(
            self._request,
            server=server,
            team=context.team,
            remaining_ms=max(1, int(context.limit_at_ms - dispatcher.now_ms)),
            resume_after=self._progress.last_id,
            cache_source=dispatcher.find_cache_source(
                context.route,
                self._metadata,
                server,
                # An engine that failed or is silent may not send its cache either.
                excluded=self.tried - {server.key},
            ),
            urgency=dispatcher.engines.find_urgency(
                server,
                context.route,
                context.team,
                self._metadata,
                was_sent=bool(self._allowance.reached),
            ),
        )
        self.sent_to.add(server.key)
        self._allowance.record_sent(short_server_id(server.key))
        if self._metadata.grant is not None and self._progress.has_begun:
            # The router that granted it must know even if this one ends meanwhile.
            report = self._allowance.report()
            self._progress.send_to_router(dispatcher.binding.grant_event(report))
        self._responder.n_servers = len(self.sent_to)
        sent_at_ms = dispatcher.now_ms
        self._responder.record_sent(sent_at_ms)
        connection.start(
            self._build_request(headers), attempt, request_id=self._metadata.request_id
        )
        dispatcher.engines.start(
            attempt,
            server,
            need,
            request_id=self._metadata.request_id,
            now_ms=sent_at_ms,
        )
        return SentRequest(
            server=server,
            attempt=attempt,
            connection=connection,
            sent_at_ms=sent_at_ms,
        )

    def _record_unnamed(
        self, connection: ServerConnection, metadata: AnswerMetadata
    ) -> None:
        # All answers to a request without an ID lack it, and an address that belongs to
        # another server is of no use.
        is_named = bool(self._metadata.request_id)
        is_refusal = metadata.is_not_run and not metadata.is_other_server
        connection.record_unnamed(is_refusal=is_named and is_refusal)

    def bind_origin(self, found: FoundOrigin) -> None:
        """Require servers at which a stream with this origin may go on."""
        self._requirements = evolve(self._requirements, origin=found.origin)
        self._origin_source = found.source

    async def confirm_origin(self) -> bool:
        """Return whether the origin of the begun stream is certain."""
        return await self._stream_binding.confirm()

    def _bind_stream(self, start: StreamStart) -> None:
        # What two software versions write does not fit together.
        if not start.is_resumed:
            source = OriginSource.THIS_ROUTER
            self.bind_origin(FoundOrigin(origin=start.origin, source=source))
        self._stream_binding.record_begun(start)

    def _record_going_on(self, server: BackendServer, events: bytes) -> None:
        last_event = self._progress.last_id
        if last_event is None:
            last_event = self._metadata.last_event_id
        if last_event is not None:
            self._records.record_going_on(
                server,
                last_event=last_event,
                first_event=parse_first_event_id(events),
                origin=self._requirements.origin,
                evidence=self._origin_source.value,
            )

    def _build_request(self, headers: Headers) -> OutgoingRequest:
        return OutgoingRequest(
            method=self._request.method,
            target=self._request.target,
            headers=headers,
            body=self._request.body,
        )

    async def _does_held_go_on(self, held: SentRequest, sent: SentRequest) -> bool:
        futures: list[asyncio.Future[Any]] = [
            sent.attempt.done,
            sent.attempt.accepted,
            held.attempt.revived,
            held.attempt.done,
        ]
        # Neither attempt is ended for the silence of the other one. An engine runs a
        # request from the head of its answer on, so that both do not run it for long.
        remaining_ms = max(0.0, self._context.limit_at_ms - self._dispatcher.now_ms)
        await asyncio.wait(
            futures,
            timeout=remaining_ms / 1_000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if sent.is_accepted:
            if not self._is_early:
                self._records.record_stalled(held)
            self.end_held()
        elif held.is_failed and not sent.is_refused:
            self.held = None
            await self._wait_for_end(held)
        return self.held is not None and held.is_revived

    async def _wait_for_end(self, sent: SentRequest) -> AttemptResult:
        try:
            result = await self._wait_for_result(sent.attempt)
        except asyncio.CancelledError:
            self._end(sent)
            self._evaluate_disconnect(sent)
            raise
        except Exception:
            # Otherwise its events would reach the caller's next request.
            self._end(sent)
            raise
        if isinstance(result, Stalled):
            sent.attempt.hold()
            self.held = sent
            return result
        self._end(sent)
        is_expired = self._dispatcher.now_ms >= self._context.limit_at_ms
        self._evaluate(sent, result, is_expired=is_expired)
        self._dispatcher.crashes.record_attempt(self._guard, sent, result)
        return result

    def _end(self, sent: SentRequest) -> None:
        if not sent.attempt.has_ended:
            sent.connection.abort()
        self._dispatcher.loads.end(sent.server.key)
        self._dispatcher.engines.end(sent.attempt)
        self._slots.end(sent)

    async def _wait_for_result(
        self, attempt: Attempt, *, may_hand_over: bool = True
    ) -> AttemptResult:
        dispatcher, limit_at_ms = self._dispatcher, self._context.limit_at_ms
        loop = asyncio.get_running_loop()
        is_uneven = dispatcher.is_uneven(self._requirements.service)
        while not attempt.done.done():
            idle_ms = (loop.time() - attempt.progress_at) * 1_000
            remaining_ms = wait_ms = limit_at_ms - dispatcher.now_ms
            if (
                may_hand_over
                and self._may_hand_over
                and remaining_ms >= MIN_HANDOVER_MS
            ):
                silence_ms = silence_limit_ms(
                    self._context.route,
                    has_begun=self._progress.has_begun,
                    remaining_ms=remaining_ms + idle_ms,
                    is_uneven=is_uneven,
                )
                is_early = idle_ms < self._context.route.target_ms and is_uneven
                if idle_ms >= silence_ms and self._reserve_server(is_early=is_early):
                    return Stalled(idle_ms=idle_ms)
                wait_ms = min(wait_ms, max(silence_ms - idle_ms, SILENCE_POLL_MS))
            if wait_ms > 0:
                await asyncio.wait([attempt.done], timeout=wait_ms / 1_000)
            if not attempt.done.done() and dispatcher.now_ms >= limit_at_ms:
                failure = ExchangeFailure(
                    kind=FailureKind.STALLED,
                    reason=f"no progress for {idle_ms:.0f} ms",
                    has_answer=attempt.has_head,
                )
                return Broken(failure=failure)
        return attempt.done.result()

    @property
    def _may_hand_over(self) -> bool:
        return self._context.route.may_repeat and self._allowance.n_left > 0

    def _reserve_server(self, *, is_early: bool = False) -> bool:
        dispatcher, requirements = self._dispatcher, self.requirements
        if self._guard.is_blocked(dispatcher.now_ms):
            return False
        # The selection counts a request for the prompt, so it comes second.
        fraction = 1.0
        if is_early:
            fraction = early_budget_fraction(
                effective_priority(self._context.route, self._context.team)
            )
        if not dispatcher.can_acquire_retry(requirements.service, fraction=fraction):
            return False
        server = dispatcher.select(requirements, tried=self.tried, only_healthy=True)
        if server is None or not dispatcher.try_acquire_retry(server.service):
            return False
        self._reserved, self._is_early = server, is_early
        return True

    def _evaluate(
        self, sent: SentRequest, result: AttemptResult, *, is_expired: bool
    ) -> None:
        outcome = self._records.evaluate(
            sent,
            result,
            target_ms=self._context.route.target_ms,
            is_expired=is_expired,
        )
        if outcome is not None and not sent.attempt.has_head:
            self._dispatcher.relay.record_failure(sent.server)
        if outcome is ServerOutcome.FULL:
            self.overloaded.add(sent.server.key)

    def _evaluate_disconnect(self, sent: SentRequest) -> None:
        # A caller that disconnects for lack of an answer is evidence of an unresponsive
        # server.
        failure = ExchangeFailure(
            kind=FailureKind.CLOSED,
            reason="caller disconnected",
            has_answer=sent.attempt.has_head,
        )
        self._evaluate(sent, Broken(failure=failure), is_expired=True)


def _ignore_events(_: bytes) -> None:
    """Leave the record of the stream's version to the peer."""
