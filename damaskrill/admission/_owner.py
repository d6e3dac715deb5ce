"""Admits attempts to the backend servers that this router owns."""

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
    BackendEnded,
    BackendFailed,
    CancelAttempt,
    CancelDispatch,
    Cause,
    CauseCode,
    DispatchAttempt,
    FleetView,
    FleetViewChanged,
    Member,
    Message,
    OfferAttempt,
    PeerDelivered,
    SendToPeer,
)

__all__ = ["OwnerDecider"]


@attrs.define(kw_only=True)
class _RunningAttempt:
    entry: Member
    backend_server: str


@registry.register("decider", "owner")
class OwnerDecider(BaseDecider):
    """Owner's side of each attempt.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed.
    """

    handles = (
        FleetViewChanged,
        OfferAttempt,
        CancelAttempt,
        BackendEnded,
        BackendFailed,
    )

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own
        self._view: FleetView | None = None
        self._running: dict[str, _RunningAttempt] = {}

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Take one message."""
        match message:
            case FleetViewChanged(view=view):
                self._view = view
                return ()
            case PeerDelivered(sender=sender, payload=OfferAttempt() as offer):
                return self._admit(offer, sender, now_ms)
            case PeerDelivered(payload=CancelAttempt(attempt_id=attempt_id)):
                if self._running.pop(attempt_id, None) is None:
                    return ()
                return (CancelDispatch(attempt_id=attempt_id),)
            case BackendEnded():
                return self._reply(
                    message.attempt_id,
                    AttemptEnded(
                        attempt_id=message.attempt_id,
                        n_bytes=message.n_bytes,
                        digest=message.digest,
                        status=message.status,
                    ),
                )
            case BackendFailed():
                return self._fail(message, now_ms)
        return ()

    def _admit(
        self, offer: OfferAttempt, entry: Member, now_ms: int
    ) -> Sequence[Message]:
        cause = self._refusal_cause(offer)
        if cause is not None:
            refusal = AttemptRefused(attempt_id=offer.attempt_id, causes=(cause,))
            return (SendToPeer(address=entry.address, payload=refusal),)
        assert self._view is not None
        server = self._view.text.backend_servers[offer.backend_server]
        self._running[offer.attempt_id] = _RunningAttempt(
            entry=entry, backend_server=server.name
        )
        started = AttemptStarted(attempt_id=offer.attempt_id)
        request = attrs.evolve(offer.request, deadline_ms=now_ms + offer.remaining_ms)
        return (
            SendToPeer(address=entry.address, payload=started),
            DispatchAttempt(
                attempt_id=offer.attempt_id,
                request=request,
                backend_server=server.name,
                address=server.address,
                resume_offset=offer.resume_offset,
                fencing_number=self._view.text.version,
            ),
        )

    def _refusal_cause(self, offer: OfferAttempt) -> Cause | None:
        view = self._view
        if view is None or view.text.version == 0:
            return Cause(code=CauseCode.NO_TEXT)
        server = view.text.backend_servers.get(offer.backend_server)
        if server is None:
            return Cause(
                code=CauseCode.NO_BACKEND_SERVER, subject=offer.request.service
            )
        if owner_of_server(server, view.members).address != self._own.address:
            return Cause(code=CauseCode.NOT_OWNER, subject=self._own.address)
        load = sum(
            each.backend_server == server.name for each in self._running.values()
        )
        if load >= server.bearable_load:
            return Cause(code=CauseCode.AT_LIMIT, subject=server.name)
        return None

    def _fail(self, failure: BackendFailed, now_ms: int) -> Sequence[Message]:
        attempt = self._running.get(failure.attempt_id)
        if attempt is None:
            return ()
        cause = Cause(
            code=CauseCode.BACKEND_SERVER_FAILED,
            subject=attempt.backend_server,
            detail=failure.reason,
            at_ms=now_ms,
        )
        not_run = failure.n_bytes_sent == 0 or failure.refused_by_server
        payload = AttemptFailed(
            attempt_id=failure.attempt_id,
            causes=(cause,),
            n_bytes=failure.n_bytes,
            not_run=not_run,
        )
        return self._reply(failure.attempt_id, payload)

    def _reply(
        self, attempt_id: str, payload: AttemptEnded | AttemptFailed
    ) -> Sequence[Message]:
        attempt = self._running.pop(attempt_id, None)
        if attempt is None:
            return ()
        return (SendToPeer(address=attempt.entry.address, payload=payload),)
