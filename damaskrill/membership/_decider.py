"""Membership by probes, with constant traffic per router at any fleet size."""

import math
from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.kernel._registry import registry
from damaskrill.membership._dissemination import GossipQueue
from damaskrill.membership._probing import PendingProbe, ProbeRotation
from damaskrill.membership._table import PeerTable
from damaskrill.messages import (
    EventName,
    HostListRead,
    LoggedEvent,
    Member,
    MemberNews,
    MembersChanged,
    MemberState,
    MembersTold,
    Message,
    PeerConnected,
    PeerDelivered,
    PeerLost,
    PeerUnreachable,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    ProcessPaused,
    ReadHostList,
    SendToPeer,
    StopRequested,
    TextHeld,
    Tick,
)
from damaskrill.utils import check_random_state

__all__ = ["ProbingMembership"]

PROBE_INTERVAL_MS = 1_000
DIRECT_PROBE_TIMEOUT_MS = 400
PROBE_TIMEOUT_MS = 1_000
N_INDIRECT_PROBES = 3
N_JOIN_PROBES = 2
# Probes sent immediately after one without an answer, so that a partition is detected
# in about log2(n) steps in a fleet of n routers.
N_PROBES_AFTER_FAILURE = 2
MIN_SUSPICION_MS = 2_000
SUSPICION_PER_DOUBLING_MS = 400
# Time that a resumed process waits for a peer before it regards itself as partitioned.
RESYNC_TIMEOUT_MS = 3_000
HOST_LIST_INTERVAL_MS = 2_000
N_MEMBERS_PER_MESSAGE = 24
MAX_PENDING_PROBES = 64
PUBLISH_INTERVAL_MS = 500


