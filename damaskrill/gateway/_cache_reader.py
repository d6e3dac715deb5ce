"""Readings of the prompt parts that engines have cached."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from damaskrill.catalog import BackendServer
from damaskrill.eventlog import DecisionLog
from damaskrill.exceptions import DamaskrillError
from damaskrill.gateway._binding import PlatformBinding
from damaskrill.http1 import ServerPool, fetch
from damaskrill.steering import CacheContent
from damaskrill.utils import monotonic_now_ms

__all__ = ["CacheReader"]

# A reading delays an engine's work as much as a probe does. Callers come back several
# times within a few seconds; all that wait share the next reading.
READ_INTERVAL_MS = 1_000
# The callers of a fleet that was restarted come back at the same time.
GATHER_MS = 20
# Time for a connection and the answer of a busy engine.
ANSWER_TIMEOUT_MS = 500
# Longest wait for a reading that begins after a stream has been taken up.
MAX_WAIT_MS = READ_INTERVAL_MS + GATHER_MS + ANSWER_TIMEOUT_MS
# Bounds the readings of a large fleet: 12 routers ask 16 engines at most, each once a
# second, while streams of unknown origin are taken up.
MAX_ROUTERS = 12
MAX_ENGINES = 16
# An entry takes about 40 bytes; an engine holds some thousand parts.
MAX_LIST_BYTES = 1_000_000
MS_PER_S = 1_000

ServerKey = tuple[str, int]


class CacheReader:
    """Reads which prompt parts the engines of a service have cached.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    pool : ServerPool
        Connections to servers.
    binding : PlatformBinding
        Adapter to the platform.
    may_ask : callable
        Returns whether a server may get a call now.
    n_routers : callable
        Returns the number of routers of the fleet.
    log : DecisionLog
        Log of decisions.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ServerPool,
        binding: PlatformBinding,
        may_ask: Callable[[BackendServer], bool],
        n_routers: Callable[[], int],
        log: DecisionLog,
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._binding = binding
        self._may_ask = may_ask
        self._n_routers = n_routers
        self._log = log
        self._next: dict[str, asyncio.Task[Mapping[ServerKey, CacheContent]]] = {}
        self._read_at_ms: dict[str, float] = {}

    def find_sources(
        self, servers: Sequence[BackendServer]
    ) -> tuple[BackendServer, ...]:
        """Return the servers that may be asked; none in a large fleet."""
        if len(servers) > MAX_ENGINES or self._n_routers() > MAX_ROUTERS:
            return ()
        return tuple(each for each in servers if self._may_ask(each))

    async def read(
        self, service: str, servers: Sequence[BackendServer]
    ) -> Mapping[ServerKey, CacheContent]:
        """Return what the servers hold that have answered, by incarnation.

        Parameters
        ----------
        service : str
            Their service.
        servers : sequence of BackendServer
            The servers to ask.

        Notes
        -----
        The reading begins after this call: an earlier one does not show that a stream
        which has begun since has left no trace.
        """
        task = self._next.get(service)
        if task is None:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._read_when_due(service, servers))
            self._next[service] = task
        done, _ = await asyncio.wait([task], timeout=MAX_WAIT_MS / MS_PER_S)
        return task.result() if done else {}

    async def _read_when_due(
        self, service: str, servers: Sequence[BackendServer]
    ) -> Mapping[ServerKey, CacheContent]:
        read_at_ms = self._read_at_ms.get(service, float("-inf"))
        due_in_ms = read_at_ms + READ_INTERVAL_MS - monotonic_now_ms()
        await asyncio.sleep(max(due_in_ms, GATHER_MS) / MS_PER_S)
        del self._next[service]
        self._read_at_ms[service] = monotonic_now_ms()
        contents = await asyncio.gather(*(self._ask(each) for each in servers))
        answered = {
            server.key: content
            for server, content in zip(servers, contents, strict=True)
            if content is not None
        }
        self._log.write(
            "cached_parts_read",
            service=service,
            n_asked=len(servers),
            n_answered=len(answered),
            n_tokens={key[0]: each.n_tokens for key, each in answered.items()},
        )
        return answered

    async def _ask(self, server: BackendServer) -> CacheContent | None:
        if not self._may_ask(server):
            return None
        try:
            # A kept connection might bring a late copy of a former list.
            connection = await self._pool.open(
                server.key, server.address, limit_ms=ANSWER_TIMEOUT_MS
            )
            head, body, _ = await fetch(
                self._reactor,
                server.address,
                self._binding.cache_request(server),
                timeout_ms=ANSWER_TIMEOUT_MS,
                connection=connection,
                max_bytes=MAX_LIST_BYTES,
            )
            return self._binding.read_cache(head, body)
        except OSError as error:
            sentence = str(error)
        except DamaskrillError as error:
            sentence = error.sentence
        self._log.warn(
            "cached_parts_unknown", server=server.server_id, sentence=sentence
        )
        return None
