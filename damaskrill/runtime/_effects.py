"""Execution of the kernel's effects."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from damaskrill.backends import BackendClient, ReportReader
from damaskrill.configuration import ServiceKind
from damaskrill.exceptions import DamaskrillError
from damaskrill.messages import (
    AnswerCaller,
    AttemptEnded,
    AttemptFailed,
    AttemptRefused,
    BackendFailed,
    CancelAttempt,
    CancelDispatch,
    Cause,
    CauseCode,
    Completed,
    DispatchAttempt,
    FleetView,
    ForwardedAnswer,
    ForwardRequest,
    LoggedEvent,
    Message,
    OfferAttempt,
    OrderEngine,
    PeerPayload,
    PeerUnreachable,
    PermitIssued,
    ReadHostList,
    ReadLoad,
    ReadText,
    SendToPeer,
    StopServing,
    TextRefused,
    Unknown,
)
from damaskrill.monitoring import EventLog, ProcessEventName
from damaskrill.peers import PeerNetwork
from damaskrill.relay import (
    AnswerCache,
    BodyStore,
    EntryRelay,
    LocalStream,
    OutgoingStream,
    PeerStream,
)
from damaskrill.runtime._dispatcher import CallerDispatcher
from damaskrill.runtime._hops import HopTable
from damaskrill.runtime._platform import PlatformReader

__all__ = ["EffectRunner"]


@attrs.define(kw_only=True)
class EffectRunner:
    """Pass each effect to the component that executes it.

    Parameters
    ----------
    post : callable
        Queues a message for the kernel; returns False if the queue is full.
    network : PeerNetwork
        Connections to other routers.
    dispatcher : CallerDispatcher
        Open calls of callers.
    relay : EntryRelay
        Answers of the requests for which this process is the entry.
    bodies : BodyStore
        Bodies by request, or by attempt if another router is the entry.
    answer_cache : AnswerCache
        Answers of earlier actions.
    hops : HopTable
        Requests and attempts received from other routers.
    backends : BackendClient
        Client for attempts and orders.
    reports : ReportReader
        Reader of load reports.
    platform : PlatformReader
        Reader of the operators' text and the host list.
    log : EventLog
        Log of this router.
    observe_event : callable
        Updates metrics and status with each logged event.
    stop_serving : callable
        Called when the kernel has ended all work.
    """

    post: Callable[[Message], bool]
    network: PeerNetwork
    dispatcher: CallerDispatcher
    relay: EntryRelay
    bodies: BodyStore
    answer_cache: AnswerCache
    hops: HopTable
    backends: BackendClient
    reports: ReportReader
    platform: PlatformReader
    log: EventLog
    observe_event: Callable[[LoggedEvent, int], None]
    stop_serving: Callable[[], None]
    _view: FleetView | None = attrs.field(default=None, init=False)
    _tasks: set[asyncio.Task[Any]] = attrs.field(factory=set, init=False)

    def apply_view(self, view: FleetView) -> None:
        """Replace the fleet view."""
        self._view = view

    def run(self, effect: Message, at_ms: int) -> None:
        """Execute one effect without blocking."""
        match effect:
            case SendToPeer():
                self._send(effect)
            case DispatchAttempt():
                self._dispatch(effect)
            case CancelDispatch(attempt_id=attempt_id):
                self.backends.cancel(attempt_id)
                self._discard_attempt(attempt_id)
            case AnswerCaller():
                self.dispatcher.answer(effect)
            case PermitIssued():
                self.dispatcher.answer_permit(effect)
            case ReadLoad():
                self.reports.read(effect)
            case ReadText():
                self.platform.read_text(effect)
            case ReadHostList():
                self.platform.read_hosts(effect)
            case OrderEngine():
                self._spawn(self._order(effect))
            case LoggedEvent():
                self.log.write_event(effect, at_ms)
                self.observe_event(effect, at_ms)
            case TextRefused(version=version, faults=faults):
                self.log.write(
                    ProcessEventName.TEXT_FAULTS,
                    level="WARNING",
                    text_version=version,
                    faults=faults,
                )
            case StopServing():
                self.stop_serving()

    def stop(self) -> None:
        """Cancel all pending tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _send(self, effect: SendToPeer) -> None:
        payload = effect.payload
        body = b""
        match payload:
            case OfferAttempt(request=request):
                offset = self.relay.bind(
                    request.request_id, payload.attempt_id, peer=effect.address
                )
                payload = attrs.evolve(payload, resume_offset=offset)
                body = self.bodies.get(request.request_id) or b""
            case ForwardRequest(request=request, hop_id=hop_id):
                self.relay.bind(request.request_id, hop_id, peer=effect.address)
                body = self.bodies.get(request.request_id) or b""
            case ForwardedAnswer():
                self._spawn(self._send_forwarded(effect, payload))
                return
            case AttemptRefused() | AttemptEnded() | AttemptFailed():
                self._discard_attempt(payload.attempt_id)
            case CancelAttempt():
                pass
        self._send_payload(effect, payload, body)

    def _send_payload(
        self, effect: SendToPeer, payload: PeerPayload, body: bytes = b""
    ) -> None:
        is_queued = self.network.send_payload(
            effect.address, payload, body, effect.incarnation
        )
        if not is_queued:
            self.post(PeerUnreachable(address=effect.address, payload=payload))

    async def _send_forwarded(
        self, effect: SendToPeer, payload: ForwardedAnswer
    ) -> None:
        hop = self.hops.pop_hop(payload.hop_id)
        outcome = payload.outcome
        if hop is not None and isinstance(outcome, Completed):
            cached = self.answer_cache.get(payload.recorded_request_id)
            if cached is not None:
                self.relay.replay_cached(hop.request_id, cached)
            totals = self.relay.totals(hop.request_id)
            outcome = attrs.evolve(
                outcome, n_bytes=totals.n_bytes, digest=totals.digest
            )
            if self.relay.is_corrupt(hop.request_id):
                outcome = Unknown(
                    causes=(
                        Cause(
                            code=CauseCode.ANSWER_DAMAGED,
                            subject="the backend server",
                        ),
                    )
                )
            payload = attrs.evolve(payload, outcome=outcome)
        if hop is not None:
            is_complete = isinstance(outcome, Completed)
            self.relay.close_request(hop.request_id, is_complete=is_complete)
            self.bodies.discard(hop.request_id)
            await hop.stream.drain()
        self._send_payload(effect, payload)

    def _dispatch(self, effect: DispatchAttempt) -> None:
        request = effect.request
        attempt_id = effect.attempt_id
        entry = self.hops.entry_of_attempt(attempt_id)
        stream: OutgoingStream
        if entry is None:
            body = self.bodies.get(request.request_id)
            offset = self.relay.bind(request.request_id, attempt_id)
            effect = attrs.evolve(effect, resume_offset=offset)
            stream = LocalStream(relay=self.relay, stream_id=attempt_id)
        else:
            body = self.bodies.get(attempt_id)
            stream = PeerStream(
                sender=self.network, address=entry, stream_id=attempt_id
            )
        if body is None:
            reason = "the request body is no longer stored"
            self.post(BackendFailed(attempt_id=attempt_id, reason=reason))
            return
        kind = self._service_kind(request.service)
        self.backends.dispatch(effect, body=body, kind=kind, stream=stream)

    def _service_kind(self, service: str) -> ServiceKind:
        spec = self._view.text.services.get(service) if self._view else None
        return spec.kind if spec is not None else ServiceKind.ENGINE

    def _discard_attempt(self, attempt_id: str) -> None:
        self.hops.discard_attempt(attempt_id)
        self.bodies.discard(attempt_id)

    async def _order(self, effect: OrderEngine) -> None:
        try:
            status = await self.backends.send_order(effect)
            reason = "" if status < 300 else f"status {status}"
        except DamaskrillError as error:
            reason = error.sentence
        except Exception as error:
            reason = type(error).__name__
        if reason:
            self.log.write(
                ProcessEventName.ORDER_FAILED,
                level="WARNING",
                backend_server=effect.backend_server,
                text_version=effect.fencing_number,
                sentence=f"order to {effect.backend_server} failed: {reason}",
            )

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
