"""Fleet on a virtual clock that reads a store and passes its changes on."""

import asyncio
from random import Random

from damaskrill.feed import (
    BaseStoreClient,
    Change,
    FeedReader,
    FeedReplica,
    Freshness,
    Page,
    Position,
    StoreUnreachableError,
)
from damaskrill.mesh import MemberEntry, MemberTable, ReaderRole
from damaskrill.steering import short_id

# Time of one message between two routers on slow hosts, with its handling.
HOP_MS = 120
CALL_MS = 8
LEAVING_LIMIT_MS = 3_000
DATA_CENTRES = ("bole", "kality", "sululta")


class Store:
    """History of one item that is written from time to time."""

    def __init__(self, loop):
        self.loop = loop
        self.revision = 1
        self.written_at_ms = {1: 0}
        self.refused = set()
        self.n_calls = 0
        self._changed = asyncio.Event()

    def write(self):
        self.revision += 1
        self.written_at_ms[self.revision] = self.loop.now_ms
        self._changed.set()
        self._changed = asyncio.Event()

    def page(self):
        change = Change(key="op/config", value=b"", revision=self.revision)
        return Page(changes=(change,), at=Position(1, self.revision))

    async def wait_for_change(self, after, wait_ms):
        if self.revision <= after:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_ms / 1_000)
            except TimeoutError:
                return Page(changes=(), at=Position(1, self.revision))
        return self.page()


class StoreClient(BaseStoreClient):
    """Client of one router, which the store may refuse."""

    def __init__(self, store, number):
        self._store = store
        self._number = number

    async def list_items(self):
        await self._call()
        return self._store.page()

    async def watch(self, *, after, wait_ms):
        await self._call()
        page = await self._store.wait_for_change(after.revision, wait_ms)
        self._check()
        return page

    async def _call(self):
        self._store.n_calls += 1
        await asyncio.sleep(CALL_MS / 1_000)
        self._check()

    def _check(self):
        if self._number in self._store.refused:
            raise StoreUnreachableError(reason="reset")


class Router:
    """Reader of the store, replica and links of one router."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.known_at_ms = {}
        self.replica = FeedReplica()
        address = f"10.0.0.{number}:1"
        self.freshness = Freshness(
            leaving_limit_ms=LEAVING_LIMIT_MS, origin=short_id(address), first_number=1
        )
        self.members = MemberTable(own=fleet.entries[number])
        for entry in fleet.entries:
            self.members.merge(entry, 0.0)
        self.role = ReaderRole(
            members=self.members, freshness=self.freshness, replica=self.replica
        )
        self.reader = FeedReader(
            client=StoreClient(fleet.store, number),
            replica=self.replica,
            should_read=lambda: self.role.should_read(fleet.loop.now_ms),
            on_changes=self._handle_read,
            report=lambda *args, **fields: None,
            random_state=Random(number),
            leaving_limit_ms=LEAVING_LIMIT_MS,
        )

    @property
    def rank(self):
        """Number of routers that read the store before this one."""
        return len(self.members.readers_before())

    def _handle_read(self, listed):
        self.role.record_read(self.fleet.loop.now_ms)
        self.freshness.record_own(self.fleet.loop.now_ms)
        self._record()
        self._send(listed.changes, source=None)

    def receive(self, source, changes, position, contact):
        changes = self.replica.apply_changes(changes, position)
        if not self.replica.revision and position.revision:
            return
        self._record()
        # As in Mesh: a contact counts only with the changes that it covers.
        newest = self.freshness.newest
        if position <= self.replica.position:
            self.freshness.record(contact, self.fleet.loop.now_ms)
        if changes or self.freshness.newest != newest:
            self._send(changes, source=source)

    def _send(self, changes, *, source):
        now_ms = self.fleet.loop.now_ms
        contact = self.freshness.contact(now_ms)
        position = self.replica.position
        for number in self.fleet.links[self.number]:
            if number != source and contact is not None:
                peer = self.fleet.routers[number]
                arguments = (self.number, changes, position, contact)
                self.fleet.loop.call_later(HOP_MS / 1_000, peer.receive, *arguments)

    def _record(self):
        for revision in range(self.replica.revision, 0, -1):
            if revision in self.known_at_ms:
                break
            self.known_at_ms[revision] = self.fleet.loop.now_ms


class Fleet:
    """Routers, the store and the links between them."""

    def __init__(self, loop, n_routers):
        self.loop = loop
        self.store = Store(loop)
        self.entries = [
            MemberEntry(f"10.0.0.{number}:1", 1, DATA_CENTRES[number % 3], 1)
            for number in range(n_routers)
        ]
        self.routers = [Router(self, number) for number in range(n_routers)]
        by_address = {each.address: i for i, each in enumerate(self.entries)}
        self.links = {number: set() for number in range(n_routers)}
        for number, router in enumerate(self.routers):
            for address in router.members.wanted_links():
                self.links[number].add(by_address[address])
                self.links[by_address[address]].add(number)

    def by_rank(self, n_routers):
        """Return the numbers of the routers that read first."""
        ranked = sorted(self.routers, key=lambda each: each.rank)
        return {each.number for each in ranked[:n_routers]}

    def start(self):
        """Start all readers."""
        self.tasks = [self.loop.create_task(r.reader.run()) for r in self.routers]

    def spread_ms(self):
        """Return how long each change took to reach the last router, by revision."""
        return {
            revision: max(
                each.known_at_ms.get(revision, 10**9) for each in self.routers
            )
            - written_at_ms
            for revision, written_at_ms in self.store.written_at_ms.items()
            if revision > 1
        }


class LargeStore(BaseStoreClient):
    """Store with one large item, read over a slow link.

    A watch returns each version that was written, a list only the newest ones.
    """

    def __init__(self, loop, *, mbps, n_bytes):
        self.loop = loop
        self.bytes_per_s = mbps * 1_000_000 / 8
        # As text in base64.
        self.n_sent_per_byte = 4 / 3
        self.value = bytes(n_bytes)
        self.log = []
        self.servers = ()
        self.written_at_ms = {}
        self.n_lists = 0
        self.write()

    def write(self):
        revision = len(self.log) + 1
        self.log.append(Change(key="op/config", value=self.value, revision=revision))
        self.written_at_ms[revision] = self.loop.now_ms

    async def read_position(self, *, after):
        await self._transfer(())
        return Position(1, len(self.log))

    async def list_items(self):
        self.n_lists += 1
        at = Position(1, len(self.log))
        items = (self.log[-1], *self.servers)
        await self._transfer(items)
        return Page(changes=items, at=at)

    async def watch(self, *, after, wait_ms):
        ends_at = self.loop.time() + wait_ms / 1_000
        while len(self.log) <= after.revision and self.loop.time() < ends_at:
            await asyncio.sleep(0.01)
        at = Position(1, len(self.log))
        changes = tuple(self.log[after.revision :])
        await self._transfer(changes)
        return Page(changes=changes, at=at)

    async def _transfer(self, changes):
        n_bytes = sum(len(each.value) for each in changes) * self.n_sent_per_byte
        await asyncio.sleep(0.004 + n_bytes / self.bytes_per_s)
