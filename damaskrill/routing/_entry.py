"""Entry's side of each request: choices, retries and the one outcome."""

from collections.abc import Sequence

import attrs

from damaskrill.base import BaseDecider
from damaskrill.kernel._registry import registry
from damaskrill.membership._ownership import owner_of_server
from damaskrill.messages import (
    AttemptEnded,
    AttemptFailed,
    AttemptRefused,
    AttemptStarted,
    CallerGone,
    CancelAttempt,
    Cause,
    CauseCode,
    Completed,
    FleetView,
    FleetViewChanged,
    Member,
    Message,
    NotRun,
    OfferAttempt,
    Outcome,
    PeerDelivered,
    PeerLost,
    Request,
    RequestEnded,
    RouteRequest,
    SendToPeer,
    Unknown,
)

__all__ = ["EntryDecider"]


@attrs.define(kw_only=True)
class _OpenRequest:
    request: Request
    choices: list[str]
    n_attempts: int = 0
    attempt_id: str = ""
    owner: str = ""
    causes: tuple[Cause, ...] = ()


@registry.register("decider", "entry")
class EntryDecider(BaseDecider):
    """Finds the owner of the best backend server, and the next one on refusal.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed.
    placement : str, default="rendezvous"
        Registered placement policy.
    """

    handles = (
        FleetViewChanged,
        RouteRequest,
        CallerGone,
        AttemptStarted,
        AttemptRefused,
        AttemptEnded,
        AttemptFailed,
        PeerLost,
    )

    def __init__(
        self, *, own: Member, random_state: int = 0, placement: str = "rendezvous"
    ) -> None:
        self._own = own
        self._view: FleetView | None = None
        self._placement = registry.create(
            "placement", placement, random_state=random_state
        )
        self._open: dict[str, _OpenRequest] = {}
        self._request_of_attempt: dict[str, str] = {}

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Take one message."""
        match message:
            case FleetViewChanged(view=view):
                self._view = view
                return ()
            case RouteRequest(request=request):
                return self._open_request(request, now_ms)
            case CallerGone(request_id=request_id):
                return self._drop(request_id)
            case PeerLost(peer=peer):
                return self._lose_owner(peer)
            case PeerDelivered(payload=payload):
                return self._take_reply(payload, now_ms)
        return ()

    def _open_request(self, request: Request, now_ms: int) -> Sequence[Message]:
        view = self._view
        if view is None or view.text.version == 0:
            return self._refuse(request, Cause(code=CauseCode.NO_TEXT))
        if request.service not in view.text.services:
            cause = Cause(code=CauseCode.UNKNOWN_SERVICE, subject=request.service)
            return self._refuse(request, cause)
        choices = self._placement.rank(request, view)
        state = _OpenRequest(request=request, choices=choices)
        self._open[request.request_id] = state
        return self._offer_next(state, now_ms)

    def _refuse(self, request: Request, cause: Cause) -> Sequence[Message]:
        outcome = NotRun(causes=(cause,), retry_after_ms=1_000)
        return (RequestEnded(request_id=request.request_id, outcome=outcome),)

    def _offer_next(self, state: _OpenRequest, now_ms: int) -> Sequence[Message]:
        assert self._view is not None
        request = state.request
        if not state.choices:
            causes = state.causes or (
                Cause(code=CauseCode.NO_BACKEND_SERVER, subject=request.service),
            )
            return self._close(state, NotRun(causes=causes, retry_after_ms=1_000))
        name = state.choices.pop(0)
        server = self._view.text.backend_servers[name]
        owner = owner_of_server(server, self._view.members)
        state.n_attempts += 1
        state.attempt_id = f"{request.request_id}.{state.n_attempts}"
        state.owner = owner.address
        self._request_of_attempt[state.attempt_id] = request.request_id
        offer = OfferAttempt(
            attempt_id=state.attempt_id,
            request=request,
            backend_server=name,
            remaining_ms=request.deadline_ms - now_ms,
            text_version=self._view.text.version,
        )
        return (SendToPeer(address=owner.address, payload=offer),)

    def _take_reply(self, payload: Message, now_ms: int) -> Sequence[Message]:
        attempt_id = getattr(payload, "attempt_id", "")
        request_id = self._request_of_attempt.get(attempt_id, "")
        state = self._open.get(request_id)
        if state is None or state.attempt_id != attempt_id:
            return ()
        match payload:
            case AttemptRefused(causes=causes):
                state.causes = causes
                return self._offer_next(state, now_ms)
            case AttemptEnded():
                outcome = Completed(
                    n_bytes=payload.n_bytes,
                    digest=payload.digest,
                    status=payload.status,
                )
                return self._close(state, outcome)
            case AttemptFailed(causes=causes, not_run=True):
                state.causes = causes
                return self._offer_next(state, now_ms)
            case AttemptFailed(causes=causes):
                return self._close(state, Unknown(causes=causes))
        return ()

    def _lose_owner(self, peer: Member) -> Sequence[Message]:
        results: list[Message] = []
        cause = Cause(code=CauseCode.PEER_LOST, subject=peer.address)
        for state in list(self._open.values()):
            if state.owner == peer.address:
                results.extend(self._close(state, Unknown(causes=(cause,))))
        return results

    def _drop(self, request_id: str) -> Sequence[Message]:
        state = self._open.pop(request_id, None)
        if state is None:
            return ()
        self._request_of_attempt.pop(state.attempt_id, None)
        cancel = CancelAttempt(attempt_id=state.attempt_id)
        return (SendToPeer(address=state.owner, payload=cancel),)

    def _close(self, state: _OpenRequest, outcome: Outcome) -> Sequence[Message]:
        request_id = state.request.request_id
        self._open.pop(request_id, None)
        self._request_of_attempt.pop(state.attempt_id, None)
        return (RequestEnded(request_id=request_id, outcome=outcome),)
