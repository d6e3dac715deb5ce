"""Requests that go through a peer while this router has no path to the servers."""

import asyncio
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from random import Random
from typing import Any

from damaskrill.catalog import BackendServer, Catalog
from damaskrill.eventlog import DecisionLog
from damaskrill.http1 import (
    AnswerHead,
    OutgoingRequest,
    ServerConnection,
    ServerPool,
    fetch,
)
from damaskrill.mesh import MemberEntry
from damaskrill.steering import ServerAllowance, ServerPath, short_server_id
from damaskrill.utils import monotonic_now_ms

__all__ = ["PeerRelay", "peer_key"]

# Peers that one request tries to connect to.
MAX_PEERS = 3
# Requests at a time that are sent through peers to find out about the path; some of
# these peers may be cut off as well, and wait for the whole time of a request.
MAX_TRIALS = 3
# A sound server answers a health check sooner, unless it is full.
PROBE_TIMEOUT_MS = 750


class PeerRelay:
    """Finds out whether the path is cut, and selects peers for requests.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    path : ServerPath
        Evidence on the path to the servers.
    server_pool, peer_pool : ServerPool
        Connections to servers and to peers.
    catalog : Catalog
        Configuration and servers.
    own_entry : callable
        Returns this router's membership entry.
    find_peers : callable
        Returns the membership entries of the other routers.
    announce : callable
        Tells the peers whether this router has a path.
    is_server_answer : callable
        Returns whether a backend server itself has sent an answer.
    region_of : mapping of str to str
        Region of each data centre.
    log : DecisionLog
        Log of decisions.
    random_state : Random
        Random number generator.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        path: ServerPath,
        server_pool: ServerPool,
        peer_pool: ServerPool,
        catalog: Catalog,
        own_entry: Callable[[], MemberEntry],
        find_peers: Callable[[], Sequence[MemberEntry]],
        announce: Callable[[bool], None],
        is_server_answer: Callable[[AnswerHead], bool],
        region_of: Mapping[str, str],
        log: DecisionLog,
        random_state: Random,
    ) -> None:
        self._reactor = reactor
        self._path = path
        self._server_pool = server_pool
        self._peer_pool = peer_pool
        self._catalog = catalog
        self._own_entry = own_entry
        self._find_peers = find_peers
        self._announce = announce
        self._is_server_answer = is_server_answer
        self._region_of = region_of
        self._log = log
        self._random = random_state
        self._probe: asyncio.Task[None] | None = None
        self._n_in_transit = 0
        # Incarnation and heartbeat of peers that could not be reached, by address.
        self._unreached: dict[str, tuple[int, int]] = {}

    @property
    def is_needed(self) -> bool:
        """Whether this router itself cannot reach the servers."""
        return self._path.is_cut

    def is_trial_due(self, *, has_failed: bool) -> bool:
        """Return whether to send a request through a peer to find out about the path.

        Parameters
        ----------
        has_failed : bool
            Whether a server has failed this request. Of the others a few are sent, as a
            failed one may have no time left.
        """
        is_free = self._n_in_transit < MAX_TRIALS
        return self._path.is_suspected and (has_failed or is_free)

    @contextmanager
    def count_relayed(self) -> Iterator[None]:
        """Count a request that is sent through a peer."""
        self._n_in_transit += 1
        try:
            yield
        finally:
            self._n_in_transit -= 1

    def record_relayed(self) -> None:
        """Record that a server has answered a request that went through a peer."""
        self._handle(self._path.record_relayed())

    def record_heard(self) -> None:
        """Record that a server has answered."""
        if self._path.record_heard():
            self._announce(True)
            self._log.write("server_path_back")

    def record_failure(self, server: BackendServer) -> None:
        """Record that a server has not responded."""
        server_hash = short_server_id(server.key)
        self._handle(self._path.record_failure(server_hash, monotonic_now_ms()))

    def record_peer_answers(self, answers: Sequence[tuple[int, float]]) -> None:
        """Record which servers have answered other routers, and how long ago."""
        self._handle(self._path.record_peer_answers(answers, monotonic_now_ms()))

    def choose_peer(
        self, tried: set[tuple[str, int]], allowance: ServerAllowance
    ) -> MemberEntry | None:
        """Return the peer to send a request through; None if there is none.

        Parameters
        ----------
        tried : set of tuple of (str, int)
            Peers to exclude, among others.
        allowance : ServerAllowance
            Servers that the request may still reach.

        Notes
        -----
        Peers of the own data centre are preferred while most of its routers have a
        path. The region stays the same, as callers' data may be bound to it.

        Load pattern: a router is killed and starts again within some tenths of a
        second. Its next process does not know the proof in the entry of the former one,
        takes the requests of its peers for those of callers, and sends them to as many
        servers again. So a peer that was not reached gets nothing until there is a
        newer entry of it.
        """
        own = self._own_entry()
        region = self._region_of.get(own.data_centre, "")
        peers = self._find_peers()
        n_tried = sum(peer_key(each) in tried for each in peers)
        usable = [
            each
            for each in peers
            if each.has_path
            and each.caller_port
            and peer_key(each) not in tried
            and self._unreached.get(each.address) != each.version
            and allowance.may_lend(keeps_grants=each.keeps_grants)
            and self._region_of.get(each.data_centre, "") == region
        ]
        if not usable or n_tried >= MAX_PEERS:
            return None
        local = [each for each in usable if each.data_centre == own.data_centre]
        n_local = sum(each.data_centre == own.data_centre for each in peers)
        if 2 * len(local) > n_local:
            usable = local
        return self._random.choice(usable)

    async def connect(
        self, peer: MemberEntry, limit_ms: float
    ) -> ServerConnection | None:
        """Return a connection to a peer; None if it cannot be opened in time."""
        connection = self._peer_pool.acquire_idle(peer_key(peer))
        if connection is not None:
            return connection
        host = peer.address.rpartition(":")[0]
        try:
            return await self._peer_pool.open(
                peer_key(peer), (host, peer.caller_port), limit_ms=limit_ms
            )
        except OSError:
            self._unreached[peer.address] = peer.version
            self._log.warn("peer_not_reached", peer=peer.address)
            return None

    def probe(self) -> None:
        """Try to reach a server, if the path is cut."""
        if self._path.is_cut and (self._probe is None or self._probe.done()):
            self._probe = asyncio.get_running_loop().create_task(self._run_probe())

    def discard_ended(self) -> None:
        """Discard what is known of servers that are not listed any more."""
        keys = self._catalog.registered_keys()
        self._path.retain_only({short_server_id(key) for key in keys})

    async def _run_probe(self) -> None:
        # A connection that opens shows nothing: a proxy, or the full backlog of a host,
        # accepts it and is silent or resets it.
        configuration = self._catalog.configuration
        services = configuration.services.values() if configuration else ()
        targets = [
            (server, service.health_path)
            for service in services
            for server in self._catalog.find_servers(service.name)
        ]
        if not targets:
            return
        server, path = self._random.choice(targets)
        try:
            connection = await self._server_pool.open(server.key, server.address)
            # The pool takes the connection back when the answer has ended.
            head, _, _ = await fetch(
                self._reactor,
                server.address,
                _build_probe(server, path),
                timeout_ms=PROBE_TIMEOUT_MS,
                connection=connection,
            )
        except OSError:
            # The path is still cut, or this server is down; the next probe tells.
            return
        if self._is_server_answer(head):
            self.record_heard()

    def _handle(self, is_newly_cut: bool) -> None:
        if is_newly_cut:
            self._announce(False)
            self._log.warn("server_path_cut", n_peers=len(self._find_peers()))


def peer_key(peer: MemberEntry) -> tuple[str, int]:
    """Return the key of a peer's connections."""
    return (f"router {peer.address}", peer.incarnation)


def _build_probe(server: BackendServer, path: str) -> OutgoingRequest:
    host, port = server.address
    return OutgoingRequest(
        method=b"GET",
        target=path.encode(),
        headers=((b"Host", f"{host}:{port}".encode()),),
    )
