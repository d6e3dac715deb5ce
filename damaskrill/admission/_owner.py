"""Admission of attempts to the backend servers that this router owns."""

from collections.abc import Sequence

import attrs

from damaskrill.admission._bound import LoadBound
from damaskrill.admission._control import TRANSIENT_RETRY_AFTER_MS, AdmissionControl
from damaskrill.admission._events import attempt_event, cold_events, server_event
from damaskrill.admission._refusals import find_view_refusal
from damaskrill.admission._seen import SeenAttempts
from damaskrill.admission._server import OwnedServer, RunningAttempt
from damaskrill.base import BaseDecider
from damaskrill.configuration import TeamSpec
from damaskrill.dependencies import OutageTracker
from damaskrill.fairness import QueuedAttempt
from damaskrill.kernel._registry import registry
from damaskrill.messages import (
    AttemptEnded,
    AttemptFailed,
    AttemptQueued,
    AttemptRefused,
    AttemptStarted,
    BackendEnded,
    BackendFailed,
    BackendFirstToken,
    CacheEvents,
    CancelAttempt,
    CancelDispatch,
    Cause,
    CauseCode,
    DispatchAttempt,
    EventName,
    FleetView,
    FleetViewChanged,
    LoadReported,
    MeanLoadKnown,
    Member,
    Message,
    OfferAttempt,
    OpenWork,
    PeerDelivered,
    PeerLost,
    ProcessPaused,
    ReadLoad,
    SendToPeer,
    SpillRecorded,
    StopRequested,
    Tick,
)
from damaskrill.placement._spill_memory import SpillMemory
from damaskrill.utils import check_random_state

__all__ = ["OwnerDecider"]

MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 10_000
PERCENT = 100
# Percentage of a prompt's blocks that the first choice must have cached to serve a
# spilled chat.
MIN_CACHED_PERCENT = 75
READ_INTERVAL_MS = 500
# Bounds the control traffic of a router that owns many servers.
READS_PER_S = 5


