"""What a router states to engines about a request, and what it knows of their room."""

import secrets
from collections.abc import Callable, Hashable, Iterable

from attrs import frozen

from damaskrill.catalog import BackendServer, Catalog, Route, Team
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._metrics import GatewayMetrics
from damaskrill.steering import (
    MAX_DIRECT_ROUTERS,
    AnswerMetadata,
    EngineFigures,
    EngineRoom,
    EngineUrgency,
    PrefixIndex,
    RequestMetadata,
    ServerLoads,
    ServerRequirements,
    short_server_id,
)

__all__ = ["EngineNeed", "EngineSteering"]


@frozen(kw_only=True)
class EngineNeed:
    """Tokens that a request adds to an engine.

    Parameters
    ----------
    n_cached : int
        Tokens of its shared parts that the engine is known to hold.
    n_unread : int
        Tokens of its prompt that it has to read.
    n_tokens : int
        These, and the output to expect.
    """

    n_cached: int
    n_unread: int
    n_tokens: int


class EngineSteering:
    """Decisions on requests to engines: their urgency, and the engine's room.

    Parameters
    ----------
    catalog : Catalog
        Configuration and servers.
    loads : ServerLoads
        Number of requests at each server, and how long work takes there.
    prefix_index : PrefixIndex
        Engines that hold prompt parts.
    data_centre : str
        Data centre of this router.
    n_routers : callable
        Returns the number of live routers.
    log : DecisionLog
        Log of decisions.
    metrics : GatewayMetrics
        Metrics of the process.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        loads: ServerLoads,
        prefix_index: PrefixIndex,
        data_centre: str,
        n_routers: Callable[[], int],
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._catalog = catalog
        self._loads = loads
        self._speeds = loads.speeds
        self._prefix_index = prefix_index
        self._data_centre = data_centre
        self._n_routers = n_routers
        self._log = log
        self._metrics = metrics
        self._urgency = EngineUrgency(salt=secrets.token_hex(8))
        self._room = EngineRoom()

    def handle_metadata(
        self, server: BackendServer, metadata: AnswerMetadata, now_ms: float
    ) -> None:
        """Handle what an engine states in an answer."""
        load = metadata.load
        if load is None or load.slowness is None or not self._is_engine(server.service):
            return
        if self._urgency.record_stated(server.service):
            self._log.write("engine_speeds_stated", service=server.service)

    def find_urgency(
        self,
        server: BackendServer,
        route: Route,
        team: Team | None,
        metadata: RequestMetadata,
        *,
        was_sent: bool,
    ) -> int | None:
        """Return the urgency to state to an engine; None to state none."""
        configuration = self._catalog.configuration
        if configuration is None or not self._is_known(server.service):
            return None
        urgency = self._urgency.find(
            configuration,
            server.service,
            route=route,
            team=team,
            request_id=metadata.request_id,
            was_sent=was_sent or metadata.is_resumed,
        )
        if urgency is not None:
            self._metrics.record_urgency(urgency)
        return urgency

    def find_figures(
        self, requirements: ServerRequirements, now_ms: float
    ) -> EngineFigures | None:
        """Return what is known of a service's engines; None to choose without it."""
        if not requirements.affinity_keys or not self._is_known(requirements.service):
            return None
        capacity = self._capacity_of(requirements.service)
        n_tokens = requirements.n_tokens
        speeds, room = self._speeds, self._room
        return EngineFigures(
            slowness=lambda each: speeds.slowness(short_server_id(each.key), now_ms),
            n_unread=lambda each: room.n_unread(each.key),
            fits=lambda each, n_requests: room.fits(
                each.key, n_tokens=n_tokens, n_requests=n_requests, capacity=capacity
            ),
        )

    def find_need(
        self, server: BackendServer, requirements: ServerRequirements, now_ms: float
    ) -> EngineNeed | None:
        """Return what a request adds to an engine, before it is recorded as sent."""
        if not requirements.prompt or not self._is_known(server.service):
            return None
        n_cached = self._prefix_index.count_cached_tokens(
            requirements.prompt, server.key, now_ms
        )
        n_tokens = requirements.n_tokens - n_cached
        return EngineNeed(
            n_cached=n_cached,
            n_unread=n_tokens - requirements.n_output_tokens,
            n_tokens=n_tokens,
        )

    def start(
        self,
        handle: Hashable,
        server: BackendServer,
        need: EngineNeed | None,
        *,
        request_id: str,
        now_ms: float,
    ) -> None:
        """Record that a request was sent to an engine."""
        if need is None:
            return
        self._metrics.record_engine_choice(
            is_local=server.data_centre == self._data_centre,
            is_cached=need.n_cached > 0,
        )
        if not self._room.fits(
            server.key,
            n_tokens=need.n_tokens,
            # It is counted as sent already.
            n_requests=self._loads.estimate(server.key, now_ms) - 1,
            capacity=self._capacity_of(server.service),
        ):
            self._log.write(
                "engine_memory_short",
                request_id=request_id,
                backend_server=server.server_id,
                n_tokens=need.n_tokens,
            )
        self._room.start(
            handle, server.key, n_unread=need.n_unread, n_tokens=need.n_tokens
        )

    def record_begun(self, handle: Hashable) -> None:
        """Record that the answer to a request has begun."""
        self._room.record_begun(handle)

    def end(self, handle: Hashable) -> None:
        """Record that a request has left its engine."""
        self._room.end(handle)

    def retain_only(self, services: Iterable[str]) -> None:
        """Discard what is known of all other services."""
        self._urgency.retain_only(services)

    def _is_known(self, service: str) -> bool:
        # In a large fleet a router sees few of an engine's requests, so that its own
        # counts say less than what it knows of prompts and memory.
        if (
            not self._urgency.is_known(service)
            and self._n_routers() <= MAX_DIRECT_ROUTERS
        ):
            return False
        return self._is_engine(service)

    def _is_engine(self, service: str) -> bool:
        spec = self._catalog.find_service(service)
        return spec is not None and spec.is_engine

    def _capacity_of(self, service: str) -> int:
        spec = self._catalog.find_service(service)
        return spec.n_memory_tokens if spec is not None else 0
