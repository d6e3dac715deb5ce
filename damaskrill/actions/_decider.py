"""Decider that runs each action at most once across the fleet."""

from collections.abc import Sequence

import attrs

from damaskrill.actions._forwards import Forward, ForwardTable
from damaskrill.actions._hand_over import build_hand_over
from damaskrill.actions._key_ownership import KeyOwnership
from damaskrill.actions._key_time import read_key_time
from damaskrill.actions._permits import (
    PERMIT_LIFETIME_MS,
    Permit,
    PermitIssuer,
    parse_permit,
)
from damaskrill.actions._records import RecordStore, StoredAction
from damaskrill.actions._waiters import PeerWaiter, Waiter, build_answer
from damaskrill.base import BaseDecider
from damaskrill.kernel._registry import registry
from damaskrill.messages import (
    ActionRecord,
    CallerGone,
    Cause,
    CauseCode,
    EventName,
    FleetView,
    FleetViewChanged,
    ForwardedAnswer,
    ForwardRequest,
    HostListRead,
    LoggedEvent,
    Member,
    Message,
    NotRun,
    OpenWork,
    Outcome,
    OutcomeAsked,
    PeerDelivered,
    PermitIssued,
    PermitRequested,
    ProcessPaused,
    RecordsHandedOver,
    Request,
    RequestArrived,
    RequestEnded,
    RouteRequest,
    StopRequested,
    Tick,
    Unknown,
)

__all__ = ["ActionsDecider", "record_key_of"]

MAX_HOPS = 3
# Tolerated clock skew between callers and routers, and delay between the host lists
# of two routers.
KEY_TIME_MARGIN_MS = 30_000
# Time after its deadline in which an action may still report its outcome.
OUTCOME_GRACE_MS = 5_000


def record_key_of(request: Request) -> str:
    """Return the key that identifies an action across retries.

    Parameters
    ----------
    request : Request
        A request with a permit or an idempotency key.

    Returns
    -------
    str
        Key of the action's record; empty if the request has neither.
    """
    if request.permit:
        return f"permit:{request.permit}"
    if request.idempotency_key:
        return "\x00".join(
            ["key", request.service, request.team, request.idempotency_key]
        )
    return ""


