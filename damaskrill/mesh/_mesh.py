"""Websocket links to other routers, and what is replicated over them."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import websockets.asyncio.client
import websockets.asyncio.server
from websockets.exceptions import WebSocketException

from damaskrill.exceptions import PeerFrameError
from damaskrill.feed import (
    NO_DIGEST,
    Contact,
    FeedReplica,
    Freshness,
    ReplicaComparison,
)
from damaskrill.mesh._direct import DIAL_OPTIONS, DirectLinks
from damaskrill.mesh._frames import (
    MAX_FRAME_BYTES,
    DirectHello,
    FeedRequest,
    FeedUpdate,
    Frame,
    Goodbye,
    Hello,
    MemberEntry,
    SentFrame,
    UnknownFrame,
    Update,
    decode,
    encode,
)
from damaskrill.mesh._link import Link
from damaskrill.mesh._members import MemberTable
from damaskrill.mesh._messages import (
    Message,
    StreamNotice,
    StreamQuery,
    StreamRecords,
    StreamReply,
)
from damaskrill.mesh._replication import FeedReplication
from damaskrill.mesh._reports import ReportExchange, has_reports
from damaskrill.mesh._slot_messages import SlotBatch
from damaskrill.steering import KeyCounts
from damaskrill.utils import monotonic_now_ms

__all__ = ["Mesh"]

# In a large fleet each router gets answers from a given server so rarely that it
# depends on reports from other routers. Gossip takes most of a router's processor time:
# it is sent at the shorter interval only while a large part of a service's engines is
# unavailable.
GOSSIP_INTERVAL_MS = 200
FRESH_GOSSIP_INTERVAL_MS = 100
# A third of the time after which a replica of the store is considered stale in a small
# fleet, whose links have no other traffic.
HEARTBEAT_INTERVAL_MS = 400
# In a large fleet the contacts with the store are relayed without delay, so that frames
# without content only show that a link is alive.
KEEPALIVE_INTERVAL_MS = 800
# Failures, departures and contacts are sent sooner than other reports; the delays batch
# simultaneous ones.
URGENT_DELAY_MS = 50
CONTACT_DELAY_MS = 20
# Contacts that are closer in time than this are treated as the same.
MIN_CONTACT_GAP_MS = 150
# Several intervals between frames; a link without frames for longer is closed and
# dialled again.
LINK_TIMEOUT_MS = 1_600
RELAY_LINK_TIMEOUT_MS = 2_400
# Many times the network latency between data centres.
DIAL_TIMEOUT_MS = 500
REDIAL_MS = 800
# With fewer links, the seeds are dialled as well.
MIN_LINKS = 2
# A lost router is dialled periodically, as a network partition may have healed.
LOST_REDIAL_MS = 2_000
LOST_RETENTION_MS = 60_000
# A router that has just started may be slow to send its first frame.
HELLO_TIMEOUT_MS = 1_000


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
        Applies changes or all items of the store received from a router, given its
        address.
    record_contact : callable
        Records a contact with the store that a router has reported.
    reports : ReportExchange
        Reports that are published to and received from other routers.
    needs_fresh_loads : callable
        Returns whether loads must be published as early as possible.
    handle_message : callable
        Handles a message to this router, given the address of its sender.
    handle_link : callable
        Called with the address of a router to which a link has been opened, if the
        fleet is so small that each router tells all others.
    handle_difference : callable
        Called with the address of a router whose replica of the store differs from this
        one although both are at the same position.
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
        apply_feed: Callable[[FeedUpdate, str], None],
        record_contact: Callable[[Contact], None],
        reports: ReportExchange,
        needs_fresh_loads: Callable[[], bool],
        handle_message: Callable[[str, Message], None],
        handle_link: Callable[[str], None],
        handle_difference: Callable[[str], None],
        report: Callable[..., None],
    ) -> None:
        self._members = members
        self._replica = replica
        self._replication = FeedReplication(
            replica=replica, apply_feed=apply_feed, send=self._send
        )
        self._freshness = freshness
        self._listen = listen
        self._seeds = tuple(each for each in seeds if each != members.own.address)
        self._record_contact = record_contact
        self._reports = reports
        self._needs_fresh_loads = needs_fresh_loads
        self._handle_message = handle_message
        self._handle_link = handle_link
        self._handle_difference = handle_difference
        self._comparison = ReplicaComparison()
        self._direct = DirectLinks(
            own_address=members.own.address, handle=handle_message, report=report
        )
        self._urgent_timer: asyncio.TimerHandle | None = None
        self._contact_timer: asyncio.TimerHandle | None = None
        self._report = report
        self._links: dict[str, Link] = {}
        self._maintained_at_ms = 0.0
        self._is_running = False
        self._n_logged_members = 1
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
        self._is_running = True
        try:
            await self._run(host, port)
        finally:
            self._is_running = False
            self._direct.close()

    def send_message(self, address: str, message: Message) -> None:
        """Send a message to one router, over its link if there is one."""
        link = self._links.get(address)
        if link is not None and not link.is_released:
            self._send(link, message)
        else:
            self._direct.send(address, message)

    def find_told_since(self, key: str) -> float:
        """Return the time since which this router is told of each record for a key.

        Returns
        -------
        float
            Time in milliseconds; infinite while a router may not be able to tell.
        """
        others = self._members.addresses() - {self._members.own.address}
        is_linked = not self._lost_at_ms and others <= self._links.keys()
        if self._members.is_full_mesh and not is_linked:
            return float("inf")
        return self._members.find_told_since(key)

    async def _run(self, host: str, port: int) -> None:
        async with websockets.asyncio.server.serve(
            self._accept,
            host,
            port,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            close_timeout=0.2,
        ):
            while True:
                self._run_round(monotonic_now_ms())
                is_urgent = self._needs_fresh_loads()
                interval_ms = (
                    FRESH_GOSSIP_INTERVAL_MS if is_urgent else GOSSIP_INTERVAL_MS
                )
                await asyncio.sleep(interval_ms / 1_000)

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
        others = [each for each in self._links.values() if each.address != source]
        self._replication.push(others, monotonic_now_ms())

    def push_entries(self) -> None:
        """Publish at once what has changed in this router's entry."""
        now_ms = monotonic_now_ms()
        for link in list(self._links.values()):
            self._send(link, self._collect(link, now_ms, has_entries=True))

    def push_urgent_reports(self) -> None:
        """Publish failures and departures of servers after a short delay."""
        if self._urgent_timer is None:
            self._urgent_timer = asyncio.get_running_loop().call_later(
                URGENT_DELAY_MS / 1_000, self._publish_urgent_reports
            )

    def push_contact(self) -> None:
        """Tell the peers soon that the store has been reached."""
        if self._contact_timer is None:
            self._contact_timer = asyncio.get_running_loop().call_later(
                CONTACT_DELAY_MS / 1_000, self._publish_contact
            )

    def _run_round(self, now_ms: float) -> None:
        is_heartbeat = now_ms - self._maintained_at_ms >= HEARTBEAT_INTERVAL_MS - 1
        if is_heartbeat:
            self._maintained_at_ms = now_ms
            self._maintain_links(now_ms)
        counts = self._reports.hot_keys.local_counts(now_ms) if is_heartbeat else None
        for link in list(self._links.values()):
            self._send_update(link, now_ms, key_counts=counts)

    def _send_update(
        self, link: Link, now_ms: float, *, key_counts: KeyCounts | None
    ) -> None:
        is_heartbeat = key_counts is not None
        is_full_mesh = self._members.is_full_mesh
        interval_ms = HEARTBEAT_INTERVAL_MS if is_full_mesh else KEEPALIVE_INTERVAL_MS
        is_due = now_ms - link.last_sent_ms >= interval_ms - 1
        update = self._collect(
            link,
            now_ms,
            has_entries=now_ms - link.entries_sent_ms >= interval_ms - 1,
            has_loads=is_heartbeat or not is_full_mesh,
            key_counts=key_counts,
        )
        if is_due or has_reports(update):
            self._send(link, update)

    def _collect(self, link: Link, now_ms: float, **selection: Any) -> Update:
        is_heartbeat = selection.get("key_counts") is not None
        return self._reports.collect(
            link,
            now_ms,
            digest=self._replica.digest if is_heartbeat else NO_DIGEST,
            position=self._replica.position,
            contact=self._freshness.contact(round(now_ms)),
            **selection,
        )

    def _maintain_links(self, now_ms: float) -> None:
        self._members.advance_heartbeat(now_ms)
        for entry in self._members.expire(now_ms):
            self._lost_at_ms[entry.address] = now_ms
            self._report("router_lost", peer=entry.address)
        self._log_members()
        timeout_ms = RELAY_LINK_TIMEOUT_MS
        if self._members.is_full_mesh:
            timeout_ms = LINK_TIMEOUT_MS
        for link in list(self._links.values()):
            if now_ms - link.last_seen_ms > timeout_ms:
                self._close_link(link, "no frame received in time")
        wanted = self._members.wanted_links()
        self._close_unwanted(wanted)
        self._dial_missing(wanted, now_ms)

    def _log_members(self) -> None:
        # One line for all changes since the last round: at the start of a large fleet
        # each router discovers hundreds of others within a second.
        n_members = self._members.n_members
        if n_members != self._n_logged_members:
            self._report(
                "routers_known", n_routers=n_members, n_before=self._n_logged_members
            )
            self._n_logged_members = n_members

    def _close_unwanted(self, wanted: Sequence[str]) -> None:
        # All routers dial the seeds when they start; without this the seeds would
        # relay the gossip of the whole fleet. A peer that needs the link redials it.
        if self._members.is_full_mesh:
            return
        if sum(address in self._links for address in wanted) < MIN_LINKS:
            return
        for link in list(self._links.values()):
            if link.has_dialled and link.address not in wanted and not link.is_released:
                # The peer closes the link, so that it does not look like a failure.
                link.is_released = True
                self._send(link, Goodbye())

    def _dial_missing(self, wanted: Sequence[str], now_ms: float) -> None:
        intervals = dict.fromkeys(wanted, REDIAL_MS)
        if len(self._links) < MIN_LINKS:
            intervals.update(dict.fromkeys(self._seeds, REDIAL_MS))
        for address, lost_at_ms in list(self._lost_at_ms.items()):
            if (
                now_ms - lost_at_ms > LOST_RETENTION_MS
                or address in self._members.addresses()
            ):
                del self._lost_at_ms[address]
            elif self._members.dials_lost(address):
                intervals.setdefault(address, LOST_REDIAL_MS)
        for address, interval_ms in intervals.items():
            dialled_at_ms = self._dialled_at_ms.get(address, -LOST_RETENTION_MS)
            if address in self._links or now_ms - dialled_at_ms < interval_ms:
                continue
            self._dialled_at_ms[address] = now_ms
            self._start_dial(address)

    def _start_dial(self, address: str) -> None:
        task = asyncio.get_running_loop().create_task(self._dial(address))
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)

    async def _dial(self, address: str) -> None:
        try:
            socket = await websockets.asyncio.client.connect(
                f"ws://{address}/", max_size=MAX_FRAME_BYTES, **DIAL_OPTIONS
            )
        except (OSError, TimeoutError, WebSocketException):
            # A router that is down is dialled again; its loss is logged once, when its
            # membership entry expires.
            self._suspect(address)
            return
        await self._serve_link(socket, has_dialled=True)

    def _suspect(self, address: str) -> None:
        if self._members.is_full_mesh:
            return
        if self._members.suspect_unreachable(address, monotonic_now_ms()):
            self._report("router_suspected", peer=address, source="")

    async def _accept(self, socket: Any) -> None:
        await self._serve_link(socket, has_dialled=False)

    async def _serve_link(self, socket: Any, *, has_dialled: bool) -> None:
        link: Link | None = None
        sender: asyncio.Task[None] | None = None
        try:
            await socket.send(encode(Hello(entry=self._members.own)))
            async with asyncio.timeout(HELLO_TIMEOUT_MS / 1_000):
                hello = decode(await socket.recv())
            if isinstance(hello, DirectHello):
                await self._direct.serve(socket, hello.address)
                return
            if not isinstance(hello, Hello):
                return
            link = self._add_link(socket, hello.entry, has_dialled=has_dialled)
            if link is None:
                return
            sender = asyncio.get_running_loop().create_task(link.send_queued())
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

    def _add_link(
        self, socket: Any, entry: MemberEntry, *, has_dialled: bool
    ) -> Link | None:
        now_ms = monotonic_now_ms()
        old = self._links.get(entry.address)
        if old is not None:
            if self._keeps_old(old, has_dialled=has_dialled, now_ms=now_ms):
                return None
            old.abort()
        link = Link(
            address=entry.address,
            socket=socket,
            has_dialled=has_dialled,
            opened_at_ms=now_ms,
        )
        self._links[entry.address] = link
        self._members.merge(entry, now_ms, source=entry.address)
        update = self._collect(
            link,
            now_ms,
            has_entries=True,
            has_loads=True,
            key_counts=self._reports.hot_keys.local_counts(now_ms),
        )
        self._send(link, update)
        self._replication.start(link)
        if self._members.is_full_mesh:
            self._handle_link(link.address)
        return link

    def _keeps_old(self, old: Link, *, has_dialled: bool, now_ms: float) -> bool:
        # Two routers that dial each other at the same time must keep the same one of
        # the two connections, otherwise each closes the one that the other keeps.
        is_simultaneous = now_ms - old.opened_at_ms < 2 * DIAL_TIMEOUT_MS
        if old.has_dialled == has_dialled or not is_simultaneous:
            return False
        keeps_own = self._members.own.address < old.address
        return old.has_dialled == keeps_own

    def _handle_frame(self, link: Link, frame: Frame) -> None:
        now_ms = monotonic_now_ms()
        match frame:
            case Update():
                self._apply_contact(link, frame, now_ms)
                self._compare(link, frame, now_ms)
                self._reports.apply(link, frame, now_ms)
                has_urgent = (
                    frame.failures
                    or frame.departures
                    or frame.crashes
                    or frame.served
                    or frame.limits
                    or frame.brittle
                )
                if has_urgent and not self._members.is_full_mesh:
                    self.push_urgent_reports()
                self._replication.handle_position(link, frame.position, now_ms)
            case FeedUpdate():
                self._replication.handle_feed(link, frame)
                self.push_changes(source=link.address)
            case FeedRequest():
                self._replication.handle_request(link, frame.position, now_ms)
            case Goodbye():
                link.is_released = True
                self._close_link(link, "link not needed")
            case (
                StreamNotice()
                | StreamQuery()
                | StreamReply()
                | StreamRecords()
                | SlotBatch()
            ):
                self._handle_message(link.address, frame)
            case Hello() | DirectHello() | UnknownFrame():
                pass

    def _compare(self, link: Link, update: Update, now_ms: float) -> None:
        own = (self._replica.position, self._replica.digest)
        other = (update.position, update.digest)
        if self._comparison.needs_list(
            link.address, own=own, other=other, now_ms=now_ms
        ):
            self._handle_difference(link.address)

    def _publish_urgent_reports(self) -> None:
        self._urgent_timer = None
        self._reports.failures.flush()
        now_ms = monotonic_now_ms()
        for link in list(self._links.values()):
            update = self._collect(link, now_ms)
            if has_reports(update):
                self._send(link, update)

    def _publish_contact(self) -> None:
        self._contact_timer = None
        now_ms = monotonic_now_ms()
        for link in list(self._links.values()):
            if link.contact != self._freshness.newest:
                self._send(link, self._collect(link, now_ms, has_entries=True))

    def _apply_contact(self, link: Link, update: Update, now_ms: float) -> None:
        contact = update.contact
        if contact is None:
            return
        link.contact = (contact.origin, contact.number)
        if update.position > self._replica.position:
            # The contact shows that a replica with changes that this one lacks is up to
            # date.
            return
        known_age_ms = self._freshness.age_ms(round(now_ms))
        newest = self._freshness.newest
        self._record_contact(contact)
        is_news = (
            known_age_ms is None or known_age_ms - contact.age_ms >= MIN_CONTACT_GAP_MS
        )
        if (
            is_news
            and self._freshness.newest != newest
            and not self._members.is_full_mesh
        ):
            self.push_contact()

    def _send(self, link: Link, frame: SentFrame | bytes) -> None:
        now_ms = monotonic_now_ms()
        if isinstance(frame, Update) and frame.contact is not None:
            link.contact = (frame.contact.origin, frame.contact.number)
        if not link.send(frame, now_ms):
            self._close_link(link, "send queue full")

    def _close_link(self, link: Link, reason: str) -> None:
        self._replication.handle_link_closed(link)
        if self._links.get(link.address) is link:
            del self._links[link.address]
            if not link.is_released:
                self._report("router_link_lost", peer=link.address, sentence=reason)
                if self._is_running and not self._members.is_full_mesh:
                    # Shows whether the router is dead or only the connection.
                    self._dialled_at_ms[link.address] = monotonic_now_ms()
                    self._start_dial(link.address)
        link.abort()
