"""Backend servers of a soak test, each behind a proxy and registered in a store."""

import asyncio
import time
from typing import Any

from damaskrill.fakes.platform import FakeServer, FakeStore, build_entry
from damaskrill.soak._proxy import FaultyProxy

__all__ = ["N_EVENTS", "ServerFleet"]

N_EVENTS = 8
N_ENGINES = 3
N_PLAIN = 3
EVENT_MS = 15
WORK_MS = 20
DATA_CENTRES = ("bole", "kality", "sululta")


class ServerFleet:
    """Servers of two services, with the entries that name them.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    store : FakeStore
        Store in which they are registered.

    Attributes
    ----------
    servers : list of FakeServer
        All servers that were ever started.
    proxies : list of FaultyProxy
        Proxy of each server; successive servers of an address share one.
    entries : dict of str to dict
        Entries of the registered servers that are not leaving, by ID.
    """

    def __init__(self, *, reactor: Any, store: FakeStore) -> None:
        self.servers: list[FakeServer] = []
        self.proxies: list[FaultyProxy] = []
        self.entries: dict[str, dict[str, Any]] = {}
        self._reactor = reactor
        self._store = store
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start and register the first servers."""
        for number in range(N_ENGINES):
            await self._add(f"e-{number}", "pool")
        for number in range(N_PLAIN):
            await self._add(f"a-{number}", "app")

    def pick(self, number: int) -> FakeServer:
        """Return one of all servers, also of those that have ended."""
        return self.servers[number % len(self.servers)]

    def pick_registered(self, number: int) -> FakeServer:
        """Return one of the registered servers."""
        registered = [each for each in self.servers if each.server_id in self.entries]
        return registered[number % len(registered)]

    def remove_entry(self, server: FakeServer) -> dict[str, Any]:
        """Exclude a server from those registered and start its successor."""
        entry = self.entries.pop(server.server_id)
        self.start_later(f"{server.server_id}x", entry["service"])
        return entry

    def start_later(self, server_id: str, service: str, delay_s: float = 0.0) -> None:
        """Start and register a server, without waiting for it."""

        async def run() -> None:
            await asyncio.sleep(delay_s)
            await self._add(server_id, service)

        self._tasks.append(asyncio.get_running_loop().create_task(run()))

    def reuse_address(self, target: int) -> FakeServer:
        """Replace a server by one of the other service, and return the old one."""
        numbers = [
            number
            for number, each in enumerate(self.servers)
            if each.server_id in self.entries
        ]
        number = numbers[target % len(numbers)]
        old = self.servers[number]
        entry = self.entries.pop(old.server_id)
        new = self._start_server(f"{old.server_id}y")
        old.close()
        self.proxies[number].set_target(new.address)
        self.proxies[number].reset_all()
        self.servers.append(new)
        self.proxies.append(self.proxies[number])
        service = "app" if entry["service"] == "pool" else "pool"
        started_at_ms = round(time.time() * 1_000)
        self.entries[new.server_id] = {
            **entry,
            "service": service,
            "born": started_at_ms,
        }
        self._store.put_server(new.server_id, self.entries[new.server_id])
        return old

    async def stop_starting(self) -> None:
        """Cancel the starts that are due."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def close(self) -> None:
        """Close all servers and proxies."""
        for server in self.servers:
            server.close()
        for proxy in self.proxies:
            proxy.close()

    async def _add(self, server_id: str, service: str) -> None:
        server = self._start_server(server_id)
        proxy = FaultyProxy(target=server.address)
        await proxy.start()
        self.servers.append(server)
        self.proxies.append(proxy)
        data_centre = DATA_CENTRES[len(self.servers) % len(DATA_CENTRES)]
        entry = build_entry(service=service, address=proxy.address, zone=data_centre)
        self.entries[server_id] = entry
        self._store.put_server(server_id, entry)

    def _start_server(self, server_id: str) -> FakeServer:
        return FakeServer(
            reactor=self._reactor,
            server_id=server_id,
            n_events=N_EVENTS,
            event_ms=EVENT_MS,
            work_ms=WORK_MS,
        )
