"""Questions to servers whether their process is the one that the store lists."""

import asyncio
from collections.abc import Callable
from typing import Any

from damaskrill.catalog import BackendServer, Catalog
from damaskrill.eventlog import DecisionLog
from damaskrill.exceptions import DamaskrillError
from damaskrill.gateway._binding import PlatformBinding
from damaskrill.http1 import ServerPool, fetch
from damaskrill.steering import IncarnationProofs
from damaskrill.utils import monotonic_now_ms

__all__ = ["IncarnationChecks"]

# Time for a connection and the answer of a busy server in another data centre.
ANSWER_TIMEOUT_MS = 300
MAX_STATEMENT_BYTES = 100_000
# A question delays a server's work as much as a probe does: all routers together send
# 50 a second to a server at which streams begin on new connections.
WATCH_INTERVAL_PER_ROUTER_MS = 20
MS_PER_S = 1_000

ServerKey = tuple[str, int]


class IncarnationChecks:
    """Finds out whether connections lead to the listed processes of servers.

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
    may_ask : callable
        Returns whether a server may get a call now.
    is_store_current : callable
        Returns whether a change in the store would be known by now.
    n_routers : callable
        Returns the number of routers of the fleet.
    record_successor : callable
        Called with a server and the start time of the process that it has become.
    log : DecisionLog
        Log of decisions.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ServerPool,
        binding: PlatformBinding,
        catalog: Catalog,
        may_ask: Callable[[BackendServer], bool],
        is_store_current: Callable[[], bool],
        n_routers: Callable[[], int],
        record_successor: Callable[[BackendServer, int], None],
        log: DecisionLog,
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._binding = binding
        self._catalog = catalog
        self._may_ask = may_ask
        self._is_store_current = is_store_current
        self._n_routers = n_routers
        self._record_successor = record_successor
        self._log = log
        self._proofs = IncarnationProofs()
        self._asking: dict[ServerKey, tuple[float, asyncio.Task[None]]] = {}
        self._asked_at_ms: dict[ServerKey, float] = {}
        self._watching: set[asyncio.Task[None]] = set()

    def watch(
        self,
        server: BackendServer,
        opened_at_ms: float,
        report_known: Callable[[], None],
    ) -> bool:
        """Return whether the origin of a stream that begins is certain.

        Parameters
        ----------
        server : BackendServer
            Server at which it begins.
        opened_at_ms : float
            Time at which its connection was opened, in milliseconds.
        report_known : callable
            Called if the origin becomes certain later.

        Notes
        -----
        If it is not, the server is asked meanwhile: after a crash it is too late.
        """
        if self._is_store_current() or not self._can_be_asked(server):
            return True
        if self._proofs.is_proven(server.key, opened_at_ms):
            return True
        work = self._watch(server, opened_at_ms, report_known)
        task = asyncio.get_running_loop().create_task(work)
        self._watching.add(task)
        task.add_done_callback(self._watching.discard)
        return False

    async def is_known_process(
        self, server: BackendServer, opened_at_ms: float
    ) -> bool:
        """Return whether a connection leads to the last process known of a server.

        Parameters
        ----------
        server : BackendServer
            The server.
        opened_at_ms : float
            Time at which the connection was opened, in milliseconds.

        Notes
        -----
        A server that does not answer is taken for the listed one only as long as the
        store would tell of another.
        """
        proofs, key = self._proofs, server.key
        if not self._can_be_asked(server) or proofs.is_proven(key, opened_at_ms):
            return True
        if self._may_ask(server):
            await self._ask_after(server, opened_at_ms)
            if proofs.is_proven(key, opened_at_ms):
                return True
        return not proofs.is_replaced(key) and self._is_store_current()

    def purge(self) -> None:
        """Forget servers that are not listed any more."""
        configuration = self._catalog.configuration
        if configuration is None or not self._asked_at_ms:
            return
        listed = {
            server.key
            for service in configuration.services
            for server in self._catalog.find_all_servers(service)
        }
        self._proofs.purge(listed)
        for key in [each for each in self._asked_at_ms if each not in listed]:
            del self._asked_at_ms[key]

    def _can_be_asked(self, server: BackendServer) -> bool:
        spec = self._catalog.find_service(server.service)
        # Without a listed start time there is nothing to compare with.
        return spec is not None and spec.is_engine and server.started_at_ms > 0

    async def _watch(
        self,
        server: BackendServer,
        opened_at_ms: float,
        report_known: Callable[[], None],
    ) -> None:
        proofs, key = self._proofs, server.key
        # All streams that begin meanwhile share the question.
        interval_ms = WATCH_INTERVAL_PER_ROUTER_MS * self._n_routers()
        due_at_ms = self._asked_at_ms.get(key, float("-inf")) + interval_ms
        await asyncio.sleep(max(0.0, due_at_ms - monotonic_now_ms()) / MS_PER_S)
        if not proofs.is_proven(key, opened_at_ms) and self._may_ask(server):
            await self._ask_after(server, opened_at_ms)
        if proofs.is_proven(key, opened_at_ms):
            report_known()

    async def _ask_after(self, server: BackendServer, time_ms: float) -> None:
        # All streams that go on at a server share the questions.
        while True:
            asked_at_ms, task = self._asking.get(server.key) or self._start(server)
            await asyncio.wait([task])
            if asked_at_ms >= time_ms:
                return

    def _start(self, server: BackendServer) -> tuple[float, asyncio.Task[None]]:
        asked_at_ms = monotonic_now_ms()
        task = asyncio.get_running_loop().create_task(self._ask(server, asked_at_ms))
        self._asking[server.key] = asked_at_ms, task
        self._asked_at_ms[server.key] = asked_at_ms
        task.add_done_callback(lambda _: self._asking.pop(server.key, None))
        return asked_at_ms, task

    async def _ask(self, server: BackendServer, asked_at_ms: float) -> None:
        try:
            # A kept connection might bring a late copy of a former answer.
            connection = await self._pool.open(
                server.key, server.address, limit_ms=ANSWER_TIMEOUT_MS
            )
            head, body, _ = await fetch(
                self._reactor,
                server.address,
                self._binding.statement_request(server),
                timeout_ms=ANSWER_TIMEOUT_MS,
                connection=connection,
                max_bytes=MAX_STATEMENT_BYTES,
            )
            started_at_ms = self._binding.read_statement(head, body)
        except OSError as error:
            self._log_unknown(server, str(error))
            return
        except DamaskrillError as error:
            self._log_unknown(server, error.sentence)
            return
        if self._proofs.record_statement(server.key, started_at_ms, asked_at_ms):
            self._record_successor(server, started_at_ms)
            self._log.warn(
                "server_started_again",
                server=server.server_id,
                listed_start_ms=server.started_at_ms,
                start_ms=started_at_ms,
            )

    def _log_unknown(self, server: BackendServer, sentence: str) -> None:
        self._log.warn("server_start_unknown", server=server.server_id, why=sentence)
