"""Handler of the events of the peer transport."""

from collections.abc import Awaitable

import attrs

from damaskrill.messages import (
    AnswerHead,
    AttemptEnded,
    AttemptFailed,
    Cause,
    CauseCode,
    Completed,
    ForwardedAnswer,
    ForwardRequest,
    Member,
    Message,
    OfferAttempt,
    PeerConnected,
    PeerDelivered,
    PeerLost,
    PeerPayload,
    PeerUnreachable,
    Unknown,
)
from damaskrill.peers import PeerNetwork
from damaskrill.relay import BodyStore, EntryRelay, PeerStream
from damaskrill.runtime._hops import Hop, HopTable
from damaskrill.runtime._kernel_task import KernelTask
from damaskrill.utils import Clock

__all__ = ["PeerEvents"]

# Bodies are retained this long after the deadline, for attempts that end late.
BODY_GRACE_MS = 10_000


class PeerEvents:
    """Pass bytes from a ``PeerNetwork`` to the relay and its events to the kernel.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    relay : EntryRelay
        Relay that assembles the answers for which this process is the entry.
    bodies : BodyStore
        Store of the request bodies.
    hops : HopTable
        Origins of requests and attempts.
    """

    def __init__(
        self, *, clock: Clock, relay: EntryRelay, bodies: BodyStore, hops: HopTable
    ) -> None:
        self._clock = clock
        self._relay = relay
        self._bodies = bodies
        self._hops = hops
        self._kernel_task: KernelTask | None = None
        self._network: PeerNetwork | None = None

    def connect(self, *, kernel_task: KernelTask, network: PeerNetwork) -> None:
        """Set the components whose construction requires this handler."""
        self._kernel_task = kernel_task
        self._network = network

    def payload_received(
        self, sender: Member, payload: PeerPayload, body: bytes
    ) -> Awaitable[None] | None:
        """Handle a payload and its body."""
        if isinstance(payload, AnswerHead):
            self._relay.handle_head(payload)
            return None
        prepared = self._prepare_payload(sender, payload, body)
        self._post(PeerDelivered(sender=sender, payload=prepared))
        task = self._kernel_task
        if task is not None and task.is_overloaded:
            return task.wait_for_capacity()
        return None

    def chunk_received(
        self, sender: Member, stream_id: str, offset: int, data: bytes
    ) -> None:
        """Handle a chunk of an answer."""
        self._relay.handle_chunk(stream_id, offset, data)

    def peer_connected(self, member: Member) -> None:
        """Notify the kernel of a new connection."""
        self._post(PeerConnected(peer=member))

    def peer_lost(self, member: Member) -> None:
        """Notify the kernel of a lost connection, after its attempts' progress."""
        for progress in self._relay.progress_from(member.address):
            self._post(progress)
        self._post(PeerLost(peer=member))

    def peer_unreachable(self, address: str, payload: PeerPayload) -> None:
        """Notify the kernel that a queued payload was not sent, not even in part."""
        if not isinstance(payload, AnswerHead):
            self._post(PeerUnreachable(address=address, payload=payload))

    def _prepare_payload(
        self, sender: Member, payload: PeerPayload, body: bytes
    ) -> PeerPayload:
        match payload:
            case OfferAttempt():
                self._store_offer(sender, payload, body)
            case ForwardRequest():
                self._store_forwarded(sender, payload, body)
            case AttemptEnded():
                return self._relay.check_end(payload)
            case AttemptFailed():
                return self._relay.correct_failure(payload)
            case ForwardedAnswer():
                return self._verify_forwarded(sender, payload)
        return payload

    def _store_offer(self, sender: Member, offer: OfferAttempt, body: bytes) -> None:
        expires_at_ms = self._clock.now_ms + offer.remaining_ms + BODY_GRACE_MS
        self._bodies.put(offer.attempt_id, body, expires_at_ms)
        self._hops.add_attempt(offer.attempt_id, sender.address)

    def _store_forwarded(
        self, sender: Member, forwarded: ForwardRequest, body: bytes
    ) -> None:
        assert self._network is not None
        request_id = forwarded.request.request_id
        stream = PeerStream(
            sender=self._network, address=sender.address, stream_id=forwarded.hop_id
        )
        self._relay.open_request(request_id, stream, is_cacheable=True)
        self._hops.add_hop(forwarded.hop_id, Hop(request_id=request_id, stream=stream))
        expires_at_ms = self._clock.now_ms + forwarded.remaining_ms + BODY_GRACE_MS
        self._bodies.put(request_id, body, expires_at_ms)

    def _verify_forwarded(
        self, sender: Member, answer: ForwardedAnswer
    ) -> ForwardedAnswer:
        outcome = answer.outcome
        if not isinstance(outcome, Completed):
            return answer
        if self._relay.matches_hop(answer.hop_id, outcome.n_bytes, outcome.digest):
            return answer
        cause = Cause(code=CauseCode.ANSWER_DAMAGED, subject=sender.address)
        return attrs.evolve(answer, outcome=Unknown(causes=(cause,)))

    def _post(self, message: Message) -> None:
        if self._kernel_task is not None:
            self._kernel_task.post(message)