@registry.register("decider", "actions")
class ActionsDecider(BaseDecider):
    """Decider that deduplicates non-repeatable requests before they are routed.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed of the secret that authenticates permits.

    Notes
    -----
    Every outcome of an action is final for its permit or key, including "not run":
    otherwise a request still in transit could run the action after its caller was
    told that it will not run.
    """

    handles = (
        FleetViewChanged,
        HostListRead,
        ProcessPaused,
        RequestArrived,
        OutcomeAsked,
        PermitRequested,
        ForwardRequest,
        ForwardedAnswer,
        RecordsHandedOver,
        RequestEnded,
        CallerGone,
        StopRequested,
        Tick,
    )

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own
        self._view: FleetView | None = None
        self._permit_issuer = PermitIssuer(
            member_id=own.member_id, random_state=random_state
        )
        self._ownership = KeyOwnership(own=own)
        self._records = RecordStore()
        self._forwards = ForwardTable(member_id=own.member_id)
        self._running: dict[str, StoredAction] = {}
        self._received_keys: dict[str, set[str]] = {}
        self._stopping = False

    @property
    def n_records(self) -> int:
        """Number of stored action records."""
        return len(self._records)

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message."""
        match message:
            case RequestArrived(request=request):
                arrived = LoggedEvent(
                    name=EventName.REQUEST_ARRIVED,
                    request_id=request.request_id,
                    service=request.service,
                    team=request.team,
                )
                return (arrived, *self._handle_request(request, now_ms))
            case RequestEnded(request_id=request_id, outcome=outcome):
                return self._handle_ended(request_id, outcome, now_ms)
            case Tick():
                return self._handle_tick(now_ms)
            case PeerDelivered():
                return self._handle_peer_message(message, now_ms)
            case PermitRequested():
                return self._issue_permit(message, now_ms)
            case OutcomeAsked(request=request):
                waiter = Waiter(
                    request_id=request.request_id, deadline_ms=request.deadline_ms
                )
                return self._handle_action(request, waiter, now_ms, only_outcome=True)
            case CallerGone(request_id=request_id):
                self._forwards.remove_caller(request_id)
                return ()
            case StopRequested():
                return self._handle_stop(now_ms)
        return self._handle_view_message(message, now_ms)

    def _handle_view_message(self, message: Message, now_ms: int) -> Sequence[Message]:
        match message:
            case FleetViewChanged(view=view):
                self._view = view
                for member in view.members:
                    self._ownership.observe_member(member)
                return self._redirect_unreachable(now_ms)
            case HostListRead(hosts=hosts):
                self._ownership.apply_host_list(hosts, now_ms)
            case ProcessPaused():
                self._ownership.invalidate_before(now_ms)
        return ()

    def _handle_peer_message(
        self, delivery: PeerDelivered, now_ms: int
    ) -> Sequence[Message]:
        sender = delivery.sender
        match delivery.payload:
            case ForwardRequest() as forwarded:
                request = attrs.evolve(
                    forwarded.request, deadline_ms=now_ms + forwarded.remaining_ms
                )
                waiter = PeerWaiter(
                    request_id=request.request_id,
                    deadline_ms=request.deadline_ms,
                    address=sender.address,
                    incarnation=sender.incarnation,
                    hop_id=forwarded.hop_id,
                )
                return self._handle_action(
                    request, waiter, now_ms, only_outcome=forwarded.only_outcome
                )
            case ForwardedAnswer() as answer:
                return self._handle_answer(answer)
            case RecordsHandedOver() as hand_over:
                return self._handle_hand_over(hand_over, sender, now_ms)
        return ()

    # Requests

    def _handle_request(self, request: Request, now_ms: int) -> Sequence[Message]:
        if not self._is_repeatable(request):
            request = attrs.evolve(request, repeatable=False)
        if request.repeatable or not record_key_of(request):
            return (RouteRequest(request=request),)
        waiter = Waiter(request_id=request.request_id, deadline_ms=request.deadline_ms)
        return self._handle_action(request, waiter, now_ms, only_outcome=False)

    def _is_repeatable(self, request: Request) -> bool:
        if not request.repeatable:
            return False
        service = self._view and self._view.text.services.get(request.service)
        return service.repeatable if service else True

    def _handle_action(
        self, request: Request, waiter: Waiter, now_ms: int, *, only_outcome: bool
    ) -> Sequence[Message]:
        request = attrs.evolve(request, repeatable=False)
        record = self._records.get(record_key_of(request))
        if record is not None:
            return self._join(record, waiter)
        if not record_key_of(request):
            cause = Cause(
                code=CauseCode.KEY_NOT_PROVABLY_NEW,
                subject=self._own.address,
                detail="the request has neither a permit nor an idempotency key",
            )
            return self._answer(request, waiter, Unknown(causes=(cause,)))
        if request.permit:
            return self._handle_permit(request, waiter, now_ms, only_outcome)
        return self._handle_key(request, waiter, now_ms, only_outcome)

    def _join(self, record: StoredAction, waiter: Waiter) -> Sequence[Message]:
        if record.outcome is None:
            record.waiters.append(waiter)
            return ()
        return (build_answer(waiter, record.outcome, record.request_id),)

    def _handle_permit(
        self, request: Request, waiter: Waiter, now_ms: int, only_outcome: bool
    ) -> Sequence[Message]:
        permit = parse_permit(request.permit)
        if permit is None:
            return self._refuse_foreign_permit(request, waiter)
        if (permit.address, permit.incarnation) != (
            self._own.address,
            self._own.incarnation,
        ):
            return self._forward_permit(request, permit, waiter, now_ms, only_outcome)
        if not self._permit_issuer.verify(
            permit, service=request.service, team=request.team
        ):
            return self._refuse_foreign_permit(request, waiter)
        age_ms = now_ms - permit.issued_at_ms
        if age_ms > self._records.retention_ms:
            cause = Cause(
                code=CauseCode.PERMIT_DEAD,
                subject=self._own.address,
                detail="the permit is older than the retention time of action records",
            )
            return self._answer(request, waiter, Unknown(causes=(cause,)))
        if age_ms > PERMIT_LIFETIME_MS:
            return self._refuse_permanently(
                request, waiter, now_ms, "the permit has expired"
            )
        return self._start_action(request, waiter, now_ms, only_outcome)

    def _refuse_foreign_permit(
        self, request: Request, waiter: Waiter
    ) -> Sequence[Message]:
        cause = Cause(
            code=CauseCode.PERMIT_DEAD,
            detail="no router has issued it for this service and team",
        )
        return self._answer(request, waiter, Unknown(causes=(cause,)))

    def _handle_key(
        self, request: Request, waiter: Waiter, now_ms: int, only_outcome: bool
    ) -> Sequence[Message]:
        record_key = record_key_of(request)
        owner = self._ownership.owner_address(record_key)
        if not owner:
            return self._refuse_key(request, waiter, "its host list names no router")
        if owner != self._own.address:
            forward = Forward(
                request=request,
                waiter=waiter,
                address=owner,
                incarnation="",
                only_outcome=only_outcome,
            )
            return self._forward(forward, now_ms)
        reason = self._reason_key_may_be_old(request, now_ms)
        if reason:
            return self._refuse_key(request, waiter, reason)
        return self._start_action(request, waiter, now_ms, only_outcome)

    def _reason_key_may_be_old(self, request: Request, now_ms: int) -> str:
        key_time_ms = read_key_time(request.idempotency_key)
        if key_time_ms is None:
            return "the key contains no creation time; ask for a permit instead"
        if key_time_ms > now_ms + KEY_TIME_MARGIN_MS:
            return "the key's creation time is in the future"
        if now_ms - key_time_ms > self._records.retention_ms - KEY_TIME_MARGIN_MS:
            return "the key is older than the retention time of action records"
        since_ms = self._ownership.owned_since(record_key_of(request), now_ms)
        if since_ms is None:
            return "its host list is out of date"
        if self._view is None or not self._view.trusted:
            return "its view of the fleet is not up to date"
        if key_time_ms <= since_ms + KEY_TIME_MARGIN_MS:
            return "the key may be older than this router's ownership of it"
        return ""

    def _refuse_key(
        self, request: Request, waiter: Waiter, reason: str
    ) -> Sequence[Message]:
        cause = Cause(
            code=CauseCode.KEY_NOT_PROVABLY_NEW,
            subject=self._own.address,
            detail=reason,
        )
        return self._answer(request, waiter, Unknown(causes=(cause,)))

    def _start_action(
        self, request: Request, waiter: Waiter, now_ms: int, only_outcome: bool
    ) -> Sequence[Message]:
        if only_outcome:
            detail = "its outcome was requested before it was used"
            return self._refuse_permanently(request, waiter, now_ms, detail)
        if self._stopping:
            return self._refuse_permanently(
                request, waiter, now_ms, "its router is stopping"
            )
        if self._records.is_full:
            return self._refuse_permanently(
                request, waiter, now_ms, "the action record store is full"
            )
        record = StoredAction(
            record_key=record_key_of(request),
            request_id=request.request_id,
            since_ms=now_ms,
            executor_id=self._own.member_id,
            waiters=[waiter],
        )
        self._records.add(record)
        self._running[request.request_id] = record
        return (RouteRequest(request=request),)

    def _refuse_unrecorded(self, request: Request, waiter: Waiter) -> Sequence[Message]:
        # Without a record, a later retry of the same action could run it, so "not
        # run" would not be final.
        cause = Cause(
            code=CauseCode.AT_LIMIT,
            subject=f"the action record store of router {self._own.address}",
        )
        return self._answer(request, waiter, Unknown(causes=(cause,)))

    def _refuse_permanently(
        self, request: Request, waiter: Waiter, now_ms: int, detail: str
    ) -> Sequence[Message]:
        """Refuse an action that has not run and record the refusal as final."""
        if self._records.is_exhausted:
            return self._refuse_unrecorded(request, waiter)
        cause = Cause(
            code=CauseCode.PERMIT_DEAD, subject=self._own.address, detail=detail
        )
        outcome = NotRun(causes=(cause,))
        record = StoredAction(
            record_key=record_key_of(request),
            request_id=request.request_id,
            since_ms=now_ms,
            executor_id=self._own.member_id,
            outcome=outcome,
        )
        self._records.add(record)
        answer = self._answer(request, waiter, outcome)
        return [*answer, *self._hand_over_update(record, now_ms)]

    def _answer(
        self, request: Request, waiter: Waiter, outcome: Outcome
    ) -> Sequence[Message]:
        return (
            build_answer(waiter, outcome),
            LoggedEvent(
                name=EventName.REQUEST_ENDED,
                request_id=request.request_id,
                service=request.service,
                team=request.team,
                outcome=outcome.name,
                causes=outcome.causes,
            ),
        )

    # Outcomes

    def _handle_ended(
        self, request_id: str, outcome: Outcome, now_ms: int
    ) -> Sequence[Message]:
        record = self._running.pop(request_id, None)
        if record is None:
            waiter = Waiter(request_id=request_id, deadline_ms=0)
            return (build_answer(waiter, outcome),)
        return self._close_record(record, outcome, now_ms)

    def _close_record(
        self, record: StoredAction, outcome: Outcome, now_ms: int
    ) -> Sequence[Message]:
        record.outcome = outcome
        waiters = record.waiters
        record.waiters = []
        answers = [build_answer(each, outcome, record.request_id) for each in waiters]
        return [*answers, *self._hand_over_update(record, now_ms)]

    # Permits

    def _issue_permit(
        self, requested: PermitRequested, now_ms: int
    ) -> Sequence[Message]:
        if self._stopping or self._records.is_full:
            return (PermitIssued(request_id=requested.request_id, permit=""),)
        permit = self._permit_issuer.issue(
            service=requested.service, team=requested.team, now_ms=now_ms
        )
        issued = PermitIssued(
            request_id=requested.request_id,
            permit=permit,
            expires_in_ms=PERMIT_LIFETIME_MS,
        )
        event = LoggedEvent(
            name=EventName.PERMIT_ISSUED,
            request_id=requested.request_id,
            service=requested.service,
            team=requested.team,
        )
        return (issued, event)

    # Forwarding

    def _forward_permit(
        self,
        request: Request,
        permit: Permit,
        waiter: Waiter,
        now_ms: int,
        only_outcome: bool,
    ) -> Sequence[Message]:
        forward = Forward(
            request=request,
            waiter=waiter,
            address=permit.address,
            incarnation=permit.incarnation,
            only_outcome=only_outcome,
        )
        return self._forward(forward, now_ms)

    def _forward(self, forward: Forward, now_ms: int) -> Sequence[Message]:
        request = forward.request
        if request.n_hops >= MAX_HOPS:
            cause = Cause(code=CauseCode.HOP_LIMIT, detail=f"{MAX_HOPS} times")
            return self._answer(request, forward.waiter, Unknown(causes=(cause,)))
        if self._is_unreachable(forward.address, forward.incarnation):
            return self._forward_to_successor(forward, now_ms)
        forward.request = attrs.evolve(request, n_hops=request.n_hops + 1)
        event = LoggedEvent(
            name=EventName.REQUEST_FORWARDED,
            request_id=request.request_id,
            service=request.service,
            team=request.team,
            peer=forward.address,
        )
        return (event, self._forwards.send(forward, now_ms))

    def _is_unreachable(self, address: str, incarnation: str) -> bool:
        if self._view is None:
            return True
        for member in self._view.members:
            if member.address == address:
                is_other = bool(incarnation) and bool(member.incarnation)
                return is_other and member.incarnation != incarnation
        return True

    def _forward_to_successor(self, forward: Forward, now_ms: int) -> Sequence[Message]:
        """Ask the router to which an unreachable one would have handed its records."""
        record_key = record_key_of(forward.request)
        successor = self._ownership.owner_address(record_key, exclude=forward.address)
        can_ask = successor not in ("", self._own.address)
        if forward.is_fallback or not can_ask or self._is_unreachable(successor, ""):
            return self._fail_forward(forward, "it has left the fleet")
        forward.address = successor
        forward.incarnation = ""
        forward.only_outcome = True
        forward.is_fallback = True
        return self._forward(forward, now_ms)

    def _fail_forward(self, forward: Forward, detail: str) -> Sequence[Message]:
        request = forward.request
        code = CauseCode.PERMIT_DEAD if request.permit else CauseCode.PEER_LOST
        cause = Cause(code=code, subject=forward.address, detail=detail)
        return self._answer(request, forward.waiter, Unknown(causes=(cause,)))

    def _redirect_unreachable(self, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        for forward in self._forwards.pop_unreachable(self._is_unreachable):
            results.extend(self._forward_to_successor(forward, now_ms))
        return results

    def _handle_answer(self, answer: ForwardedAnswer) -> Sequence[Message]:
        forward = self._forwards.pop_answered(answer)
        if forward is None:
            return ()
        recorded = answer.recorded_request_id
        request = forward.request
        event = LoggedEvent(
            name=EventName.REQUEST_ENDED,
            request_id=request.request_id,
            service=request.service,
            team=request.team,
            peer=forward.address,
            outcome=answer.outcome.name,
            causes=answer.outcome.causes,
        )
        return (build_answer(forward.waiter, answer.outcome, recorded), event)

    # Ticks

    def _handle_tick(self, now_ms: int) -> Sequence[Message]:
        self._records.purge_expired(now_ms)
        results: list[Message] = []
        if self._forwards:
            for forward in self._forwards.pop_expired(now_ms):
                detail = "no answer before the deadline"
                results.extend(self._fail_forward(forward, detail))
            for forward in self._forwards.due(now_ms):
                results.append(self._forwards.send(forward, now_ms))
        running = self._records.running()
        if self._stopping:
            n_open = len(self._forwards) + len(running)
            results.append(OpenWork(part="actions", n_open=n_open))
        for record in running:
            if record.outcome is None and self._is_overdue(record, now_ms):
                cause = Cause(code=CauseCode.REPLY_LOST, subject=record.executor_id)
                unknown = Unknown(causes=(cause,))
                results.extend(self._close_record(record, unknown, now_ms))
        return results

    def _is_overdue(self, record: StoredAction, now_ms: int) -> bool:
        deadline_ms = max(
            (each.deadline_ms for each in record.waiters), default=record.since_ms
        )
        return now_ms > deadline_ms + OUTCOME_GRACE_MS

    # Graceful stop

    def _handle_stop(self, now_ms: int) -> Sequence[Message]:
        if self._stopping:
            return ()
        self._stopping = True
        complete_for_ms = self._ownership.complete_for(now_ms)
        self._ownership.release(self._own, since_ms=now_ms)
        return build_hand_over(
            records=list(self._records),
            ownership=self._ownership,
            complete_for_ms=complete_for_ms,
            now_ms=now_ms,
        )

    def _hand_over_update(self, record: StoredAction, now_ms: int) -> Sequence[Message]:
        """Send the new owner a record that was closed after the hand-over."""
        if not self._stopping:
            return ()
        return build_hand_over(
            records=[record],
            ownership=self._ownership,
            complete_for_ms=0,
            now_ms=now_ms,
        )

    def _handle_hand_over(
        self, hand_over: RecordsHandedOver, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        if hand_over.complete_for_ms and not self._is_replaced(sender):
            self._record_release(hand_over, sender, now_ms)
        results: list[Message] = []
        for record in hand_over.records:
            results.extend(self._apply_record(record, sender, now_ms))
        return results

    def _is_replaced(self, process: Member) -> bool:
        members = self._view.members if self._view else ()
        return any(
            each.address == process.address
            and each.incarnation not in ("", process.incarnation)
            for each in members
        )

    def _record_release(
        self, hand_over: RecordsHandedOver, sender: Member, now_ms: int
    ) -> None:
        received = self._received_keys.setdefault(sender.member_id, set())
        received.update(each.record_key for each in hand_over.records)
        ownership = self._ownership
        ownership.release(sender, since_ms=now_ms)
        # The sender's records cover all keys that this process gains only if both
        # use the same list of routers.
        same_list = ownership.listed_digest == hand_over.listed_digest
        if same_list and len(received) == hand_over.n_records:
            since_ms = now_ms - hand_over.complete_for_ms
            ownership.release(sender, since_ms=since_ms)
            del self._received_keys[sender.member_id]

    def _apply_record(
        self, handed: ActionRecord, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        record = self._records.get(handed.record_key)
        if record is None:
            record = StoredAction(
                record_key=handed.record_key,
                request_id=handed.request_id,
                since_ms=now_ms - handed.age_ms,
                executor_id=sender.member_id,
                outcome=handed.outcome,
            )
            self._records.add(record)
            return ()
        if record.executor_id != sender.member_id or handed.outcome is None:
            return ()
        return self._close_record(record, handed.outcome, now_ms)