@registry.register("decider", "membership")
class ProbingMembership(BaseDecider):
    """Decider that probes one router a second and gossips membership on the probes.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed of the probe order.

    Notes
    -----
    The protocol follows SWIM (Das, Gupta and Motivala, 2002): round-robin probes,
    indirect probes, suspicion before a router is declared dead, and refutation by a
    number that only the suspected process increments. The platform's host list names
    addresses; processes at one address are distinguished by incarnations, which are
    discovered by contact.
    """

    handles = (
        HostListRead,
        PeerConnected,
        PeerLost,
        PeerUnreachable,
        Probe,
        ProbeAnswer,
        ProbeRequest,
        MembersTold,
        ProcessPaused,
        StopRequested,
        TextHeld,
        Tick,
    )

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own
        self._number = 0
        self._has_left = False
        self._is_leaving = False
        self._table = PeerTable(own=own)
        self._gossip = GossipQueue()
        self._rotation = ProbeRotation(
            table=self._table,
            random_state=check_random_state(random_state),
        )
        self._pending: dict[int, PendingProbe] = {}
        self._n_probes = 0
        self._next_probe_ms = 0
        self._next_list_ms = 0
        self._untrusted_since_ms: int | None = None
        self._has_member_list = False
        self._required_version = 0
        self._has_joined = False
        self._text = TextHeld(version=0, digest=0)
        self._published: MembersChanged | None = None
        self._published_state = (False, False, -1)
        self._published_at_ms = -PUBLISH_INTERVAL_MS

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message and publish the members if they have changed."""
        results = list(self._handle(message, now_ms))
        results.extend(self._publish(now_ms))
        return results

    def _handle(self, message: Message, now_ms: int) -> Sequence[Message]:
        match message:
            case Tick():
                return self._handle_tick(now_ms)
            case PeerDelivered(sender=sender, payload=payload):
                self._record_contact(sender, now_ms)
                return self._handle_payload(payload, sender, now_ms)
            case HostListRead(hosts=hosts):
                self._table.apply_host_list(hosts, now_ms)
                self._is_leaving = any(
                    each.leaving and each.address == self._own.address for each in hosts
                )
                return self._join(now_ms)
            case PeerConnected(peer=peer):
                self._record_contact(peer, now_ms)
            case PeerLost(peer=peer):
                return self._probe_disconnected(peer, now_ms)
            case PeerUnreachable(payload=Probe() as probe):
                return self._probe_indirectly(self._pending.get(probe.sequence))
            case ProcessPaused():
                return self._resync(now_ms)
            case TextHeld():
                self._text = message
            case StopRequested():
                return self._leave()
        return ()

    def _handle_payload(
        self, payload: Message, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        match payload:
            case Probe():
                self._apply_updates(payload.news, now_ms)
                return self._answer(payload, sender)
            case ProbeAnswer():
                self._apply_updates(payload.news, now_ms)
                return self._handle_answer(payload, sender, now_ms)
            case ProbeRequest():
                self._apply_updates(payload.news, now_ms)
                probe = PendingProbe(
                    sequence=0,
                    target=payload.target,
                    sent_at_ms=now_ms,
                    is_indirect=True,
                    requester=sender.address,
                    requester_sequence=payload.sequence,
                )
                return (self._send_probe(probe),)
            case MembersTold():
                self._apply_member_list(payload.news, now_ms)
                self._has_member_list = self._has_member_list or payload.is_last
        return ()

    # Probes

    def _handle_tick(self, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        if now_ms >= self._next_list_ms:
            self._next_list_ms = now_ms + HOST_LIST_INTERVAL_MS
            results.append(ReadHostList())
        for probe in list(self._pending.values()):
            results.extend(self._check_probe(probe, now_ms))
        if now_ms >= self._next_probe_ms and not self._has_left:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
            results.extend(self._probe_next(now_ms))
        for update in self._table.expire_suspects(self._suspicion_ms, now_ms):
            self._gossip.add(update)
        return results

    @property
    def _suspicion_ms(self) -> int:
        doublings = math.log2(len(self._table) + 2)
        return max(MIN_SUSPICION_MS, round(SUSPICION_PER_DOUBLING_MS * doublings))

    def _probe_next(self, now_ms: int, *, wants_members: bool = False) -> list[Message]:
        target = self._rotation.next_target()
        if not target:
            return []
        return [self._probe(target, now_ms, wants_members=wants_members)]

    def _probe(
        self, target: str, now_ms: int, *, wants_members: bool = False
    ) -> SendToPeer:
        probe = PendingProbe(sequence=0, target=target, sent_at_ms=now_ms)
        return self._send_probe(probe, wants_members=wants_members)

    def _send_probe(
        self, probe: PendingProbe, *, wants_members: bool = False
    ) -> SendToPeer:
        self._n_probes += 1
        probe.sequence = self._n_probes
        self._pending[probe.sequence] = probe
        if len(self._pending) > MAX_PENDING_PROBES:
            del self._pending[next(iter(self._pending))]
        payload = Probe(
            sequence=probe.sequence,
            news=self._next_updates(),
            wants_members=wants_members,
            text_version=self._text.version,
            text_digest=self._text.digest,
        )
        return SendToPeer(address=probe.target, payload=payload)

    def _check_probe(self, probe: PendingProbe, now_ms: int) -> Sequence[Message]:
        age_ms = now_ms - probe.sent_at_ms
        if age_ms >= PROBE_TIMEOUT_MS:
            del self._pending[probe.sequence]
            if probe.requester:
                return ()
            return self._suspect(probe.target, now_ms)
        if age_ms >= DIRECT_PROBE_TIMEOUT_MS:
            return self._probe_indirectly(probe)
        return ()

    def _probe_indirectly(self, probe: PendingProbe | None) -> Sequence[Message]:
        if probe is None or probe.is_indirect:
            return ()
        probe.is_indirect = True
        others = self._rotation.sample_peers(N_INDIRECT_PROBES, exclude=probe.target)
        return [
            SendToPeer(
                address=other,
                payload=ProbeRequest(
                    sequence=probe.sequence,
                    target=probe.target,
                    news=self._next_updates(),
                ),
            )
            for other in others
        ]

    def _answer(self, probe: Probe, sender: Member) -> list[Message]:
        answer = ProbeAnswer(
            sequence=probe.sequence,
            news=self._next_updates(),
            text_version=self._text.version,
            text_digest=self._text.digest,
        )
        results: list[Message] = [SendToPeer(address=sender.address, payload=answer)]
        if probe.wants_members:
            results.extend(self._send_members(sender))
        return results

    def _handle_answer(
        self, answer: ProbeAnswer, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        probe = self._pending.pop(answer.sequence, None)
        self._required_version = max(self._required_version, answer.text_version)
        if probe is None:
            return ()
        if probe.requester:
            relayed = ProbeAnswer(
                sequence=probe.requester_sequence,
                target=probe.target,
                text_version=self._text.version,
                text_digest=self._text.digest,
            )
            return (SendToPeer(address=probe.requester, payload=relayed),)
        if answer.target:
            self._clear_suspicion(probe.target, now_ms)
        return ()

    def _clear_suspicion(self, address: str, now_ms: int) -> None:
        entry = self._table.get(address)
        if entry is not None and entry.state is not MemberState.DEAD:
            update = self._table.record_contact(entry.member, now_ms)
            if update is not None:
                self._gossip.add(update)

    def _suspect(self, address: str, now_ms: int) -> Sequence[Message]:
        update = self._table.suspect(address, now_ms)
        if update is None:
            return ()
        self._gossip.add(update)
        results: list[Message] = []
        for _ in range(N_PROBES_AFTER_FAILURE):
            results.extend(self._probe_next(now_ms))
        return results

    def _probe_disconnected(self, peer: Member, now_ms: int) -> Sequence[Message]:
        """Probe a router whose connection broke, unless a probe is already pending."""
        targets = [each.target for each in self._pending.values()]
        if peer.address in targets or self._has_left:
            return ()
        return (self._probe(peer.address, now_ms),)

    # Gossip

    def _next_updates(self) -> tuple[MemberNews, ...]:
        return self._gossip.next_updates(len(self._table) + 1)

    def _record_contact(self, peer: Member, now_ms: int) -> None:
        update = self._table.record_contact(peer, now_ms)
        if update is not None:
            self._gossip.add(update)

    def _apply_updates(self, updates: Sequence[MemberNews], now_ms: int) -> None:
        for update in updates:
            if update.address == self._own.address:
                self._refute(update)
            elif self._table.apply_update(update, now_ms):
                self._gossip.add(update)
            else:
                self._probe_other_process(update)

    def _apply_member_list(self, members: Sequence[MemberNews], now_ms: int) -> None:
        # A live router is gossiped by the routers that discovered it. The receivers of
        # a full member list do not gossip its live entries once more.
        for update in members:
            if update.state is not MemberState.ALIVE:
                self._apply_updates((update,), now_ms)
            elif update.address != self._own.address:
                if not self._table.apply_update(update, now_ms):
                    self._probe_other_process(update)

    def _probe_other_process(self, update: MemberNews) -> None:
        entry = self._table.get(update.address)
        is_other = entry is not None and entry.incarnation != update.incarnation
        if is_other and update.state is MemberState.ALIVE:
            self._rotation.probe_first(update.address)

    def _refute(self, update: MemberNews) -> None:
        is_suspected = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        is_own = update.incarnation == self._own.incarnation
        if (
            is_own
            and is_suspected
            and update.number >= self._number
            and not self._has_left
        ):
            self._number = update.number + 1
            self._gossip.add(self._own_update(MemberState.ALIVE))

    def _own_update(self, state: MemberState) -> MemberNews:
        return MemberNews(
            address=self._own.address,
            data_centre=self._own.data_centre,
            incarnation=self._own.incarnation,
            state=state,
            number=self._number,
        )

    def _send_members(self, peer: Member) -> list[Message]:
        updates = [each.update for each in self._table if each.incarnation]
        size = N_MEMBERS_PER_MESSAGE
        batches = [updates[n : n + size] for n in range(0, len(updates), size)] or [[]]
        return [
            SendToPeer(
                address=peer.address,
                payload=MembersTold(news=tuple(batch), is_last=batch is batches[-1]),
            )
            for batch in batches
        ]

    # Joining, leaving, resuming

    def _join(self, now_ms: int) -> Sequence[Message]:
        if self._has_joined or not len(self._table):
            return ()
        self._has_joined = True
        self._gossip.add(self._own_update(MemberState.ALIVE))
        return self._request_members(now_ms)

    def _request_members(self, now_ms: int) -> list[Message]:
        targets = self._rotation.sample_peers(N_JOIN_PROBES)
        return [self._probe(each, now_ms, wants_members=True) for each in targets]

    def _resync(self, now_ms: int) -> Sequence[Message]:
        self._pending.clear()
        self._table.mark_unverified(now_ms)
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        self._next_list_ms = now_ms + HOST_LIST_INTERVAL_MS
        if not any(each.is_in_fleet for each in self._table):
            return (ReadHostList(),)
        self._untrusted_since_ms = now_ms
        self._has_member_list = False
        self._required_version = 0
        return [ReadHostList(), *self._request_members(now_ms)]

    def _leave(self) -> Sequence[Message]:
        if self._has_left:
            return ()
        self._has_left = True
        update = self._own_update(MemberState.LEFT)
        return [
            SendToPeer(address=each.address, payload=MembersTold(news=(update,)))
            for each in self._table
            if each.is_member
        ]

    # The view

    def _publish(self, now_ms: int) -> Sequence[Message]:
        if not self._must_publish(now_ms):
            return ()
        self._published_state = self._view_state(now_ms)
        self._published_at_ms = now_ms
        current = self._members_changed(now_ms)
        if current == self._published:
            return ()
        self._published = current
        event = LoggedEvent(
            name=EventName.MEMBERS_CHANGED,
            detail=(
                f"{current.n_reachable} of {current.n_listed} routers reachable, "
                f"{len(current.members)} members"
            ),
        )
        return (current, event)

    def _view_state(self, now_ms: int) -> tuple[bool, bool, int]:
        leaving = self._has_left or self._is_leaving
        return (self._is_trusted(now_ms), leaving, self._table.n_changes)

    def _must_publish(self, now_ms: int) -> bool:
        state = self._view_state(now_ms)
        if state == self._published_state:
            return False
        # Each publication recomputes the owners of all backend servers, so changes
        # within one interval are published together. Loss of trust cannot wait.
        is_soon = now_ms - self._published_at_ms < PUBLISH_INTERVAL_MS
        same_trust = state[:2] == self._published_state[:2]
        return not (is_soon and same_trust)

    def _members_changed(self, now_ms: int) -> MembersChanged:
        entries = [each for each in self._table if each.is_in_fleet]
        members = [each.member for each in entries if each.is_member]
        if not members or not (self._has_left or self._is_leaving):
            members.append(self._own)
        n_alive = sum(each.state is MemberState.ALIVE for each in entries)
        return MembersChanged(
            members=tuple(sorted(members)),
            n_listed=len(entries) + 1,
            n_reachable=n_alive + 1,
            trusted=self._is_trusted(now_ms),
        )

    def _is_trusted(self, now_ms: int) -> bool:
        since_ms = self._untrusted_since_ms
        if since_ms is None:
            return True
        has_text = self._text.version >= self._required_version
        is_overdue = now_ms - since_ms >= RESYNC_TIMEOUT_MS
        if not is_overdue and not (self._has_member_list and has_text):
            return False
        self._untrusted_since_ms = None
        return True
