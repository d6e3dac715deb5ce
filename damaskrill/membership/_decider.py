"""Membership by probes whose traffic does not grow with the fleet."""

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
# Probes that follow one without an answer at once: a split of the fleet shows in
# about as many steps as the number of its routers has doublings.
N_PROBES_AFTER_FAILURE = 2
MIN_SUSPICION_MS = 2_000
SUSPICION_PER_DOUBLING_MS = 400
# How long a woken process waits for a peer before it counts itself as cut off.
RESYNC_TIMEOUT_MS = 3_000
HOST_LIST_INTERVAL_MS = 2_000
N_MEMBERS_PER_MESSAGE = 24
MAX_OPEN_PROBES = 64
PUBLISH_INTERVAL_MS = 500


@registry.register("decider", "membership")
class ProbingMembership(BaseDecider):
    """Probes one router a second, and spreads what it finds on the probes.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed of the order of probes.

    Notes
    -----
    After SWIM (Das, Gupta and Motivala, 2002): round-robin probes, indirect probes,
    suspicion before death, refutation by a number that only the suspected process
    raises. The platform's host list names addresses; processes at them are told apart
    by incarnations, which are learnt by contact.
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
        self._open: dict[int, PendingProbe] = {}
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
        """Take one message and tell if the members have changed."""
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
                return self._probe_indirectly(self._open.get(probe.sequence))
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
        for probe in list(self._open.values()):
            results.extend(self._check_probe(probe, now_ms))
        if now_ms >= self._next_probe_ms and not self._has_left:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
            results.extend(self._probe_next(now_ms))
        for news in self._table.expire_suspects(self._suspicion_ms, now_ms):
            self._gossip.add(news)
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
        self._open[probe.sequence] = probe
        if len(self._open) > MAX_OPEN_PROBES:
            del self._open[next(iter(self._open))]
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
            del self._open[probe.sequence]
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
        probe = self._open.pop(answer.sequence, None)
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
            news = self._table.record_contact(entry.member, now_ms)
            if news is not None:
                self._gossip.add(news)

    def _suspect(self, address: str, now_ms: int) -> Sequence[Message]:
        news = self._table.suspect(address, now_ms)
        if news is None:
            return ()
        self._gossip.add(news)
        results: list[Message] = []
        for _ in range(N_PROBES_AFTER_FAILURE):
            results.extend(self._probe_next(now_ms))
        return results

    def _probe_disconnected(self, peer: Member, now_ms: int) -> Sequence[Message]:
        """Probe a router at once whose connection broke, unless that is under way."""
        targets = [each.target for each in self._open.values()]
        if peer.address in targets or self._has_left:
            return ()
        return (self._probe(peer.address, now_ms),)

    # News

    def _next_updates(self) -> tuple[MemberNews, ...]:
        return self._gossip.next_updates(len(self._table) + 1)

    def _record_contact(self, peer: Member, now_ms: int) -> None:
        news = self._table.record_contact(peer, now_ms)
        if news is not None:
            self._gossip.add(news)

    def _apply_updates(self, all_news: Sequence[MemberNews], now_ms: int) -> None:
        for news in all_news:
            if news.address == self._own.address:
                self._refute(news)
            elif self._table.apply_update(news, now_ms):
                self._gossip.add(news)
            else:
                self._check_other_process(news)

    def _apply_member_list(self, members: Sequence[MemberNews], now_ms: int) -> None:
        # That a router is alive is passed on by those who found it out; what a whole
        # list says need not be repeated by everyone who is sent one.
        for news in members:
            if news.state is not MemberState.ALIVE:
                self._apply_updates((news,), now_ms)
            elif news.address != self._own.address:
                if not self._table.apply_update(news, now_ms):
                    self._check_other_process(news)

    def _check_other_process(self, news: MemberNews) -> None:
        entry = self._table.get(news.address)
        is_other = entry is not None and entry.incarnation != news.incarnation
        if is_other and news.state is MemberState.ALIVE:
            self._rotation.probe_first(news.address)

    def _refute(self, news: MemberNews) -> None:
        is_doubted = news.state in (MemberState.SUSPECT, MemberState.DEAD)
        is_own = news.incarnation == self._own.incarnation
        if is_own and is_doubted and news.number >= self._number and not self._has_left:
            self._number = news.number + 1
            self._gossip.add(self._own_news(MemberState.ALIVE))

    def _own_news(self, state: MemberState) -> MemberNews:
        return MemberNews(
            address=self._own.address,
            data_centre=self._own.data_centre,
            incarnation=self._own.incarnation,
            state=state,
            number=self._number,
        )

    def _send_members(self, peer: Member) -> list[Message]:
        known = [each.news for each in self._table if each.incarnation]
        size = N_MEMBERS_PER_MESSAGE
        pieces = [known[n : n + size] for n in range(0, len(known), size)] or [[]]
        return [
            SendToPeer(
                address=peer.address,
                payload=MembersTold(news=tuple(piece), is_last=piece is pieces[-1]),
            )
            for piece in pieces
        ]

    # Joining, leaving, waking

    def _join(self, now_ms: int) -> Sequence[Message]:
        if self._has_joined or not len(self._table):
            return ()
        self._has_joined = True
        self._gossip.add(self._own_news(MemberState.ALIVE))
        return self._request_members(now_ms)

    def _request_members(self, now_ms: int) -> list[Message]:
        targets = self._rotation.sample_peers(N_JOIN_PROBES)
        return [self._probe(each, now_ms, wants_members=True) for each in targets]

    def _resync(self, now_ms: int) -> Sequence[Message]:
        self._open.clear()
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
        news = self._own_news(MemberState.LEFT)
        return [
            SendToPeer(address=each.address, payload=MembersTold(news=(news,)))
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
        # Other changes of a second are published at once, for the owners of all
        # backend servers are worked out anew; a loss of trust can't wait.
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