@registry.register("decider", "owner")
class OwnerDecider(BaseDecider):
    """Handle the owner's side of each attempt: admission, queue and outcome.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed of the jitter.
    """

    handles = (
        FleetViewChanged,
        OfferAttempt,
        CancelAttempt,
        SpillRecorded,
        BackendFirstToken,
        BackendEnded,
        BackendFailed,
        LoadReported,
        CacheEvents,
        MeanLoadKnown,
        PeerLost,
        ProcessPaused,
        StopRequested,
        Tick,
    )

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own
        self._random = check_random_state(random_state)
        self._view: FleetView | None = None
        self._control = AdmissionControl(own=own)
        self._servers = self._control.servers
        self._means = self._control.means
        self._outages = OutageTracker()
        self._spills = SpillMemory()
        self._seen = SeenAttempts()
        self._server_of_attempt: dict[str, OwnedServer] = {}
        self._is_stopping = False

    @property
    def owned_servers(self) -> list[str]:
        """Names of the backend servers that this router owns."""
        return [server.spec.name for server in self._servers]

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message."""
        match message:
            case PeerDelivered(sender=sender, payload=payload):
                return self._handle_payload(payload, sender, now_ms)
            case FleetViewChanged(view=view):
                return self._apply_view(view, now_ms)
            case BackendFirstToken():
                return self._handle_first_token(message, now_ms)
            case BackendEnded():
                return self._handle_end(message, now_ms)
            case BackendFailed():
                return self._handle_failure(message, now_ms)
            case LoadReported():
                return self._handle_report(message, now_ms)
            case MeanLoadKnown():
                self._means.handle_mean_load(message, now_ms)
                return self._drain_service(message.service, now_ms)
            case CacheEvents():
                server = self._servers.find(message.backend_server)
                if server is not None:
                    server.cache.handle_events(message)
            case PeerLost(peer=peer):
                return self._handle_peer_lost(peer, now_ms)
            case ProcessPaused():
                for server in self._servers:
                    server.handle_pause()
            case StopRequested():
                self._is_stopping = True
            case Tick():
                return self._handle_tick(now_ms)
        return ()

    def _handle_payload(
        self, payload: Message, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        match payload:
            case OfferAttempt():
                return self._handle_offer(payload, sender, now_ms)
            case CancelAttempt(attempt_id=attempt_id):
                return self._cancel(attempt_id, now_ms)
            case SpillRecorded():
                self._spills.record(payload.chat, payload.backend_server)
        return ()

    # The view

    def _apply_view(self, view: FleetView, now_ms: int) -> Sequence[Message]:
        self._view = view
        self._control.apply_view(view, now_ms)
        self._outages.apply_view(view, now_ms)
        results: list[Message] = []
        for server in self._servers.apply_view(view, now_ms):
            results.extend(self._refuse_queued(server, now_ms))
        for server in self._servers:
            results.extend(self._drain(server, now_ms))
        return results

    def _refuse_queued(self, server: OwnedServer, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        for waiting in server.queue.waiting:
            server.queue.remove(waiting.attempt_id)
            cause = find_view_refusal(waiting.offer, self._view, self._own)
            cause = cause or self._not_owner
            results.extend(
                self._refuse(
                    waiting,
                    self._append_outage_causes(waiting, (cause,)),
                    transient=True,
                )
            )
        return results

    @property
    def _not_owner(self) -> Cause:
        return Cause(code=CauseCode.NOT_OWNER, subject=self._own.address)

    def _append_outage_causes(
        self, waiting: QueuedAttempt, causes: tuple[Cause, ...]
    ) -> tuple[Cause, ...]:
        root = self._outages.causes_of_missing(waiting.offer.request.service)
        return (*causes, *root)

    # Admission

    def _handle_offer(
        self, offer: OfferAttempt, entry: Member, now_ms: int
    ) -> Sequence[Message]:
        if not self._seen.add(offer.attempt_id):
            return ()
        waiting = self._build_queued_attempt(offer, entry, now_ms)
        cause = find_view_refusal(offer, self._view, self._own)
        server = self._servers.find(offer.backend_server)
        if cause is None and server is None:
            cause = self._not_owner
        if cause is None and self._is_stopping:
            cause = Cause(code=CauseCode.STOPPING, subject=self._own.address)
        if cause is not None or server is None:
            causes = self._append_outage_causes(
                waiting, (cause,) if cause is not None else ()
            )
            return self._refuse(waiting, causes, transient=True)
        hint = self._find_spill_server(server, waiting, now_ms)
        if hint:
            return self._refuse(waiting, (), hint=hint)
        return self._admit(server, waiting, now_ms)

    def _build_queued_attempt(
        self, offer: OfferAttempt, entry: Member, now_ms: int
    ) -> QueuedAttempt:
        request = offer.request
        team = TeamSpec(name=request.team)
        max_wait_ms = offer.max_wait_ms
        if self._view is not None:
            team = self._view.text.team(request.team)
            if max_wait_ms < 0:
                max_wait_ms = self._view.text.limits.max_queue_wait_ms
            max_wait_ms = min(max_wait_ms, self._view.text.limits.max_queue_wait_ms)
        if request.priority >= 0:
            team = attrs.evolve(team, priority=request.priority)
        return QueuedAttempt(
            offer=offer,
            entry=entry,
            team=team,
            queued_at_ms=now_ms,
            expires_at_ms=now_ms + min(max_wait_ms, offer.remaining_ms),
            deadline_ms=now_ms + offer.remaining_ms,
        )

    def _find_spill_server(
        self, server: OwnedServer, waiting: QueuedAttempt, now_ms: int
    ) -> str:
        """Return the server that has the chat's cache after a spill.

        The result is empty if the chat has not spilled, or if this server can admit the
        request immediately and has at least ``MIN_CACHED_PERCENT`` of it cached.
        """
        offer = waiting.offer
        if not offer.follows_spill or not offer.request.chat:
            return ""
        hint = self._spills.find(offer.request.chat)
        if not hint or hint == server.spec.name:
            return ""
        blocks = offer.request.prefix_blocks
        n_cached = server.cache.count_cached(blocks)
        has_most = n_cached * PERCENT >= MIN_CACHED_PERCENT * max(1, len(blocks))
        bound = self._control.bound(server, now_ms)
        is_free = self._control.can_admit(server, waiting.team, bound, now_ms)
        return "" if has_most and is_free and not server.queue else hint

    def _admit(
        self, server: OwnedServer, waiting: QueuedAttempt, now_ms: int
    ) -> Sequence[Message]:
        bound = self._control.bound(server, now_ms)
        if not server.queue and self._control.can_admit(
            server, waiting.team, bound, now_ms
        ):
            return self._dispatch(server, waiting, bound, now_ms)
        causes = self._control.causes_of_wait(server, waiting.team, bound, now_ms)
        wait_ms = self._control.expected_wait_ms(server, waiting.team, bound, now_ms)
        if now_ms + wait_ms > waiting.expires_at_ms or (
            waiting.expires_at_ms <= now_ms
        ):
            if waiting.expires_at_ms >= waiting.deadline_ms:
                causes = (self._deadline_cause(wait_ms), *causes)
            return self._refuse(
                waiting,
                self._append_outage_causes(waiting, causes),
                server=server,
                wait_ms=wait_ms,
            )
        return self._enqueue(server, waiting, causes, wait_ms, now_ms)

    def _deadline_cause(self, wait_ms: int) -> Cause:
        detail = f"the expected queue wait is {wait_ms} ms"
        return Cause(code=CauseCode.DEADLINE, detail=detail)

    def _enqueue(
        self,
        server: OwnedServer,
        waiting: QueuedAttempt,
        causes: tuple[Cause, ...],
        wait_ms: int,
        now_ms: int,
    ) -> Sequence[Message]:
        victim = server.queue.push(waiting)
        results: list[Message] = []
        if victim is not None:
            full = Cause(
                code=CauseCode.QUEUE_FULL,
                subject=server.spec.name,
                detail=f"{len(server.queue)} requests wait",
            )
            surge = Cause(code=CauseCode.SURGE, subject=victim.team.name)
            has_more = server.queue.n_waiting(victim.team) > 1
            chain = (full, surge) if has_more else (full, *causes)
            results.extend(
                self._refuse(
                    victim,
                    self._append_outage_causes(victim, chain),
                    server=server,
                    wait_ms=wait_ms,
                )
            )
        if waiting.attempt_id in server.queue:
            self._server_of_attempt[waiting.attempt_id] = server
            queued = AttemptQueued(
                attempt_id=waiting.attempt_id, expected_wait_ms=wait_ms
            )
            results.append(SendToPeer(address=waiting.entry.address, payload=queued))
            results.append(
                attempt_event(EventName.ATTEMPT_QUEUED, waiting.offer, causes=causes)
            )
        results.extend(self._drain(server, now_ms))
        return results

    # Dispatch

    def _dispatch(
        self,
        server: OwnedServer,
        waiting: QueuedAttempt,
        bound: LoadBound,
        now_ms: int,
    ) -> Sequence[Message]:
        assert self._view is not None
        offer = waiting.offer
        running = server.begin(waiting, now_ms)
        self._server_of_attempt[offer.attempt_id] = server
        started = AttemptStarted(attempt_id=offer.attempt_id, wait_ms=running.wait_ms)
        request = attrs.evolve(offer.request, deadline_ms=waiting.deadline_ms)
        return (
            SendToPeer(address=waiting.entry.address, payload=started),
            DispatchAttempt(
                attempt_id=offer.attempt_id,
                request=request,
                backend_server=server.spec.name,
                address=server.spec.address,
                resume_offset=offer.resume_offset,
                fencing_number=self._view.text.version,
            ),
            attempt_event(
                EventName.ATTEMPT_DISPATCHED,
                offer,
                load=server.load.load_at(now_ms),
                load_bound=bound.value,
                wait_ms=running.wait_ms,
            ),
        )

    def _drain_service(self, service: str, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        for server in self._servers.by_service.get(service, ()):
            results.extend(self._drain(server, now_ms))
        return results

    def _drain(self, server: OwnedServer, now_ms: int) -> Sequence[Message]:
        if self._servers.find(server.spec.name) is not server:
            return ()
        results: list[Message] = []
        while server.queue:
            bound = self._control.bound(server, now_ms)
            waiting = self._control.pop_next(server, bound, now_ms)
            if waiting is None:
                break
            results.extend(self._dispatch(server, waiting, bound, now_ms))
        return results

    # Outcome of an attempt

    def _handle_first_token(
        self, first: BackendFirstToken, now_ms: int
    ) -> Sequence[Message]:
        server = self._server_of_attempt.get(first.attempt_id)
        running = server.running.get(first.attempt_id) if server is not None else None
        if server is None or running is None:
            return ()
        server.record_first_token(first.attempt_id, now_ms)
        n_prompt_tokens = running.offer.request.n_prompt_tokens
        server.limit.record_first_token(
            latency_ms=first.latency_ms, n_prompt_tokens=n_prompt_tokens
        )
        reason = server.ramp.record_first_token(
            latency_ms=first.latency_ms,
            n_prompt_tokens=n_prompt_tokens,
            now_ms=now_ms,
        )
        total_ms = running.offer.elapsed_ms + running.wait_ms + first.latency_ms
        event = attempt_event(
            EventName.FIRST_TOKEN,
            running.offer,
            latency_ms=total_ms,
            wait_ms=running.wait_ms,
        )
        return (event, *cold_events(server, reason))

    def _handle_end(self, ended: BackendEnded, now_ms: int) -> Sequence[Message]:
        server = self._server_of_attempt.pop(ended.attempt_id, None)
        if server is None or ended.attempt_id not in server.running:
            return ()
        running = server.end(ended.attempt_id, now_ms)
        server.record_finished(running, now_ms)
        server.limit.record_end(between_tokens_ms=ended.between_tokens_ms)
        results: list[Message] = []
        if server.circuit.record_success(ended.attempt_id):
            results.append(server_event(EventName.CIRCUIT_CLOSED, server))
        payload = AttemptEnded(
            attempt_id=ended.attempt_id,
            n_bytes=ended.n_bytes,
            digest=ended.digest,
            status=ended.status,
            between_tokens_ms=ended.between_tokens_ms,
        )
        results.append(SendToPeer(address=running.entry.address, payload=payload))
        results.extend(self._drain(server, now_ms))
        return results

    def _handle_failure(self, failure: BackendFailed, now_ms: int) -> Sequence[Message]:
        server = self._server_of_attempt.pop(failure.attempt_id, None)
        if server is None or failure.attempt_id not in server.running:
            return ()
        running = server.end(failure.attempt_id, now_ms)
        results = self._record_failure(server, running, failure, now_ms)
        code = CauseCode.BACKEND_SERVER_FAILED
        if failure.refused_by_server:
            code = CauseCode.BACKEND_SERVER_REFUSED
        cause = Cause(
            code=code, subject=server.spec.name, detail=failure.reason, at_ms=now_ms
        )
        payload = AttemptFailed(
            attempt_id=failure.attempt_id,
            causes=(cause,),
            n_bytes=failure.n_bytes,
            not_run=failure.n_bytes_sent == 0 or failure.refused_by_server,
        )
        results.append(SendToPeer(address=running.entry.address, payload=payload))
        results.append(
            attempt_event(EventName.ATTEMPT_FAILED, running.offer, causes=(cause,))
        )
        results.extend(self._drain(server, now_ms))
        return results

    def _record_failure(
        self,
        server: OwnedServer,
        running: RunningAttempt,
        failure: BackendFailed,
        now_ms: int,
    ) -> list[Message]:
        results: list[Message] = []
        if failure.n_bytes_sent == 0:
            server.mark_unreachable()
        if failure.connection_reset:
            results.extend(cold_events(server, server.ramp.record_reset(now_ms)))
            server.handle_cold_start()
        opened = server.circuit.record_failure(
            failure.attempt_id, started_at_ms=running.started_at_ms, now_ms=now_ms
        )
        if opened:
            event = server_event(
                EventName.CIRCUIT_OPENED, server, detail=failure.reason
            )
            results.append(event)
        return results

    def _cancel(self, attempt_id: str, now_ms: int) -> Sequence[Message]:
        # An offer that arrives after its cancellation must not be accepted.
        self._seen.add(attempt_id)
        server = self._server_of_attempt.pop(attempt_id, None)
        if server is None:
            return ()
        if server.queue.remove(attempt_id) is not None:
            return self._drain(server, now_ms)
        if attempt_id not in server.running:
            return ()
        server.end(attempt_id, now_ms)
        server.circuit.record_cancellation(attempt_id)
        return (
            CancelDispatch(attempt_id=attempt_id),
            *self._drain(server, now_ms),
        )

    def _handle_peer_lost(self, peer: Member, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        for server in self._servers.owned_and_draining:
            for waiting in server.queue.waiting:
                if waiting.entry == peer:
                    results.extend(self._cancel(waiting.attempt_id, now_ms))
            # Requests that may not be repeated run to completion: after a cancellation
            # it would be unknown how much of the work was done.
            for attempt_id, running in list(server.running.items()):
                if running.entry == peer and running.offer.request.repeatable:
                    results.extend(self._cancel(attempt_id, now_ms))
        return results

    # Load reports and ticks

    def _handle_report(self, report: LoadReported, now_ms: int) -> Sequence[Message]:
        server = self._servers.find(report.backend_server)
        if server is None:
            return ()
        reason = server.handle_report(report, now_ms)
        return (*cold_events(server, reason), *self._drain(server, now_ms))

    def _handle_tick(self, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        for server in list(self._servers):
            if server.queue:
                results.extend(self._refuse_expired(server, now_ms))
                results.extend(self._drain(server, now_ms))
        results.extend(self._read_loads(now_ms))
        for service in self._means.services_to_publish(self._servers.by_service):
            owned_sum = self._servers.load_sum_of(service, now_ms)
            update = self._means.next_update(service, owned_sum, now_ms)
            if update is not None:
                results.append(update)
        self._servers.remove_drained()
        if self._is_stopping:
            results.append(OpenWork(part="owner", n_open=self._n_open))
        return results

    @property
    def _n_open(self) -> int:
        return sum(
            len(each.running) + len(each.queue)
            for each in self._servers.owned_and_draining
        )

    def _refuse_expired(self, server: OwnedServer, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        for waiting in server.queue.remove_expired(now_ms):
            bound = self._control.bound(server, now_ms)
            causes = self._control.causes_of_wait(server, waiting.team, bound, now_ms)
            waited_ms = now_ms - waiting.queued_at_ms
            detail = f"the request waited {waited_ms} ms"
            full = Cause(
                code=CauseCode.QUEUE_FULL, subject=server.spec.name, detail=detail
            )
            causes = self._append_outage_causes(waiting, (full, *causes))
            wait_ms = self._control.expected_wait_ms(
                server, waiting.team, bound, now_ms
            )
            results.extend(
                self._refuse(waiting, causes, server=server, wait_ms=wait_ms)
            )
        return results

    def _read_loads(self, now_ms: int) -> Sequence[Message]:
        interval_ms = max(READ_INTERVAL_MS, len(self._servers) * 1_000 // READS_PER_S)
        results: list[Message] = []
        for server in self._servers:
            if server.next_read_ms <= now_ms:
                jitter_ms = self._random.randrange(interval_ms // 5)
                server.next_read_ms = now_ms + interval_ms - jitter_ms
                server.read_interval_ms = interval_ms
                results.append(
                    ReadLoad(
                        backend_server=server.spec.name, address=server.spec.address
                    )
                )
        return results

    # Replies

    def _refuse(
        self,
        waiting: QueuedAttempt,
        causes: tuple[Cause, ...],
        *,
        server: OwnedServer | None = None,
        wait_ms: int = TRANSIENT_RETRY_AFTER_MS,
        hint: str = "",
        transient: bool = False,
    ) -> Sequence[Message]:
        offer = waiting.offer
        self._server_of_attempt.pop(offer.attempt_id, None)
        load = server.load.n_own + len(server.queue) if server is not None else 0
        wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        refusal = AttemptRefused(
            attempt_id=offer.attempt_id,
            causes=causes,
            load=load,
            retry_after_ms=wait_ms + self._random.randrange(wait_ms // 4 + 1),
            hint_server=hint,
            is_transient=transient,
        )
        return (
            SendToPeer(address=waiting.entry.address, payload=refusal),
            attempt_event(EventName.ATTEMPT_REFUSED, offer, causes=causes, load=load),
        )
