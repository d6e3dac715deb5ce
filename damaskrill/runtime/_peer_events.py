"""Takes the events of the transport between routers."""

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

# Bodies outlive their request's deadline by this much, for work that ends late.
BODY_GRACE_MS = 10_000


class PeerEvents:
    """Handler of a ``PeerNetwork``: bytes go to the relay, the rest to the kernel.

    Parameters
    ----------
    clock : Clock
        Time.
    relay : EntryRelay
        Joins the answers whose entry this process is.
    bodies : BodyStore
        Keeps bodies of requests.
    hops : HopTable
        Notes what came from where.
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
        """Take the parts that need this object at their own construction."""
        self._kernel_task = kernel_task
        self._network = network

    def payload_received(
        self, sender: Member, payload: PeerPayload, body: bytes
    ) -> Awaitable[None] | None:
        """Take a payload and the body that came with it."""
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
        """Take part of an answer's bytes."""
        self._relay.handle_chunk(stream_id, offset, data)

    def peer_connected(self, member: Member) -> None:
        """Note that a connection to a process stands."""
        self._post(PeerConnected(peer=member))

    def peer_lost(self, member: Member) -> None:
        """Note that a connection broke; tell first how far its attempts came."""
        for progress in self._relay.progress_from(member.address):
            self._post(progress)
        self._post(PeerLost(peer=member))

    def peer_unreachable(self, address: str, payload: PeerPayload) -> None:
        """Note that a queued payload was not sent, not even in part."""
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
