"""Questions to servers that have been lost whether they are cold."""

import asyncio
from collections.abc import Callable
from typing import Any

from damaskrill.catalog import BackendServer, Catalog, ServiceSpec
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._binding import PlatformBinding
from damaskrill.gateway._server_throttle import ServerThrottle
from damaskrill.http1 import ServerPool, fetch
from damaskrill.steering import ReturningServers, ServerOutcome
from damaskrill.utils import monotonic_now_ms

__all__ = ["ReturnChecks"]

# Time for a connection and the answer of a busy server in another data centre.
ANSWER_TIMEOUT_MS = 300
MAX_HEALTH_BYTES = 100_000
# Losses from before the store went away count for so long.
MAX_LOSS_AGE_MS = 60_000


class ReturnChecks:
    """Finds out whether servers that were lost have returned cold.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    pool : ServerPool
        Connections to servers.
    binding : PlatformBinding
        Adapter to the platform.
    catalog : Catalog
        Configuration and servers.
    throttle : ServerThrottle
        Limits of servers, within which they are asked.
    returning : ReturningServers
        The servers, and what they have stated.
    is_store_current : callable
        Returns whether a change in the store would be known by now.
    log : DecisionLog
        Log of decisions.

    Notes
    -----
    A question waits for a slot like a request, so that it counts towards the limit of a
    cold server: all routers together ask no more than such a server takes.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ServerPool,
        binding: PlatformBinding,
        catalog: Catalog,
        throttle: ServerThrottle,
        returning: ReturningServers,
        is_store_current: Callable[[], bool],
        log: DecisionLog,
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._binding = binding
        self._catalog = catalog
        self._throttle = throttle
        self._returning = returning
        self._is_store_current = is_store_current
        self._log = log
        self._asking: dict[tuple[str, int], asyncio.Task[None]] = {}

    def record_outcome(self, server: BackendServer, outcome: ServerOutcome) -> None:
        """Record the outcome of a request at a server."""
        spec = self._catalog.find_service(server.service)
        is_lost = outcome.is_unreachable or outcome is ServerOutcome.BROKEN
        if is_lost and spec is not None and spec.cold_requests_per_s > 0:
            self._returning.record_lost(server.key, monotonic_now_ms())

    def maintain(self) -> None:
        """Ask the servers of which it is not known, while the store is away."""
        now_ms = monotonic_now_ms()
        self._returning.retain_only(self._catalog.registered_keys())
        self._returning.discard_ended(now_ms, MAX_LOSS_AGE_MS)
        unknown = set(self._returning.find_unknown())
        if not unknown or self._is_store_current():
            return
        configuration = self._catalog.configuration
        for service in configuration.services.values() if configuration else ():
            for server in self._catalog.find_servers(service.name):
                if server.key in unknown and server.key not in self._asking:
                    self._start(server, service)

    def _start(self, server: BackendServer, service: ServiceSpec) -> None:
        now_ms = monotonic_now_ms()
        if not self._throttle.may_send(server, now_ms):
            return
        acquired_at_ms = self._throttle.acquire(server, now_ms)
        work = self._ask(server, service, now_ms, acquired_at_ms)
        task = asyncio.get_running_loop().create_task(work)
        self._asking[server.key] = task
        task.add_done_callback(lambda _: self._asking.pop(server.key, None))

    async def _ask(
        self,
        server: BackendServer,
        service: ServiceSpec,
        asked_at_ms: float,
        acquired_at_ms: float | None,
    ) -> None:
        try:
            connection = await self._pool.open(
                server.key, server.address, limit_ms=ANSWER_TIMEOUT_MS
            )
        except OSError:
            # The server is still away; the next question tells.
            self._throttle.release(server, acquired_at_ms)
            return
        try:
            head, _, _ = await fetch(
                self._reactor,
                server.address,
                self._binding.health_request(server, service.health_path),
                timeout_ms=ANSWER_TIMEOUT_MS,
                connection=connection,
                max_bytes=MAX_HEALTH_BYTES,
            )
        except OSError:
            return
        cold_ms = self._binding.read_cold_ms(head, server)
        if cold_ms is not None:
            now_ms = monotonic_now_ms()
            self._returning.record_stated(
                server.key, cold_ms, asked_at_ms=asked_at_ms, now_ms=now_ms
            )
            self._log.write(
                "server_returned", backend_server=server.server_id, cold_ms=cold_ms
            )
