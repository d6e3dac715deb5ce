"""Exchange with other routers on the software versions at which streams began."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from enum import Enum

from attrs import define, field, frozen

from damaskrill.catalog import BackendServer, Catalog
from damaskrill.gateway._cached_origins import CachedOrigins
from damaskrill.gateway._server_history import ServerHistory
from damaskrill.mesh import (
    Message,
    StreamNotice,
    StreamQuery,
    StreamRecords,
    StreamReply,
)
from damaskrill.steering import (
    UNLISTED_ORIGIN,
    OriginEvidence,
    StreamOrigins,
    choose_origin,
    is_absence_confirmed,
)
from damaskrill.utils import hash_to_int, monotonic_now_ms

__all__ = ["FoundOrigin", "OriginSource", "StreamVersions"]

# Time for the opening of a link and a reply on a busy host.
REPLY_TIMEOUT_MS = 600
# Many times the latency between data centres; then the next group is asked as well.
NEXT_GROUP_MS = 150
# Time for which the process that began a stream is awaited, and between two queries.
UNLISTED_WAIT_MS = 600
UNLISTED_POLL_MS = 100
# Time after which a history that could not be read is sought again.
HISTORY_RETRY_MS = 2_000


class OriginSource(Enum):
    """By which evidence the origin of a stream is known."""

    UNKNOWN = "unknown"
    THIS_ROUTER = "this_router"
    RECORD = "record"
    ONLY_VERSION = "only_version"
    NO_RECORD = "no_record"
    CACHED_PARTS = "cached_parts"


@frozen(kw_only=True)
class FoundOrigin:
    """Origin of a stream that is taken up.

    Parameters
    ----------
    origin : int or None
        The origin; None if no router knows it.
    source : OriginSource
        By which evidence it is known.
    """

    origin: int | None = None
    source: OriginSource = OriginSource.UNKNOWN


class StreamVersions:
    """Tells a few routers which version begins a stream, and asks them when it goes on.

    Parameters
    ----------
    catalog : Catalog
        Configuration and servers.
    own_address : str
        Address at which other routers reach this one.
    rank_keepers : callable
        Returns the routers that may keep a record, by group, the own group first.
    find_told : callable
        Returns the routers that are told of a stream.
    find_told_since : callable
        Returns the time since which this router is told of each stream of an attempt.
    do_all_record_sent : callable
        Returns whether all routers record a stream when they send its request.
    send : callable
        Sends a message to the router with an address.
    read_history : callable
        Returns the servers that were listed before this router read the store, by
        service, and for how long they are known; None if the store did not answer.
    is_store_current : callable
        Returns whether a change in the store would be known by now.
    cached : CachedOrigins or None, default=None
        Finds out from engines where a stream began; None to ask none.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        own_address: str,
        rank_keepers: Callable[[str], list[list[str]]],
        find_told: Callable[[str], list[str]],
        find_told_since: Callable[[str], float],
        do_all_record_sent: Callable[[], bool],
        send: Callable[[str, Message], None],
        read_history: Callable[[], Awaitable[ServerHistory | None]],
        is_store_current: Callable[[], bool],
        cached: CachedOrigins | None = None,
    ) -> None:
        self._catalog = catalog
        self._own_address = own_address
        self._rank_keepers = rank_keepers
        self._find_told = find_told
        self._find_told_since = find_told_since
        self._do_all_record_sent = do_all_record_sent
        self._send = send
        self._read_history = read_history
        self._is_store_current = is_store_current
        self._cached = cached
        self._history: asyncio.Task[None] | None = None
        self._history_sought_at_ms = 0.0
        self._has_history = False
        self._origins = StreamOrigins()
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[OriginEvidence]] = {}

    @property
    def n_records(self) -> int:
        """Number of streams that are recorded."""
        return self._origins.n_records

    def observe_all(self) -> None:
        """Record which servers and versions serve now."""
        configuration = self._catalog.configuration
        if configuration is None:
            return
        self._origins.set_longest_stream(configuration.longest_stream_ms)
        for service in configuration.services:
            self._observe(service)

    def origins_of(self, service: str) -> dict[tuple[str, int], int]:
        """Return the origins of a service's servers, by incarnation."""
        servers = self._catalog.find_all_servers(service)
        return self._origins.origins_of(service, servers)

    def origin_of(self, server: BackendServer) -> int:
        """Return the origin of a server, whether it is still listed or not."""
        servers = self._catalog.find_all_servers(server.service)
        return self._origins.origin_of(server, servers)

    def has_origin(self, service: str, origin: int) -> bool:
        """Return whether a server that may get requests has an origin."""
        origins = self.origins_of(service)
        servers = self._catalog.find_servers(service)
        return any(origins.get(server.key) == origin for server in servers)

    def record_successor(self, server: BackendServer, started_at_ms: int) -> None:
        """Record that a server has become another process than the listed one."""
        self._origins.record_successor(server, started_at_ms)
        self._observe(server.service)

    def record_start(
        self,
        stream_id: str,
        server: BackendServer,
        origin: int,
        *,
        is_certain: bool = True,
    ) -> bool:
        """Record where a stream begins or goes on, and tell the keepers.

        Parameters
        ----------
        stream_id : str
            Attempt that begins the stream.
        server : BackendServer
            Server that its request is sent to.
        origin : int
            Its origin.
        is_certain : bool, default=True
            Whether the process of the server is known. Otherwise the stream goes on
            nowhere until it is recorded again.

        Returns
        -------
        bool
            False if nobody needs to know, as only one version is known to have served.
        """
        now_ms = monotonic_now_ms()
        if not is_certain:
            origin = UNLISTED_ORIGIN
        elif not self._origins.needs_records(server.service, now_ms):
            return False
        stream = hash_to_int(stream_id)
        self._origins.record(stream, origin, now_ms)
        for address in self._find_told(stream_id):
            self._send(address, StreamNotice(stream=stream, origin=origin))
        return True

    async def find_origin(
        self, stream_id: str, service: str, *, part_id: str = ""
    ) -> FoundOrigin:
        """Return the origin of a stream, and how it is known.

        Parameters
        ----------
        stream_id : str
            Attempt that began the stream; empty if the caller names none.
        service : str
            Service of the route that resumes it.
        part_id : str, default=""
            Last part of its prompt; empty if there is none.

        Notes
        -----
        The router at which it began may still be asking the server.
        """
        until_ms = monotonic_now_ms() + UNLISTED_WAIT_MS
        while True:
            found = await self._seek_origin(stream_id, service, part_id=part_id)
            if found.origin != UNLISTED_ORIGIN:
                return found
            if monotonic_now_ms() >= until_ms:
                return FoundOrigin()
            await asyncio.sleep(UNLISTED_POLL_MS / 1_000)

    async def _seek_origin(
        self, stream_id: str, service: str, *, part_id: str
    ) -> FoundOrigin:
        self._observe(service)
        own = self._find(stream_id, service)
        if self._origins.is_certain(service, own):
            return _to_found(own.origin, [own])
        min_observed_ms = self._origins.max_age_ms
        query = _Query(
            stream_id=stream_id,
            service=service,
            own=own,
            min_observed_ms=min_observed_ms,
        )
        # A store that does not answer must not delay the answer of a peer, and the
        # other way round.
        work = [self._learn_history(service)]
        if stream_id:
            work.append(self._ask_groups(query, self._rank_keepers(stream_id)))
        try:
            await asyncio.gather(*work)
        finally:
            for number in query.replies:
                del self._replies[number]
        if not stream_id and self._origins.is_mixed(service):
            return FoundOrigin()
        query.own = self._find(stream_id, service)
        origin = query.choose_origin(is_complete=self._are_records_complete(service))
        if origin is None and self._cached is not None and stream_id:
            origin = await self._cached.find(
                stream_id=stream_id,
                part_id=part_id,
                service=service,
                observed_ms=self._origins.observed_ms(service, monotonic_now_ms()),
                max_age_ms=min_observed_ms,
            )
            if origin is not None:
                return FoundOrigin(origin=origin, source=OriginSource.CACHED_PARTS)
        return _to_found(origin, [query.own, *query.evidence])

    def greet(self, address: str) -> None:
        """Send all records to a router to which a link has been opened.

        Notes
        -----
        It has just started, or it has not been told of all streams meanwhile.
        """
        records = tuple(self._origins.records(monotonic_now_ms()))
        if records:
            self._send(address, StreamRecords(records=records))

    def retry_after_ms(self, service: str) -> int | None:
        """Return after which time the caller of an unknown stream may come back.

        Returns
        -------
        int or None
            Time in milliseconds until streams from before this router's start are too
            old to go on; None if they are, so that time does not help.
        """
        remaining_ms = self._origins.unremembered_ms(service, monotonic_now_ms())
        return round(remaining_ms) or None

    async def _learn_history(self, service: str) -> None:
        now_ms = monotonic_now_ms()
        observed_ms = self._origins.observed_ms(service, now_ms)
        if self._has_history or observed_ms >= self._origins.max_age_ms:
            return
        is_due = now_ms - self._history_sought_at_ms >= HISTORY_RETRY_MS
        if self._history is None or (self._history.done() and is_due):
            loop = asyncio.get_running_loop()
            self._history = loop.create_task(self._add_history())
            self._history_sought_at_ms = now_ms
        # The callers of several streams wait for it.
        await asyncio.wait([self._history], timeout=REPLY_TIMEOUT_MS / 1_000)

    async def _add_history(self) -> None:
        history = await self._read_history()
        if history is None:
            return
        self._has_history = True
        since_ms = monotonic_now_ms() - history.duration_ms
        configuration = self._catalog.configuration
        for service in configuration.services if configuration else ():
            servers = history.servers.get(service, ())
            self._origins.add_history(service, servers, since_ms)
            if self._cached is not None:
                self._cached.observe(service, servers)

    def handle_message(self, source: str, message: Message) -> None:
        """Handle a message from another router."""
        now_ms = monotonic_now_ms()
        match message:
            case StreamNotice(stream=stream, origin=origin):
                self._origins.record(stream, origin, now_ms)
            case StreamRecords(records=records):
                self._origins.add_records(records, now_ms)
            case StreamQuery(number=number, stream=stream, service=service):
                found = self._find(message.stream_id, service, stream=stream)
                reply = StreamReply(
                    number=number,
                    origin=found.origin,
                    is_recorded=found.is_recorded,
                    observed_ms=found.observed_ms,
                    is_sole=found.is_sole,
                )
                self._send(source, reply)
            case StreamReply(number=number):
                future = self._replies.get(number)
                if future is not None and not future.done():
                    future.set_result(_to_evidence(message))

    def _are_records_complete(self, service: str) -> bool:
        """Return whether no stream beside a second version lacks a record."""
        if self._do_all_record_sent():
            return True
        now_ms = monotonic_now_ms()
        return not self._origins.may_have_lost_servers(service, now_ms)

    def _observe(self, service: str) -> None:
        servers = self._catalog.find_all_servers(service)
        self._origins.observe(
            service, servers, monotonic_now_ms(), is_current=self._is_store_current()
        )
        if self._cached is not None:
            self._cached.observe(service, servers)

    def _find(
        self, stream_id: str, service: str, *, stream: int | None = None
    ) -> OriginEvidence:
        return self._origins.find(
            hash_to_int(stream_id) if stream is None else stream,
            service,
            monotonic_now_ms(),
            told_since_ms=self._find_told_since(stream_id),
        )

    async def _ask_groups(self, query: "_Query", groups: list[list[str]]) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + REPLY_TIMEOUT_MS / 1_000
        for group in groups:
            query.groups.append([])
            for address in group:
                if address != self._own_address:
                    self._ask(query, address)
            # A router that has just ended does not reply; the next group is asked soon.
            next_at = loop.time() + NEXT_GROUP_MS / 1_000
            await query.wait(min(next_at, ends_at))
            if query.has_record:
                return
        if query.choose_origin() is None:
            await query.wait(ends_at)

    def _ask(self, query: "_Query", address: str) -> None:
        number = next(self._numbers)
        future: asyncio.Future[OriginEvidence]
        future = asyncio.get_running_loop().create_future()
        query.replies[number] = self._replies[number] = future
        query.groups[-1].append(future)
        message = StreamQuery(
            number=number,
            stream=hash_to_int(query.stream_id),
            service=query.service,
            stream_id=query.stream_id,
        )
        self._send(address, message)


