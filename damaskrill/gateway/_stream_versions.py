"""Exchange with other routers on the software versions at which streams began."""

import asyncio
import itertools
from collections.abc import Callable, Iterable

from damaskrill.catalog import BackendServer, Catalog
from damaskrill.mesh import Message, StreamNotice, StreamQuery, StreamReply
from damaskrill.steering import OriginEvidence, StreamOrigins, choose_origin
from damaskrill.utils import hash_to_int, monotonic_now_ms

__all__ = ["StreamVersions"]

# Many times the latency between data centres, with the opening of a link.
REPLY_TIMEOUT_MS = 200
# Routers that are told of a stream.
N_TOLD = 2


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
    send : callable
        Sends a message to the router with an address.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        own_address: str,
        rank_keepers: Callable[[str], list[list[str]]],
        send: Callable[[str, Message], None],
    ) -> None:
        self._catalog = catalog
        self._own_address = own_address
        self._rank_keepers = rank_keepers
        self._send = send
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

    def origin_of(self, server: BackendServer) -> int | None:
        """Return the origin of the streams that begin at a server."""
        return self._observe(server.service).get(server.key)

    def has_origin(self, service: str, origin: int) -> bool:
        """Return whether a server that may get requests has an origin."""
        return any(
            self.origin_of(server) == origin
            for server in self._catalog.find_servers(service)
        )

    def record_begun(self, stream_id: str, server: BackendServer, origin: int) -> None:
        """Record that a stream has begun or goes on, and tell the keepers.

        Notes
        -----
        While only one version serves, nobody needs to know.
        """
        if not self._origins.is_mixed(server.service):
            return
        stream = hash_to_int(stream_id)
        self._origins.record(stream, origin, monotonic_now_ms())
        own_group = self._rank_keepers(stream_id)[0]
        others = [each for each in own_group if each != self._own_address]
        # A router that resumes the stream asks one more than are told, as it cannot
        # know whether the router that began it is among the first.
        for address in others[:N_TOLD]:
            self._send(address, StreamNotice(stream=stream, origin=origin))

    async def find_origin(self, stream_id: str, service: str) -> int | None:
        """Return the origin of a stream; None if no router knows it.

        Parameters
        ----------
        stream_id : str
            Attempt that began the stream; empty if the caller names none.
        service : str
            Service of the route that resumes it.
        """
        self._observe(service)
        stream = hash_to_int(stream_id)
        own = self._origins.find(stream, service, monotonic_now_ms())
        if self._origins.is_certain(service, own):
            return own.origin
        if not stream_id:
            return None if self._origins.is_mixed(service) else own.origin
        evidence = [own]
        for group in self._rank_keepers(stream_id):
            evidence += await self._ask(group, stream, service)
            if any(each.is_recorded for each in evidence):
                break
        return choose_origin(evidence)

    def handle_message(self, source: str, message: Message) -> None:
        """Handle a message from another router."""
        now_ms = monotonic_now_ms()
        match message:
            case StreamNotice(stream=stream, origin=origin):
                self._origins.record(stream, origin, now_ms)
            case StreamQuery(number=number, stream=stream, service=service):
                found = self._origins.find(stream, service, now_ms)
                reply = StreamReply(
                    number=number,
                    origin=found.origin,
                    is_recorded=found.is_recorded,
                    observed_ms=found.observed_ms,
                )
                self._send(source, reply)
            case StreamReply(number=number):
                future = self._replies.get(number)
                if future is not None and not future.done():
                    future.set_result(
                        OriginEvidence(
                            origin=message.origin,
                            is_recorded=message.is_recorded,
                            observed_ms=message.observed_ms,
                        )
                    )

    def _observe(self, service: str) -> dict[tuple[str, int], int]:
        servers = self._catalog.find_all_servers(service)
        return self._origins.observe(service, servers, monotonic_now_ms())

    async def _ask(
        self, addresses: Iterable[str], stream: int, service: str
    ) -> list[OriginEvidence]:
        loop = asyncio.get_running_loop()
        pending: dict[int, asyncio.Future[OriginEvidence]] = {}
        for address in addresses:
            if address != self._own_address:
                number = next(self._numbers)
                pending[number] = self._replies[number] = loop.create_future()
                query = StreamQuery(number=number, stream=stream, service=service)
                self._send(address, query)
        try:
            return await _gather(list(pending.values()))
        finally:
            for number in pending:
                del self._replies[number]


async def _gather(
    futures: list["asyncio.Future[OriginEvidence]"],
) -> list[OriginEvidence]:
    """Return the replies until one is from a record, all are there, or time is over."""
    loop = asyncio.get_running_loop()
    until = loop.time() + REPLY_TIMEOUT_MS / 1_000
    waiting = set(futures)
    while waiting and loop.time() < until:
        done, waiting = await asyncio.wait(
            waiting,
            timeout=max(0.0, until - loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if any(each.result().is_recorded for each in done):
            break
    return [each.result() for each in futures if each.done()]
