"""Dispatch of callers' requests between the caller interface and the kernel."""

from collections.abc import Callable

from attrs import frozen

from damaskrill.callers import (
    CallerAnswer,
    CallerLimits,
    CallerRequest,
    RouterBusyError,
)
from damaskrill.messages import (
    AnswerCaller,
    CallerGone,
    Cause,
    CauseCode,
    Completed,
    Message,
    Outcome,
    OutcomeAsked,
    PermitIssued,
    PermitRequested,
    Request,
    RequestArrived,
    Unknown,
)
from damaskrill.relay import AnswerCache, BodyStore, EntryRelay
from damaskrill.utils import Clock

__all__ = ["CallerDispatcher"]

# The kernel ends each request at its deadline. A request that it missed is ended this
# long after the deadline.
OVERDUE_MS = 5_000
PERMIT_TIMEOUT_MS = 10_000


@frozen(kw_only=True)
class _OpenCall:
    answer: CallerAnswer
    ends_at_ms: int


class CallerDispatcher:
    """Registry of the open calls of this process's callers.

    Parameters
    ----------
    incarnation : str
        Prefix of each request ID, which makes it unique within the fleet.
    clock : Clock
        Source of the current time.
    limits : CallerLimits
        Limits of the caller interface.
    relay : EntryRelay
        Relay that assembles the answers.
    bodies : BodyStore
        Store of the request bodies.
    answer_cache : AnswerCache
        Answers of earlier actions.
    post : callable
        Queues a message for the kernel; returns False if the queue is full.
    is_overloaded : callable
        Returns whether new requests should be refused.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        clock: Clock,
        limits: CallerLimits,
        relay: EntryRelay,
        bodies: BodyStore,
        answer_cache: AnswerCache,
        post: Callable[[Message], bool],
        is_overloaded: Callable[[], bool],
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._limits = limits
        self._relay = relay
        self._bodies = bodies
        self._answer_cache = answer_cache
        self._post = post
        self._is_overloaded = is_overloaded
        self._calls: dict[str, _OpenCall] = {}
        self._n_requests = 0

    def __len__(self) -> int:
        return len(self._calls)

    def next_request_id(self) -> str:
        """Return an ID that is unique within the fleet."""
        self._n_requests += 1
        return f"{self._incarnation}-{self._n_requests}"

    def open_request(self, call: CallerRequest, answer: CallerAnswer) -> None:
        """Send a request to the kernel.

        Raises
        ------
        RouterBusyError
            If the queue of the kernel is too long.
        """
        request = call.request
        self._open_call(request.request_id, answer, request.deadline_ms)
        is_action = bool(request.permit or request.idempotency_key)
        self._relay.open_request(request.request_id, answer, is_cacheable=is_action)
        expires_at_ms = request.deadline_ms + OVERDUE_MS
        self._bodies.put(request.request_id, call.body, expires_at_ms)
        self._post_or_reject(RequestArrived(request=request), request.request_id)

    def query_outcome(self, request: Request, answer: CallerAnswer) -> None:
        """Request a recorded outcome from the kernel."""
        self._open_call(request.request_id, answer, request.deadline_ms)
        self._relay.open_request(request.request_id, answer)
        self._post_or_reject(OutcomeAsked(request=request), request.request_id)

    def request_permit(self, service: str, team: str, answer: CallerAnswer) -> None:
        """Request a permit from the kernel."""
        request_id = answer.request_id
        self._open_call(request_id, answer, self._clock.now_ms + PERMIT_TIMEOUT_MS)
        message = PermitRequested(request_id=request_id, service=service, team=team)
        self._post_or_reject(message, request_id)

    def handle_disconnect(self, request_id: str) -> None:
        """Notify the kernel that a caller has disconnected."""
        if self._close_call(request_id) is not None:
            self._post(CallerGone(request_id=request_id))

    def answer(self, effect: AnswerCaller) -> Outcome | None:
        """End a call and return its outcome; return None if the call is not open."""
        request_id = effect.request_id
        call = self._calls.get(request_id)
        if call is None:
            return None
        outcome = effect.outcome
        if isinstance(outcome, Completed) and effect.recorded_request_id:
            outcome = self._replay_cached(effect, outcome)
        if isinstance(outcome, Completed) and self._relay.is_corrupt(request_id):
            cause = Cause(code=CauseCode.ANSWER_DAMAGED, subject="the backend server")
            outcome = Unknown(causes=(cause,))
        totals = self._relay.totals(request_id)
        self._close_call(request_id, is_complete=isinstance(outcome, Completed))
        call.answer.finish(outcome, totals)
        return outcome

    def answer_permit(self, effect: PermitIssued) -> None:
        """End a request for a permit."""
        call = self._close_call(effect.request_id)
        if call is not None:
            call.answer.finish_permit(effect)

    def end_overdue(self) -> int:
        """End the calls that the kernel missed and return their number."""
        now_ms = self._clock.now_ms
        overdue = [
            request_id
            for request_id, call in self._calls.items()
            if call.ends_at_ms + OVERDUE_MS < now_ms
        ]
        cause = Cause(
            code=CauseCode.DEADLINE, detail="and the kernel reported no outcome"
        )
        for request_id in overdue:
            outcome = Unknown(causes=(cause,))
            self.answer(AnswerCaller(request_id=request_id, outcome=outcome))
            self._post(CallerGone(request_id=request_id))
        return len(overdue)

    def _replay_cached(self, effect: AnswerCaller, outcome: Completed) -> Outcome:
        cached = self._answer_cache.get(effect.recorded_request_id)
        if cached is not None:
            self._relay.replay_cached(effect.request_id, cached)
        return outcome

    def _open_call(
        self, request_id: str, answer: CallerAnswer, ends_at_ms: int
    ) -> None:
        if self._is_overloaded():
            raise RouterBusyError()
        self._calls[request_id] = _OpenCall(answer=answer, ends_at_ms=ends_at_ms)

    def _post_or_reject(self, message: Message, request_id: str) -> None:
        if not self._post(message):
            self._close_call(request_id)
            raise RouterBusyError()

    def _close_call(
        self, request_id: str, *, is_complete: bool = False
    ) -> _OpenCall | None:
        self._relay.close_request(request_id, is_complete=is_complete)
        self._bodies.discard(request_id)
        return self._calls.pop(request_id, None)
