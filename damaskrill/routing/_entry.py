"""Decider of the entry router: offers, retries and the outcome of each request."""

import heapq
from collections.abc import Callable, Sequence

from damaskrill.base import BaseDecider
from damaskrill.dependencies import OutageTracker, find_outage
from damaskrill.kernel._registry import registry
from damaskrill.membership._owner_cache import OwnerCache
from damaskrill.messages import (
    AttemptEnded,
    AttemptFailed,
    AttemptProgress,
    AttemptQueued,
    AttemptRefused,
    AttemptStarted,
    CallerGone,
    CancelAttempt,
    Cause,
    CauseCode,
    Completed,
    EventName,
    FleetView,
    FleetViewChanged,
    LoadReported,
    LoggedEvent,
    Member,
    Message,
    OfferAttempt,
    OpenWork,
    Outcome,
    PeerDelivered,
    PeerLost,
    PeerUnreachable,
    Request,
    RequestEnded,
    RouteRequest,
    SendToPeer,
    SpillRecorded,
    StopRequested,
    Tick,
)
from damaskrill.routing._choice_detail import describe_choice
from damaskrill.routing._open_circuits import OpenCircuits
from damaskrill.routing._open_request import Candidate, OpenAttempt, OpenRequest, Stage
from damaskrill.routing._outcome import outcome_event, outcome_without_answer
from damaskrill.routing._plan import (
    plan_after_failure,
    plan_hint,
    plan_initial,
    plan_queued,
)
from damaskrill.routing._retry_budget import RetryBudget
from damaskrill.utils import check_random_state

__all__ = ["EntryDecider"]

MAX_HOPS = 4
MAX_ATTEMPTS = 4
MAX_OFFERS = 24
MAX_ROUNDS = 6
# An owner acknowledges an offer immediately, so a missing reply means a lost message.
OFFER_REPLY_TIMEOUT_MS = 1_000
# The owner ends an attempt at its deadline; its reply may arrive this much later.
DEADLINE_GRACE_MS = 300
ROUND_DELAY_MS = 200
RETRY_DELAY_MS = 50
MIN_TIMER_MS = 100