def _to_evidence(reply: StreamReply) -> OriginEvidence:
    # Routers of earlier builds conclude from the absence of a record without having
    # been told of all streams.
    is_known = reply.is_recorded or reply.is_sole is not None
    return OriginEvidence(
        origin=reply.origin if is_known else None,
        is_recorded=reply.is_recorded,
        observed_ms=reply.observed_ms,
        is_sole=bool(reply.is_sole),
    )


def _to_found(origin: int | None, evidence: list[OriginEvidence]) -> FoundOrigin:
    if origin is None:
        return FoundOrigin()
    agreeing = [each for each in evidence if each.origin == origin]
    source = OriginSource.NO_RECORD
    if any(each.is_recorded for each in agreeing):
        source = OriginSource.RECORD
    elif any(each.is_sole for each in agreeing):
        source = OriginSource.ONLY_VERSION
    return FoundOrigin(origin=origin, source=source)


@define(kw_only=True, eq=False)
class _Query:
    """Query for the origin of a stream, and the replies to it, by group of routers."""

    stream_id: str
    service: str
    own: OriginEvidence
    min_observed_ms: float
    replies: dict[int, "asyncio.Future[OriginEvidence]"] = field(factory=dict)
    groups: list[list["asyncio.Future[OriginEvidence]"]] = field(factory=list)

    @property
    def evidence(self) -> list[OriginEvidence]:
        """What the routers that have replied know."""
        return [each.result() for each in self.replies.values() if each.done()]

    @property
    def has_record(self) -> bool:
        """Whether a router has a record of the stream."""
        return any(each.is_recorded for each in self.evidence)

    def choose_origin(self, *, is_complete: bool = True) -> int | None:
        """Return the origin that follows from what is known so far.

        Parameters
        ----------
        is_complete : bool, default=True
            Whether the absence of a record shows anything at all.
        """
        groups = [
            [each.result() for each in group if each.done()] for group in self.groups
        ]
        # This router belongs to the first group.
        groups[:1] = [[self.own, *replies] for replies in groups[:1]]
        is_absent = is_complete and is_absence_confirmed(groups, self.min_observed_ms)
        evidence = [self.own, *self.evidence]
        return choose_origin(evidence, self.min_observed_ms, is_absent=is_absent)

    async def wait(self, ends_at: float) -> None:
        """Wait until a router has a record, all have replied, or time is over."""
        loop = asyncio.get_running_loop()
        while not self.has_record and loop.time() < ends_at:
            waiting = [each for each in self.replies.values() if not each.done()]
            if not waiting:
                return
            await asyncio.wait(
                waiting,
                timeout=ends_at - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
