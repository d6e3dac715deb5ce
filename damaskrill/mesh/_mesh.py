"""Websocket links to other routers, and what is replicated over them."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import websockets.asyncio.client
import websockets.asyncio.server
from attrs import define, field
from websockets.exceptions import WebSocketException

from damaskrill.exceptions import PeerFrameError
from damaskrill.feed import FeedReplica, Freshness
from damaskrill.mesh._frames import (
    MAX_FRAME_BYTES,
    FeedUpdate,
    Frame,
    Gossip,
    Heartbeat,
    Hello,
    MemberEntry,
    decode,
    encode,
)
from damaskrill.mesh._members import MemberTable
from damaskrill.steering import (
    FailureDetector,
    HotKeys,
    KeyCounts,
    LoadReport,
    PrefixIndex,
    PrefixReport,
    ServerLoads,
)
from damaskrill.utils import monotonic_now_ms

__all__ = ["Mesh"]

# A third of the time after which a replica of the store is considered stale.
HEARTBEAT_INTERVAL_MS = 400
# In a large fleet each router gets answers from a given server so rarely that it
# depends on reports from other routers. Gossip takes most of an idle router's processor
# time: it is sent in each round only while a large part of a service's engines is
# unavailable, otherwise in every second one.
ROUNDS_PER_HEARTBEAT = 4
ROUNDS_PER_GOSSIP = 2
# Failures are published sooner than other reports; the delay batches simultaneous ones.
FAILURES_DELAY_MS = 50
# Several heartbeats; a link without frames for longer is closed and dialled again.
LINK_TIMEOUT_MS = 1_600
# Many times the network latency between data centres.
DIAL_TIMEOUT_MS = 500
REDIAL_MS = 800
# With fewer links, the seeds are dialled as well.
MIN_LINKS = 2
# A lost router is dialled periodically, as a network partition may have healed.
LOST_REDIAL_MS = 2_000
LOST_RETENTION_MS = 60_000
# A link with more queued frames is closed, so that memory stays bounded.
MAX_QUEUED_FRAMES = 200
# A router that has just started may be slow to send its first frame.
HELLO_TIMEOUT_MS = 1_000


@define(kw_only=True, eq=False)
class _Link:
    """An open connection to another router."""

    address: str
    socket: Any
    has_dialled: bool
    queue: asyncio.Queue[bytes] = field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_FRAMES)
    )
    last_seen_ms: float
    peer_revision: int = 0
    # Incarnation and heartbeat of each router that were last sent over the link.
    sent_versions: dict[str, tuple[int, int]] = field(factory=dict)
    n_loads_sent: int = 0
    n_prefixes_sent: int = 0
    n_failures_sent: int = 0


class Mesh:
    """Websocket links to other routers.

    Parameters
    ----------
    members : MemberTable
        Live routers.
    replica : FeedReplica
        Replica of the store that is sent to peers.
    freshness : Freshness
        Age of that replica.
    listen : tuple of (str, int)
        Address at which other routers dial this one.
    seeds : sequence of str
        Addresses to dial first.
    apply_feed : callable
        Applies changes or all items of the store received from a router.
    record_contact : callable
        Records the time of a contact with the store that a router has reported.
    loads : ServerLoads
        Loads of servers, published to and received from other routers.
    hot_keys : HotKeys
        Request counts of keys, published to and received from other routers.
    prefix_index : PrefixIndex
        Engines that hold prompt parts, published to and received from other routers.
    failures : FailureDetector
        Failures of servers' requests, published to and received from other routers.
    apply_failures : callable
        Handles the short hashes of the servers with new failure reports.
    needs_fresh_loads : callable
        Returns whether loads must be published as early as possible.
    report : callable
        Logs an event, given its name and fields.
    """

    def __init__(
        self,
        *,
        members: MemberTable,
        replica: FeedReplica,
        freshness: Freshness,
        listen: tuple[str, int],
        seeds: tuple[str, ...],
        apply_feed: Callable[[FeedUpdate], None],
        record_contact: Callable[[int], None],
        loads: ServerLoads,
        hot_keys: HotKeys,
        prefix_index: PrefixIndex,
        failures: FailureDetector,
        apply_failures: Callable[[frozenset[int]], None],
        needs_fresh_loads: Callable[[], bool],
        report: Callable[..., None],
    ) -> None:
        self._members = members
        self._replica = replica
        self._freshness = freshness
        self._listen = listen
        self._seeds = tuple(each for each in seeds if each != members.own.address)
        self._apply_feed = apply_feed
        self._record_contact = record_contact
        self._loads = loads
        self._hot_keys = hot_keys
        self._prefix_index = prefix_index
        self._failures = failures
        self._apply_failures = apply_failures
        self._needs_fresh_loads = needs_fresh_loads
        self._failures_timer: asyncio.TimerHandle | None = None
        self._report = report
        self._links: dict[str, _Link] = {}
        self._dialled_at_ms: dict[str, float] = {}
        self._dials: set[asyncio.Task[None]] = set()
        self._lost_at_ms: dict[str, float] = {}

    @property
    def n_links(self) -> int:
        """Number of open links."""
        return len(self._links)

    async def run(self) -> None:
        """Accept and dial links until cancelled."""
        host, port = self._listen
        async with websockets.asyncio.server.serve(
            self._accept,
            host,
            port,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            close_timeout=0.2,
        ):
            n_rounds = 0
            while True:
                if n_rounds % ROUNDS_PER_HEARTBEAT == 0:
                    self._maintain_links()
                if n_rounds % ROUNDS_PER_GOSSIP == 0 or self._needs_fresh_loads():
                    self._send_gossip()
                n_rounds += 1
                await asyncio.sleep(
                    HEARTBEAT_INTERVAL_MS / ROUNDS_PER_HEARTBEAT / 1_000
                )

    def push_changes(self, *, source: str = "") -> None:
        """Send new store changes to the peers that lack them.

        Parameters
        ----------
        source : str
            Peer that sent the changes; empty if this router read them from the store.
        """
        if source and self._members.is_full_mesh:
            # The reader itself sends them to all; a heartbeat shows who missed some.
            return
        for link in self._links.values():
            if link.address != source:
                self._send_feed(link)

    def push_failures(self) -> None:
        """Publish observed and received failures after a short delay."""
        if self._failures_timer is None:
            self._failures_timer = asyncio.get_running_loop().call_later(
                FAILURES_DELAY_MS / 1_000, self._publish_failures
            )

    def _maintain_links(self) -> None:
        now_ms = monotonic_now_ms()
        self._members.advance_heartbeat(now_ms)
        for entry in self._members.expire(now_ms):
            self._lost_at_ms[entry.address] = now_ms
            self._report("router_lost", peer=entry.address)
        for link in list(self._links.values()):
            if now_ms - link.last_seen_ms > LINK_TIMEOUT_MS:
                self._close_link(link, "no frame received in time")
            else:
                self._send_heartbeat(link, now_ms)
        wanted = self._members.wanted_links()
        self._close_unwanted(wanted)
        self._dial_missing(wanted, now_ms)

    def _close_unwanted(self, wanted: Sequence[str]) -> None:
        # All routers dial the seeds when they start; without this the seeds would
        # relay the gossip of the whole fleet. A peer that needs the link redials it.
        if self._members.is_full_mesh:
            return
        if sum(address in self._links for address in wanted) < MIN_LINKS:
            return
        for link in list(self._links.values()):
            if link.has_dialled and link.address not in wanted:
                self._close_link(link, "link not needed")

    def _dial_missing(self, wanted: Sequence[str], now_ms: float) -> None:
        intervals = dict.fromkeys(wanted, REDIAL_MS)
        if len(self._links) < MIN_LINKS:
            intervals.update(dict.fromkeys(self._seeds, REDIAL_MS))
        for address, lost_at_ms in list(self._lost_at_ms.items()):
            if now_ms - lost_at_ms > LOST_RETENTION_MS:
                del self._lost_at_ms[address]
            else:
                intervals.setdefault(address, LOST_REDIAL_MS)
        for address, interval_ms in intervals.items():
            dialled_at_ms = self._dialled_at_ms.get(address, -LOST_RETENTION_MS)
            if address in self._links or now_ms - dialled_at_ms < interval_ms:
                continue
            self._dialled_at_ms[address] = now_ms
            task = asyncio.get_running_loop().create_task(self._dial(address))
            self._dials.add(task)
            task.add_done_callback(self._dials.discard)

    async def _dial(self, address: str) -> None:
        try:
            socket = await websockets.asyncio.client.connect(
                f"ws://{address}/",
                compression=None,
                ping_interval=None,
                proxy=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=DIAL_TIMEOUT_MS / 1_000,
                close_timeout=0.2,
            )
        except (OSError, TimeoutError, WebSocketException):
            # A router that is down is dialled again; its loss is logged once, when its
            # membership entry expires.
            return
        await self._serve_link(socket, has_dialled=True)

    async def _accept(self, socket: Any) -> None:
        await self._serve_link(socket, has_dialled=False)

    async def _serve_link(self, socket: Any, *, has_dialled: bool) -> None:
        link: _Link | None = None
        sender: asyncio.Task[None] | None = None
        try:
            await socket.send(encode(Hello(entry=self._members.own)))
            async with asyncio.timeout(HELLO_TIMEOUT_MS / 1_000):
                hello = decode(await socket.recv())
            if not isinstance(hello, Hello):
                return
            link = self._add_link(socket, hello.entry, has_dialled=has_dialled)
            sender = asyncio.get_running_loop().create_task(self._send_queued(link))
            async for data in socket:
                link.last_seen_ms = monotonic_now_ms()
                self._handle_frame(link, decode(data))
        except (OSError, TimeoutError, WebSocketException):
            # The connection is closed; closing the link below logs it.
            pass
        except PeerFrameError as error:
            self._report("router_frame_refused", sentence=error.sentence)
        finally:
            if sender is not None:
                sender.cancel()
            if link is not None:
                self._close_link(link, "connection closed")
            socket.transport.abort()

    def _add_link(self, socket: Any, entry: MemberEntry, *, has_dialled: bool) -> _Link:
        now_ms = monotonic_now_ms()
        old = self._links.get(entry.address)
        if old is not None:
            old.socket.transport.abort()
        link = _Link(
            address=entry.address,
            socket=socket,
            has_dialled=has_dialled,
            last_seen_ms=now_ms,
        )
        self._links[entry.address] = link
        if self._members.merge(entry, now_ms):
            self._report("router_known", peer=entry.address)
        self._send_heartbeat(link, now_ms)
        return link

    def _handle_frame(self, link: _Link, frame: Frame) -> None:
        now_ms = monotonic_now_ms()
        match frame:
            case Heartbeat():
                self._loads.apply_reports(
                    frame.loads, now_ms=now_ms, source=link.address
                )
                for entry in frame.entries:
                    if self._members.merge(entry, now_ms):
                        self._report("router_known", peer=entry.address)
                self._apply_store_age(frame, now_ms)
                link.peer_revision = frame.revision
                self._send_feed(link)
                counts = KeyCounts(frame.n_requests, dict(frame.key_counts))
                self._hot_keys.apply_counts(link.address, counts, now_ms)
            case FeedUpdate():
                self._apply_feed(frame)
                link.peer_revision = max(link.peer_revision, frame.revision)
                self.push_changes(source=link.address)
            case Gossip():
                self._apply_store_age(frame, now_ms)
                self._handle_gossip(link, frame, now_ms)
            case Hello():
                pass

    def _send_heartbeat(self, link: _Link, now_ms: float) -> None:
        counts = self._hot_keys.local_counts(now_ms)
        heartbeat = Heartbeat(
            revision=self._replica.revision,
            age_ms=self._contact_age_ms(now_ms),
            entries=self._changed_entries(link),
            loads=self._load_reports_for(link, now_ms),
            n_requests=round(counts.n_requests, 1),
            key_counts=tuple(
                (key, round(count, 1)) for key, count in counts.by_key.items()
            ),
        )
        self._send(link, heartbeat)

    def _changed_entries(self, link: _Link) -> tuple[MemberEntry, ...]:
        changed = []
        for entry in self._members.entries():
            # In a full mesh only the router itself publishes its heartbeat.
            is_relayed = entry.address != self._members.own.address
            heartbeat = (
                0 if is_relayed and self._members.is_full_mesh else entry.heartbeat
            )
            version = (entry.incarnation, heartbeat)
            if (
                link.sent_versions.get(entry.address) != version
                and entry.address != link.address
            ):
                link.sent_versions[entry.address] = version
                changed.append(entry)
        return tuple(changed)

    def _load_reports_for(self, link: _Link, now_ms: float) -> tuple[LoadReport, ...]:
        reports, link.n_loads_sent = self._loads.reports_after(
            link.n_loads_sent,
            now_ms=now_ms,
            exclude_link=link.address,
            include_relayed=not self._members.is_full_mesh,
        )
        return tuple(reports)

    def _prefix_reports_for(
        self, link: _Link, now_ms: float
    ) -> tuple[PrefixReport, ...]:
        reports, link.n_prefixes_sent = self._prefix_index.reports_after(
            link.n_prefixes_sent,
            now_ms=now_ms,
            exclude_link=link.address,
            # In a full mesh each router receives reports from all others directly.
            include_relayed=not self._members.is_full_mesh,
        )
        return tuple(reports)

    def _send_gossip(self) -> None:
        now_ms = monotonic_now_ms()
        age_ms = self._contact_age_ms(now_ms)
        for link in list(self._links.values()):
            prefixes = self._prefix_reports_for(link, now_ms)
            if not self._members.is_full_mesh:
                loads = self._load_reports_for(link, now_ms)
                gossip = Gossip(age_ms=age_ms, loads=loads, prefixes=prefixes)
                self._send(link, gossip)
            elif prefixes:
                # In a full mesh, heartbeats are frequent enough for the loads.
                self._send(link, Gossip(age_ms=age_ms, prefixes=prefixes))

    def _publish_failures(self) -> None:
        self._failures_timer = None
        self._failures.flush()
        now_ms = monotonic_now_ms()
        for link in list(self._links.values()):
            reports, link.n_failures_sent = self._failures.reports_after(
                link.n_failures_sent,
                now_ms=now_ms,
                exclude_link=link.address,
                include_relayed=not self._members.is_full_mesh,
            )
            if reports:
                age_ms = self._contact_age_ms(now_ms)
                self._send(link, Gossip(age_ms=age_ms, failures=tuple(reports)))

    def _contact_age_ms(self, now_ms: float) -> int:
        age_ms = self._freshness.age_ms(round(now_ms))
        return -1 if age_ms is None else age_ms

    def _apply_store_age(self, frame: Heartbeat | Gossip, now_ms: float) -> None:
        if frame.age_ms >= 0:
            self._record_contact(round(now_ms) - frame.age_ms)

    def _handle_gossip(self, link: _Link, frame: Gossip, now_ms: float) -> None:
        source = link.address
        self._loads.apply_reports(frame.loads, now_ms=now_ms, source=source)
        self._prefix_index.apply_reports(frame.prefixes, now_ms=now_ms, source=source)
        servers = self._failures.apply_reports(
            frame.failures, now_ms=now_ms, source=source
        )
        if servers:
            self._apply_failures(servers)
            if not self._members.is_full_mesh:
                self.push_failures()

    def _send_feed(self, link: _Link) -> None:
        own, peer = self._replica.revision, link.peer_revision
        if peer >= own:
            return
        changes = self._replica.changes_after(peer) if peer else None
        link.peer_revision = own
        if changes is None:
            items = tuple(self._replica.items)
            self._send(link, FeedUpdate(after=0, revision=own, changes=items))
        else:
            self._send(
                link, FeedUpdate(after=peer, revision=own, changes=tuple(changes))
            )

    def _send(self, link: _Link, frame: Frame) -> None:
        try:
            link.queue.put_nowait(encode(frame))
        except asyncio.QueueFull:
            self._close_link(link, "send queue full")

    async def _send_queued(self, link: _Link) -> None:
        try:
            while True:
                await link.socket.send(await link.queue.get())
        except (OSError, WebSocketException):
            # The receiving side of the link ends as well and closes the link.
            return

    def _close_link(self, link: _Link, reason: str) -> None:
        if self._links.get(link.address) is link:
            del self._links[link.address]
            self._report("router_link_lost", peer=link.address, sentence=reason)
        link.socket.transport.abort()