@registry.register("decider", "entry")
class EntryDecider(BaseDecider):
    """Decider that offers each request to owners of backend servers until one answers.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed of the jitter and of the placement policy.
    placement : str, default="affinity"
        Registered placement policy.
    """

    handles = (
        FleetViewChanged,
        RouteRequest,
        CallerGone,
        AttemptQueued,
        AttemptStarted,
        AttemptRefused,
        AttemptEnded,
        AttemptFailed,
        AttemptProgress,
        LoadReported,
        PeerLost,
        PeerUnreachable,
        StopRequested,
        Tick,
    )

    def __init__(
        self, *, own: Member, random_state: int = 0, placement: str = "affinity"
    ) -> None:
        self._own = own
        self._random = check_random_state(random_state)
        self._view: FleetView | None = None
        self._placement = registry.create(
            "placement", placement, random_state=random_state
        )
        self._owners = OwnerCache()
        self._outages = OutageTracker()
        self._open_circuits = OpenCircuits()
        self._budgets: dict[str, RetryBudget] = {}
        self._open: dict[str, OpenRequest] = {}
        self._timers: list[tuple[int, str]] = []
        self._request_of_attempt: dict[str, str] = {}
        self._is_stopping = False
        self._n_late_answers = 0

    @property
    def n_late_answers(self) -> int:
        """Number of dropped replies to attempts that had already ended."""
        return self._n_late_answers

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message."""
        match message:
            case PeerDelivered(sender=sender, payload=payload):
                return self._handle_reply(payload, sender, now_ms)
            case RouteRequest(request=request):
                return self._open_request(request, now_ms)
            case FleetViewChanged(view=view):
                self._view = view
                self._owners.apply_view(view)
                self._outages.apply_view(view, now_ms)
            case CallerGone(request_id=request_id):
                return self._handle_caller_gone(request_id, now_ms)
            case PeerLost(peer=peer):
                return self._handle_owner_lost(peer, now_ms)
            case PeerUnreachable(payload=OfferAttempt() as offer, address=address):
                return self._handle_unsent_offer(offer, address, now_ms)
            case AttemptProgress(attempt_id=attempt_id, n_bytes=n_bytes):
                state = self._find_by_attempt(attempt_id)
                if state is not None and state.attempt is not None:
                    state.attempt.n_bytes = max(state.attempt.n_bytes, n_bytes)
            case LoadReported():
                self._placement.observe_load(message.backend_server, message.load)
            case StopRequested():
                self._is_stopping = True
            case Tick():
                return self._handle_tick(now_ms)
        return ()

    # A new request

    def _open_request(self, request: Request, now_ms: int) -> Sequence[Message]:
        state = OpenRequest(request=request, arrived_at_ms=now_ms)
        self._open[request.request_id] = state
        state.causes = self._rejection_causes(request, now_ms)
        if state.causes:
            return self._close_unanswered(state, now_ms)
        assert self._view is not None
        ranked = self._placement.rank(request, self._view)
        state.plan = plan_initial(
            request,
            ranked,
            self._open_circuit_check(now_ms),
            has_affinity=self._placement.has_affinity,
            limits=self._view.text.limits,
        )
        state.first_choice = ranked[0]
        budget = self._budgets.setdefault(request.service, RetryBudget())
        budget.record_first_attempt(self._view.text.limits.retry_budget_percent)
        return self._offer_next(state, now_ms)

    def _rejection_causes(self, request: Request, now_ms: int) -> tuple[Cause, ...]:
        view = self._view
        service = request.service
        if self._is_stopping:
            return (Cause(code=CauseCode.STOPPING, subject=self._own.address),)
        if view is None or view.text.version == 0:
            return (Cause(code=CauseCode.NO_TEXT),)
        if service not in view.text.services:
            return (Cause(code=CauseCode.UNKNOWN_SERVICE, subject=service),)
        if request.n_hops > MAX_HOPS:
            return (Cause(code=CauseCode.HOP_LIMIT, detail=f"{MAX_HOPS} times"),)
        if request.deadline_ms <= now_ms:
            return (Cause(code=CauseCode.DEADLINE, at_ms=request.deadline_ms),)
        if service not in view.servers_by_service:
            return self._causes_of_outage(service, now_ms)
        return find_outage(
            service, view, lambda name: self._causes_of_outage(name, now_ms)
        )

    def _causes_of_outage(self, service: str, now_ms: int) -> tuple[Cause, ...]:
        assert self._view is not None
        servers = self._view.servers_by_service.get(service, ())
        if not servers:
            no_server = Cause(code=CauseCode.NO_BACKEND_SERVER, subject=service)
            return (no_server, *self._outages.causes_of_missing(service))
        if not all(
            self._open_circuits.is_circuit_open(each.name, now_ms) for each in servers
        ):
            return ()
        detail = f"all {len(servers)} failed repeatedly"
        no_server = Cause(
            code=CauseCode.NO_BACKEND_SERVER, subject=service, detail=detail
        )
        return (no_server, Cause(code=CauseCode.CIRCUIT_OPEN, subject=servers[0].name))

    def _open_circuit_check(self, now_ms: int) -> Callable[[str], bool]:
        return lambda name: self._open_circuits.is_circuit_open(name, now_ms)

    # Offers

    def _offer_next(self, state: OpenRequest, now_ms: int) -> Sequence[Message]:
        view = self._view
        assert view is not None
        state.attempt = None
        if not state.plan:
            state.plan = plan_queued(state)
        while state.plan and state.n_offers < MAX_OFFERS:
            candidate = state.plan.pop(0)
            if candidate.backend_server in view.text.backend_servers:
                return self._offer(state, candidate, now_ms)
        return self._schedule_round(state, now_ms)

    def _offer(
        self, state: OpenRequest, candidate: Candidate, now_ms: int
    ) -> Sequence[Message]:
        assert self._view is not None
        request = state.request
        server = self._view.text.backend_servers[candidate.backend_server]
        owner = self._owners.owner_of(server)
        state.n_offers += 1
        attempt = OpenAttempt(
            attempt_id=self._make_attempt_id(state),
            backend_server=server.name,
            owner=owner,
            offered_at_ms=now_ms,
            resume_offset=state.n_bytes,
        )
        state.attempt = attempt
        state.next_offer_at_ms = 0
        self._set_timer(state, now_ms)
        self._request_of_attempt[attempt.attempt_id] = request.request_id
        offer = OfferAttempt(
            attempt_id=attempt.attempt_id,
            request=request,
            backend_server=server.name,
            remaining_ms=request.deadline_ms - now_ms,
            resume_offset=attempt.resume_offset,
            text_version=self._view.text.version,
            max_wait_ms=candidate.max_wait_ms,
            elapsed_ms=now_ms - state.arrived_at_ms,
            follows_spill=candidate.follows_spill,
        )
        return (
            SendToPeer(address=owner.address, payload=offer),
            self._event(
                EventName.ATTEMPT_OFFERED,
                state,
                detail=describe_choice(state, server.name),
            ),
        )

    def _make_attempt_id(self, state: OpenRequest) -> str:
        parts = [state.request.request_id, self._own.incarnation, str(state.n_offers)]
        return ".".join(part for part in parts if part)

    def _schedule_round(self, state: OpenRequest, now_ms: int) -> Sequence[Message]:
        """Offer again once views had time to converge, if a refusal was transient."""
        state.n_rounds += 1
        if not state.is_transient or state.n_rounds > MAX_ROUNDS:
            return self._close_unanswered(state, now_ms)
        delay_ms = ROUND_DELAY_MS + self._random.randrange(ROUND_DELAY_MS)
        state.next_offer_at_ms = now_ms + delay_ms
        self._set_timer(state, now_ms)
        return ()

    def _retry_offers(self, state: OpenRequest, now_ms: int) -> Sequence[Message]:
        view = self._view
        assert view is not None
        state.next_offer_at_ms = 0
        state.is_transient = False
        state.was_queued = False
        state.refused.clear()
        ranked = self._placement.rank(state.request, view)
        state.plan = plan_after_failure(state, ranked, self._open_circuit_check(now_ms))
        if not state.plan:
            state.causes = self._causes_of_outage(state.request.service, now_ms)
        return self._offer_next(state, now_ms)

    # Replies

    def _find_by_attempt(self, attempt_id: str) -> OpenRequest | None:
        state = self._open.get(self._request_of_attempt.get(attempt_id, ""))
        if state is None or state.attempt is None:
            return None
        return state if state.attempt.attempt_id == attempt_id else None

    def _handle_reply(
        self, payload: Message, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        attempt_id: str = getattr(payload, "attempt_id", "")
        state = self._find_by_attempt(attempt_id)
        if state is None or state.attempt is None:
            return self._drop_late_reply(payload, attempt_id, sender)
        match payload:
            case AttemptQueued():
                if state.attempt.stage is Stage.OFFERED:
                    state.attempt.stage = Stage.QUEUED
            case AttemptStarted(wait_ms=wait_ms):
                if state.attempt.stage is not Stage.STARTED:
                    state.n_attempts += 1
                    state.wait_ms += wait_ms
                state.attempt.stage = Stage.STARTED
            case AttemptRefused():
                return self._handle_refusal(state, payload, now_ms)
            case AttemptEnded():
                return self._complete(state, payload, now_ms)
            case AttemptFailed():
                state.attempt.n_bytes = payload.n_bytes
                return self._handle_failure(
                    state, payload.causes, not_run=payload.not_run, now_ms=now_ms
                )
        return ()

    def _drop_late_reply(
        self, payload: Message, attempt_id: str, sender: Member
    ) -> Sequence[Message]:
        self._n_late_answers += 1
        event = LoggedEvent(
            name=EventName.LATE_ANSWER_DROPPED,
            attempt_id=attempt_id,
            peer=sender.address,
            detail=type(payload).__name__,
        )
        if not isinstance(payload, AttemptQueued | AttemptStarted):
            return (event,)
        cancel = CancelAttempt(attempt_id=attempt_id)
        return (event, SendToPeer(address=sender.address, payload=cancel))

    def _handle_refusal(
        self, state: OpenRequest, refusal: AttemptRefused, now_ms: int
    ) -> Sequence[Message]:
        assert state.attempt is not None and self._view is not None
        name = state.attempt.backend_server
        self._request_of_attempt.pop(refusal.attempt_id, None)
        if refusal.hint_server:
            plan_hint(state, refusal, self._view)
            return self._offer_next(state, now_ms)
        self._placement.observe_load(name, refusal.load)
        state.causes = refusal.causes
        state.retry_after_ms = refusal.retry_after_ms
        if refusal.is_transient:
            state.is_transient = True
        else:
            state.refused[name] = refusal.retry_after_ms
        if refusal.causes and refusal.causes[0].code is CauseCode.CIRCUIT_OPEN:
            self._open_circuits.record_open(
                name, retry_after_ms=refusal.retry_after_ms, now_ms=now_ms
            )
        return self._offer_next(state, now_ms)

    def _complete(
        self, state: OpenRequest, ended: AttemptEnded, now_ms: int
    ) -> Sequence[Message]:
        assert state.attempt is not None
        self._open_circuits.record_success(state.attempt.backend_server)
        state.n_attempts = max(1, state.n_attempts)
        state.n_bytes = state.attempt.resume_offset + ended.n_bytes
        outcome = Completed(
            n_bytes=state.n_bytes, digest=ended.digest, status=ended.status
        )
        return (
            *self._record_spill(state),
            *self._close(
                state, outcome, now_ms, between_tokens_ms=ended.between_tokens_ms
            ),
        )

    def _record_spill(self, state: OpenRequest) -> Sequence[Message]:
        attempt = state.attempt
        view = self._view
        chat = state.request.chat
        if attempt is None or view is None or not chat:
            return ()
        if not self._placement.has_affinity:
            return ()
        is_at_first_choice = attempt.backend_server == state.first_choice
        first = view.text.backend_servers.get(state.first_choice)
        # A chat whose first offer was served by its first choice has not spilled.
        if first is None or (is_at_first_choice and state.n_offers == 1):
            return ()
        record = SpillRecorded(
            first_choice=first.name,
            chat=chat,
            backend_server="" if is_at_first_choice else attempt.backend_server,
        )
        owner = self._owners.owner_of(first)
        return (SendToPeer(address=owner.address, payload=record),)

    # Failures

    def _handle_failure(
        self,
        state: OpenRequest,
        causes: tuple[Cause, ...],
        *,
        not_run: bool,
        now_ms: int,
        from_budget: bool = True,
    ) -> Sequence[Message]:
        attempt = state.attempt
        assert attempt is not None
        state.causes = causes
        state.failed.add(attempt.backend_server)
        self._request_of_attempt.pop(attempt.attempt_id, None)
        if not not_run:
            state.may_have_run = True
            state.n_bytes = attempt.resume_offset + attempt.n_bytes
            if not self._is_repeatable(state.request):
                return self._close_unanswered(state, now_ms)
        if state.n_attempts >= MAX_ATTEMPTS or now_ms >= state.request.deadline_ms:
            return self._close_unanswered(state, now_ms)
        budget = self._budgets.setdefault(state.request.service, RetryBudget())
        if from_budget and not budget.spend():
            state.causes = (Cause(code=CauseCode.RETRY_BUDGET), *causes)
            return self._close_unanswered(state, now_ms)
        return self._retry(state, now_ms)

    def _retry(self, state: OpenRequest, now_ms: int) -> Sequence[Message]:
        event = self._event(EventName.ATTEMPT_RETRIED, state, causes=state.causes)
        state.attempt = None
        if state.n_attempts <= 1:
            return (event, *self._retry_offers(state, now_ms))
        spread_ms = RETRY_DELAY_MS << state.n_attempts
        delay_ms = RETRY_DELAY_MS + self._random.randrange(spread_ms)
        state.next_offer_at_ms = now_ms + delay_ms
        self._set_timer(state, now_ms)
        return (event,)

    def _is_repeatable(self, request: Request) -> bool:
        view = self._view
        spec = view.text.services.get(request.service) if view is not None else None
        return request.repeatable and (spec is None or spec.repeatable)

    def _handle_owner_lost(self, peer: Member, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        cause = Cause(code=CauseCode.PEER_LOST, subject=peer.address, at_ms=now_ms)
        for state in list(self._open.values()):
            if state.attempt is not None and _is_same_process(
                state.attempt.owner, peer
            ):
                results.extend(self._abandon_attempt(state, cause, now_ms))
        return results

    def _abandon_attempt(
        self, state: OpenRequest, cause: Cause, now_ms: int
    ) -> Sequence[Message]:
        attempt = state.attempt
        assert attempt is not None
        cancel = CancelAttempt(attempt_id=attempt.attempt_id)
        # The retry budget protects the backend servers from overload. The loss of a
        # router is no sign of overload, so this retry is not charged to the budget.
        return (
            SendToPeer(address=attempt.owner.address, payload=cancel),
            *self._handle_failure(
                state, (cause,), not_run=False, now_ms=now_ms, from_budget=False
            ),
        )

    def _handle_unsent_offer(
        self, offer: OfferAttempt, address: str, now_ms: int
    ) -> Sequence[Message]:
        state = self._find_by_attempt(offer.attempt_id)
        if state is None:
            return ()
        self._request_of_attempt.pop(offer.attempt_id, None)
        state.causes = (Cause(code=CauseCode.PEER_LOST, subject=address, at_ms=now_ms),)
        state.is_transient = True
        return self._offer_next(state, now_ms)

    # Timers

    def _handle_tick(self, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        while self._timers and self._timers[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._timers)
            state = self._open.get(request_id)
            if state is None:
                continue
            results.extend(self._handle_timer(state, now_ms))
            if request_id in self._open:
                self._set_timer(state, now_ms)
        if self._is_stopping:
            results.append(OpenWork(part="entry", n_open=len(self._open)))
        return results

    def _set_timer(self, state: OpenRequest, now_ms: int) -> None:
        """Set a timer for the next timeout of a request."""
        attempt = state.attempt
        due_ms = state.request.deadline_ms
        if attempt is None:
            due_ms = min(due_ms, state.next_offer_at_ms or due_ms)
        else:
            due_ms += DEADLINE_GRACE_MS
            if attempt.stage is Stage.OFFERED:
                reply_due_ms = attempt.offered_at_ms + OFFER_REPLY_TIMEOUT_MS
                due_ms = min(due_ms, reply_due_ms)
        # An overdue request is waiting for a message, so it is checked again later.
        due_ms = max(due_ms, now_ms + MIN_TIMER_MS)
        heapq.heappush(self._timers, (due_ms, state.request.request_id))

    def _handle_timer(self, state: OpenRequest, now_ms: int) -> Sequence[Message]:
        attempt = state.attempt
        if attempt is None:
            if now_ms >= state.request.deadline_ms:
                return self._handle_deadline(state, now_ms)
            if state.next_offer_at_ms and now_ms >= state.next_offer_at_ms:
                return self._retry_offers(state, now_ms)
            return ()
        if now_ms >= state.request.deadline_ms + DEADLINE_GRACE_MS:
            return self._handle_deadline(state, now_ms)
        is_reply_overdue = now_ms - attempt.offered_at_ms >= OFFER_REPLY_TIMEOUT_MS
        if attempt.stage is not Stage.OFFERED or not is_reply_overdue:
            return ()
        # For an action, a lost offer cannot be distinguished from a lost reply.
        if not self._is_repeatable(state.request) or state.n_attempts >= MAX_ATTEMPTS:
            return ()
        detail = f"no reply for {OFFER_REPLY_TIMEOUT_MS} ms"
        cause = Cause(
            code=CauseCode.PEER_LOST, subject=attempt.owner.address, detail=detail
        )
        return self._abandon_attempt(state, cause, now_ms)

    def _handle_deadline(self, state: OpenRequest, now_ms: int) -> Sequence[Message]:
        deadline = Cause(code=CauseCode.DEADLINE, at_ms=state.request.deadline_ms)
        state.causes = (deadline, *state.causes)
        if state.attempt is None:
            return self._close_unanswered(state, now_ms)
        state.may_have_run = True
        attempt = state.attempt
        cancel = CancelAttempt(attempt_id=attempt.attempt_id)
        return (
            SendToPeer(address=attempt.owner.address, payload=cancel),
            *self._close_unanswered(state, now_ms),
        )

    # End of a request

    def _handle_caller_gone(self, request_id: str, now_ms: int) -> Sequence[Message]:
        state = self._open.get(request_id)
        if state is None:
            return ()
        state.causes = (Cause(code=CauseCode.CALLER_GONE, at_ms=now_ms),)
        results: list[Message] = []
        if state.attempt is not None:
            state.may_have_run = True
            # An action that may have started runs to completion, so that its outcome
            # is recorded in case the caller requests it later.
            if not self._is_repeatable(state.request):
                return ()
            cancel = CancelAttempt(attempt_id=state.attempt.attempt_id)
            owner = state.attempt.owner
            results.append(SendToPeer(address=owner.address, payload=cancel))
        return (*results, *self._close_unanswered(state, now_ms))

    def _close_unanswered(self, state: OpenRequest, now_ms: int) -> Sequence[Message]:
        return self._close(state, outcome_without_answer(state, self._view), now_ms)

    def _close(
        self,
        state: OpenRequest,
        outcome: Outcome,
        now_ms: int,
        *,
        between_tokens_ms: int = 0,
    ) -> Sequence[Message]:
        request_id = state.request.request_id
        self._open.pop(request_id, None)
        if state.attempt is not None:
            self._request_of_attempt.pop(state.attempt.attempt_id, None)
        event = outcome_event(
            state,
            outcome,
            self._view,
            now_ms=now_ms,
            between_tokens_ms=between_tokens_ms,
        )
        return (RequestEnded(request_id=request_id, outcome=outcome), event)

    def _event(
        self,
        name: EventName,
        state: OpenRequest,
        *,
        causes: tuple[Cause, ...] = (),
        detail: str = "",
    ) -> LoggedEvent:
        request = state.request
        attempt = state.attempt
        return LoggedEvent(
            name=name,
            request_id=request.request_id,
            attempt_id=attempt.attempt_id if attempt is not None else "",
            service=request.service,
            team=request.team,
            backend_server=attempt.backend_server if attempt is not None else "",
            peer=attempt.owner.address if attempt is not None else "",
            causes=causes,
            detail=detail,
            n_attempts=state.n_attempts,
            text_version=self._view.text.version if self._view is not None else 0,
        )


def _is_same_process(owner: Member, peer: Member) -> bool:
    """Return whether a lost peer is the process that received an offer."""
    if owner.address != peer.address:
        return False
    if not owner.incarnation or not peer.incarnation:
        return True
    return owner.incarnation == peer.incarnation
