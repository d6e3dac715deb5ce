"""Backend servers of a soak test, each behind a proxy and registered in a store."""

import time
from collections.abc import Callable
from typing import Any

from damaskrill.fakes.platform import FakeServer, FakeStore, build_entry
from damaskrill.soak._disruptions import Disruptions
from damaskrill.soak._proxy import FaultyProxy
from damaskrill.soak._schedule import Schedule

__all__ = ["ENGINES", "N_EVENTS", "PLAIN", "SERVICES", "ServerFleet", "find_deadlines"]

N_EVENTS = 8
ENGINES = "pool"
PLAIN = "app"
SERVICES = (ENGINES, PLAIN)
N_ENGINES = 3
N_PLAIN = 3
# With two versions of their software, two servers of each are left if one has ended.
N_ENGINES_OF_TWO_VERSIONS = 6
EVENT_MS = 15
WORK_MS = 20
# With the fourth figure, slots are scheduled and engines are told the urgency.
STATED_LOAD = b"1,0,8,100"
# Time after which the entry of a crashed server expires and its successor starts.
EXPIRY_S = 1.5
RESTART_S = 2.0
DEADLINE_HEADER = b"damaskrill-request-deadline"
DATA_CENTRES = ("bole", "kality", "sululta")


def find_deadlines(server: FakeServer) -> tuple[tuple[float, str, int | None], ...]:
    """Return the arrivals at a server and the time in milliseconds that each states.

    Returns
    -------
    tuple of (float, str, int or None)
        Times on the monotonic clock, request IDs and the time that is left.
    """
    values = [each.find_header(DEADLINE_HEADER) for each in server.requests]
    return tuple(
        (at, request_id, int(value) if value is not None else None)
        for (at, request_id), value in zip(server.arrivals, values)
    )


class ServerFleet:
    """Servers of two services, with the entries that name them.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    store : FakeStore
        Store in which they are registered.
    disruptions : Disruptions
        Record of crashes.
    schedule : Schedule
        Starts of servers that are due later.
    n_versions : int, default=1
        Versions of their software that serve side by side.

    Attributes
    ----------
    servers : list of FakeServer
        All servers that were ever started.
    proxies : list of FaultyProxy
        Proxy of each server; successive servers of an address share one.
    entries : dict of str to dict
        Entries of the registered servers that are not leaving, by ID.
    fatal_parts : set of str
        Prompt parts at which all servers crash.
    fatal_requests : set of (bytes, bytes)
        Targets and bodies of requests at which all servers crash.
    crashes : list of float
        Times of these crashes, on the monotonic clock in seconds.
    services, versions, data_centres : dict of str to str
        Service, software version and data centre of each server, by ID.
    serving : dict of str to (float, float)
        Begin and end of the time for which each server was registered and not leaving,
        by ID, on the monotonic clock in seconds.
    is_cut : callable
        Returns whether a client, given its port, is cut off from all servers.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        store: FakeStore,
        disruptions: Disruptions,
        schedule: Schedule,
        n_versions: int = 1,
    ) -> None:
        self._n_versions = n_versions
        self.services: dict[str, str] = {}
        self.versions: dict[str, str] = {}
        self.data_centres: dict[str, str] = {}
        self.serving: dict[str, tuple[float, float]] = {}
        self.servers: list[FakeServer] = []
        self.proxies: list[FaultyProxy] = []
        self.entries: dict[str, dict[str, Any]] = {}
        self._reactor = reactor
        self.fatal_parts: set[str] = set()
        self.fatal_requests: set[tuple[bytes, bytes]] = set()
        self.crashes: list[float] = []
        self.is_cut: Callable[[int], bool] = lambda port: False
        self._store = store
        self._disruptions = disruptions
        self._schedule = schedule

    async def start(self) -> None:
        """Start and register the first servers."""
        n_engines = N_ENGINES if self._n_versions == 1 else N_ENGINES_OF_TWO_VERSIONS
        for number in range(n_engines):
            await self._add(f"e-{number}", ENGINES)
        for number in range(N_PLAIN):
            await self._add(f"a-{number}", PLAIN)

    def pick(self, number: int) -> FakeServer:
        """Return one of all servers, also of those that have ended."""
        return self.servers[number % len(self.servers)]

    def find(self, server_id: str) -> FakeServer:
        """Return the last server with an ID."""
        return next(e for e in reversed(self.servers) if e.server_id == server_id)

    def pick_registered(self, number: int) -> FakeServer:
        """Return one of the registered servers."""
        registered = [each for each in self.servers if each.server_id in self.entries]
        return registered[number % len(registered)]

    def remove_entry(self, server: FakeServer) -> dict[str, Any]:
        """Exclude a server from those registered and start its successor."""
        entry = self._pop_entry(server.server_id)
        assert entry is not None
        self.start_later(f"{server.server_id}x", entry["service"])
        return entry

    def start_later(self, server_id: str, service: str, delay_s: float = 0.0) -> None:
        """Start and register a server, without waiting for it."""
        self._schedule.run_later(delay_s, lambda: self._add(server_id, service))

    def reuse_address(self, target: int) -> FakeServer:
        """Replace a server by one of the other service, and return the old one."""
        numbers = [
            number
            for number, each in enumerate(self.servers)
            if each.server_id in self.entries
        ]
        number = numbers[target % len(numbers)]
        old = self.servers[number]
        entry = self._pop_entry(old.server_id)
        assert entry is not None
        new = self._start_server(f"{old.server_id}y")
        old.close()
        self.proxies[number].set_target(new.address)
        self.proxies[number].reset_all()
        self.servers.append(new)
        self.proxies.append(self.proxies[number])
        service = PLAIN if entry["service"] == ENGINES else ENGINES
        started_at_ms = round(time.time() * 1_000)
        self._register(
            new.server_id, {**entry, "service": service, "born": started_at_ms}
        )
        return old

    def crash(self, server: FakeServer) -> None:
        """End a server at once, as its host does."""
        server.close()
        self._refuse(server)

    def _refuse(self, server: FakeServer) -> None:
        # Otherwise a request would be sent to a server that never gets it.
        self.proxies[self.servers.index(server)].refuse_all()

    def close(self) -> None:
        """Close all servers and proxies."""
        for server in self.servers:
            server.close()
        for proxy in self.proxies:
            proxy.close()

    async def _add(self, server_id: str, service: str) -> None:
        server = self._start_server(server_id)
        proxy = FaultyProxy(
            target=server.address, is_cut=lambda port: self.is_cut(port)
        )
        await proxy.start()
        self.servers.append(server)
        self.proxies.append(proxy)
        data_centre = DATA_CENTRES[len(self.servers) % len(DATA_CENTRES)]
        entry = build_entry(service=service, address=proxy.address, zone=data_centre)
        self._register(server_id, entry)

    def _register(self, server_id: str, entry: dict[str, Any]) -> None:
        # Successors, whose IDs only have letters added, keep the version.
        version = f"v{1 + int(server_id[2]) % self._n_versions}"
        entry = {**entry, "version": version}
        self.entries[server_id] = entry
        self.services[server_id] = entry["service"]
        self.versions[server_id] = version
        self.data_centres[server_id] = entry["zone"]
        self.serving[server_id] = (time.monotonic(), float("inf"))
        self.find(server_id).started_at_ms = entry["born"]
        self._store.put_server(server_id, entry)

    def _pop_entry(self, server_id: str) -> dict[str, Any] | None:
        entry = self.entries.pop(server_id, None)
        if entry is not None:
            self.serving[server_id] = (self.serving[server_id][0], time.monotonic())
        return entry

    def _start_server(self, server_id: str) -> FakeServer:
        server = FakeServer(
            reactor=self._reactor,
            server_id=server_id,
            n_events=N_EVENTS,
            event_ms=EVENT_MS,
            work_ms=WORK_MS,
        )
        server.stated_load = STATED_LOAD
        server.author = server_id.encode()
        server.fatal_parts = self.fatal_parts
        server.fatal_requests = self.fatal_requests
        server.on_crash = lambda: self._handle_crash(server)
        return server

    def _handle_crash(self, server: FakeServer) -> None:
        now, server_id = time.monotonic(), server.server_id
        self.crashes.append(now)
        self._refuse(server)
        self._disruptions.record_server(server_id, now)
        self._schedule.call_later(
            EXPIRY_S, lambda: self._store.remove_server(server_id)
        )
        entry = self._pop_entry(server_id)
        if entry is not None:
            self.start_later(f"{server_id}r", entry["service"], RESTART_S)
