"""Dispatch of callers' requests, and state that all exchanges of a router share."""

import asyncio
from collections.abc import Callable, Collection, Mapping, Set
from random import Random
from typing import Any

from attrs import evolve

from damaskrill.catalog import BackendServer, Catalog, Route
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._binding import PlatformBinding
from damaskrill.gateway._buffers import BufferBudget
from damaskrill.gateway._crash_blocking import CrashBlocking
from damaskrill.gateway._engine_steering import EngineSteering
from damaskrill.gateway._exchange import Exchange
from damaskrill.gateway._incarnation_checks import IncarnationChecks
from damaskrill.gateway._metrics import GatewayMetrics
from damaskrill.gateway._passed_over import log_passed_over
from damaskrill.gateway._peer_relay import PeerRelay
from damaskrill.gateway._return_checks import ReturnChecks
from damaskrill.gateway._server_throttle import ServerThrottle, ServiceWait
from damaskrill.gateway._slots import SlotScheduling
from damaskrill.gateway._stream_versions import StreamVersions
from damaskrill.http1 import CallerConnection, CallerRequest, ServerPool
from damaskrill.limits import MemoryAccount
from damaskrill.steering import (
    DIRECT_BOUNDS,
    MAX_DIRECT_ROUTERS,
    RELAYED_BOUNDS,
    AnswerMetadata,
    Candidate,
    CrashDetector,
    FailureDetector,
    FleetHealth,
    FleetRetryBudget,
    HotKeys,
    PrefixIndex,
    RequestMetadata,
    ServerLoads,
    ServerOutcome,
    ServerRequirements,
    ServerSelector,
    is_region_allowed,
    short_server_id,
    spread_retry_after,
)
from damaskrill.utils import hash_to_int, monotonic_now_ms

__all__ = ["RequestDispatcher"]

# An engine registered for longer has processed the prefixes of its own keys.
WARM_AFTER_MS = 10_000
# Time after the start of draining in which the balancer still sends new connections.
ACCEPT_ALL_MS = 2_800


class RequestDispatcher:
    """Dispatcher of callers' requests, with the state that exchanges share.

    Parameters
    ----------
    binding : PlatformBinding
        Adapter to the platform.
    catalog : Catalog
        Configuration and servers.
    pool : ServerPool
        Connections to servers.
    throttle : ServerThrottle
        Pauses and rate limits of servers.
    budget : FleetRetryBudget
        Limit on retries.
    log : DecisionLog
        Log of decisions.
    metrics : GatewayMetrics
        Metrics of the process.
    loads : ServerLoads
        Number of requests at each server.
    hot_keys : HotKeys
        Request counts that detect keys which need more than one engine.
    prefix_index : PrefixIndex
        Engines from which prompt prefixes can be copied.
    failures : FailureDetector
        Failures of servers' requests observed by all routers.
    crashes : CrashDetector
        Requests and prompt parts that may crash servers.
    find_rank : callable
        Returns this router's rank by rendezvous hash for a key, from 0, and the number
        of routers.
    relay : PeerRelay
        Peers that requests go through while the path to the servers is cut.
    account : MemoryAccount
        Memory that requests and answers of callers take.
    streams : StreamVersions
        Software versions at which streams began.
    incarnations : IncarnationChecks
        Whether connections lead to the listed processes of servers.
    returns : ReturnChecks
        Whether servers that were lost have returned cold.
    slots : SlotScheduling
        Slots of services with few of them.
    publish_reports : callable
        Publishes failures, crashes and limits to other routers after a short delay.
    publish_departure : callable
        Publishes that an incarnation leaves to other routers after a short delay.
    data_centre : str
        Data centre that this router runs in.
    region_of : mapping of str to str
        Region of each data centre.
    n_routers : callable
        Returns the number of live routers.
    n_sharing : callable
        Returns the number of routers that share the retry budget; None if unknown.
    accepts_hop : callable
        Returns whether a proof shows that a request comes from another router.
    store_age_ms : callable
        Returns the age of the replica of the store in milliseconds, -1 if unknown.
    random_state : Random
        Random number generator.
    """

    def __init__(
        self,
        *,
        binding: PlatformBinding,
        catalog: Catalog,
        pool: ServerPool,
        throttle: ServerThrottle,
        budget: FleetRetryBudget,
        log: DecisionLog,
        metrics: GatewayMetrics,
        loads: ServerLoads,
        hot_keys: HotKeys,
        prefix_index: PrefixIndex,
        failures: FailureDetector,
        crashes: CrashDetector,
        find_rank: Callable[[str], tuple[int, int]],
        relay: PeerRelay,
        account: MemoryAccount,
        streams: StreamVersions,
        incarnations: IncarnationChecks,
        returns: ReturnChecks,
        slots: SlotScheduling,
        publish_reports: Callable[[], None],
        publish_departure: Callable[[tuple[str, int]], None],
        data_centre: str,
        region_of: Mapping[str, str],
        n_routers: Callable[[], int],
        n_sharing: Callable[[], int | None],
        accepts_hop: Callable[[str], bool],
        store_age_ms: Callable[[], int],
        random_state: Random,
    ) -> None:
        self.binding = binding
        self.catalog = catalog
        self.pool = pool
        self.budget = budget
        self.log = log
        self.metrics = metrics
        self.loads = loads
        self.buffer_budget = BufferBudget(account)
        self.throttle = throttle
        self.relay = relay
        self.streams = streams
        self.incarnations = incarnations
        self.engines = EngineSteering(
            catalog=catalog,
            loads=loads,
            prefix_index=prefix_index,
            data_centre=data_centre,
            n_routers=n_routers,
            log=log,
            metrics=metrics,
        )
        self.slots = slots
        self._returns = returns
        self._health = FleetHealth(detector=failures)
        self._prefix_index = prefix_index
        self._failures = failures
        self._publish_reports = publish_reports
        self._publish_departure = publish_departure
        self.crashes = CrashBlocking(
            detector=crashes,
            publish=publish_reports,
            find_rank=find_rank,
            log=log,
            metrics=metrics,
        )
        self._region_of = region_of
        self._n_routers = n_routers
        self.n_sharing = n_sharing
        self._accepts_hop = accepts_hop
        self.store_age_ms = store_age_ms
        self._random = random_state
        self._selector = ServerSelector(
            loads=self.loads,
            own_data_centre=data_centre,
            random_state=random_state,
            hot_keys=hot_keys,
            failures=failures.shares,
        )
        self._tasks: set[asyncio.Task[Any]] = set()
        self._drain_times: tuple[float, float] | None = None
        self._is_exiting = False

    @property
    def now_ms(self) -> float:
        """Current time of the monotonic clock in milliseconds."""
        return monotonic_now_ms()

    @property
    def n_exchanges(self) -> int:
        """Number of requests in progress."""
        return len(self._tasks)

    def handle_request(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Serve a request in a separate task.

        Notes
        -----
        While the process exits, a request is not passed on, as its answer could not be
        returned; the connection is closed instead.
        """
        if self._is_exiting:
            connection.abort()
            return
        exchange = Exchange(dispatcher=self, connection=connection, request=request)
        task = asyncio.get_running_loop().create_task(exchange.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.on_disconnect = lambda: _cancel(task)

    def read_request(self, request: CallerRequest) -> RequestMetadata:
        """Return a request's metadata; only a router is taken for a router."""
        metadata = self.binding.read_request(request)
        hop = metadata.hop
        if hop is None or self._accepts_hop(hop.proof):
            return metadata
        self.log.write("hop_not_accepted", request_id=metadata.request_id)
        return evolve(metadata, hop=None)

    def start_draining(self, started_ms: float, end_ms: float) -> None:
        """Set when draining began and when the process ends, in milliseconds."""
        self._drain_times = (started_ms, end_ms)

    def can_finish(self, limit_at_ms: float, *, is_relayed: bool) -> bool:
        """Return whether a request with this limit ends before the process does.

        Parameters
        ----------
        limit_at_ms : float
            Time at which the request ends without an answer, in milliseconds.
        is_relayed : bool
            Whether another router sent it.

        Notes
        -----
        Just after draining has begun, the balancer still sends callers to this router.
        They have no better router yet, so their requests are accepted in any case. A
        router has other peers, and its caller would lose a stream that is cut here.
        """
        if self._drain_times is None:
            return True
        started_ms, end_ms = self._drain_times
        accepts_all = not is_relayed and self.now_ms <= started_ms + ACCEPT_ALL_MS
        return limit_at_ms <= end_ms or accepts_all

    def pick_service(self, route: Route, stream_id: str = "") -> str:
        """Pick one of the services that share a route at random, by weight.

        Parameters
        ----------
        route : Route
            The route.
        stream_id : str, default=""
            Attempt that began a stream, which goes on at the same service as long as
            the shares stay the same.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [each.weight for each in route.shares]
        if not any(weights):
            return route.shares[0].service
        random = Random(hash_to_int(stream_id)) if stream_id else self._random
        return random.choices(route.shares, weights)[0].service

    def has_origin(self, requirements: ServerRequirements) -> bool:
        """Return whether a server may serve that a begun stream can go on at."""
        origin = requirements.origin
        return origin is None or self.streams.has_origin(requirements.service, origin)

    def select(
        self,
        requirements: ServerRequirements,
        *,
        tried: set[tuple[str, int]],
        only: set[tuple[str, int]] | None = None,
        only_healthy: bool = False,
    ) -> BackendServer | None:
        """Return the server to send a request to; None if none is eligible.

        Parameters
        ----------
        requirements : ServerRequirements
            Requirements of the request.
        tried : set of tuple of (str, int)
            Incarnations to exclude.
        only : set of tuple of (str, int), default=None
            Incarnations to choose from; any if None.
        only_healthy : bool, default=False
            Whether to choose no ejected server, even if no other is eligible.
        """
        now_ms = self.now_ms
        service = requirements.service
        configuration = self.catalog.configuration
        if configuration is None or service not in configuration.services:
            return None
        origin, origins = requirements.origin, self.streams.origins_of(service)
        is_restricted = requirements.is_restricted
        candidates = [
            Candidate(
                server=server,
                is_preferred=not self._health.is_ejected(server.key, now_ms),
            )
            for server in self.catalog.find_servers(service)
            if server.key not in tried
            and (only is None or server.key in only)
            and (not is_restricted or self._is_allowed(requirements, server))
            and (origin is None or origins.get(server.key) == origin)
            and self.throttle.may_send(server, now_ms)
        ]
        if only_healthy:
            candidates = [each for each in candidates if each.is_preferred]
        holders: frozenset[int] = frozenset()
        if requirements.affinity_keys:
            holders = self._prefix_index.find_holders(
                requirements.affinity_keys[-1], now_ms
            )
        n_routers = self._n_routers()
        selected = self._selector.select(
            candidates,
            affinity_keys=requirements.affinity_keys,
            now_ms=now_ms,
            all_servers=self.catalog.find_all_servers(service),
            bounds=RELAYED_BOUNDS if n_routers > MAX_DIRECT_ROUTERS else DIRECT_BOUNDS,
            has_prefix=(lambda server: short_server_id(server.key) in holders)
            if holders
            else None,
            is_engine=configuration.services[service].is_engine,
            n_routers=n_routers,
            is_last=requirements.is_last,
            figures=self.engines.find_figures(requirements, now_ms),
        )
        for each in self._selector.take_passed_over():
            log_passed_over(self.log, each)
        return selected

    def find_excluded(
        self, requirements: ServerRequirements, tried: Set[tuple[str, int]]
    ) -> frozenset[int]:
        """Return the short hashes of a service's servers that may not run a request."""
        is_restricted = requirements.is_restricted
        return frozenset(
            short_server_id(each.key)
            for each in self.catalog.find_servers(requirements.service)
            if each.key in tried
            or (is_restricted and not self._is_allowed(requirements, each))
        )

    def has_healthy(self, requirements: ServerRequirements) -> bool:
        """Return whether a server that is not left out after failures may be used."""
        return self.select(requirements, tried=set(), only_healthy=True) is not None

    def may_schedule(self, server: BackendServer) -> bool:
        """Return whether a server is neither left out after failures nor paused."""
        now_ms = self.now_ms
        if self._health.is_ejected(server.key, now_ms):
            return False
        return not self.throttle.is_paused(server, now_ms)

    def may_ask(self, server: BackendServer) -> bool:
        """Return whether a server may be asked about its own state now.

        Notes
        -----
        A server that limits its requests, a cold one for instance, would count it.
        """
        now_ms = self.now_ms
        if not self.catalog.is_usable(server.key):
            return False
        is_cold = self.catalog.is_cold(server, round(now_ms))
        return not is_cold and self.throttle.may_send(server, now_ms)

    def find_wait(
        self,
        requirements: ServerRequirements,
        *,
        tried: set[tuple[str, int]] | None = None,
    ) -> ServiceWait | None:
        """Return how long no server may get a request; None if one may get it now.

        Parameters
        ----------
        requirements : ServerRequirements
            Requirements of the request.
        tried : set of tuple of (str, int), default=None
            Incarnations to exclude.
        """
        origin = requirements.origin
        origins = self.streams.origins_of(requirements.service)
        servers = [
            server
            for server in self.catalog.find_servers(requirements.service)
            if (tried is None or server.key not in tried)
            and self._is_allowed(requirements, server)
            and (origin is None or origins.get(server.key) == origin)
        ]
        return self.throttle.find_wait(servers, self.now_ms)

    def spread_retry_after(self, duration_ms: float) -> int:
        """Return a time after which to retry, at random after the given one."""
        return spread_retry_after(duration_ms, self._random)

    def find_cache_source(
        self,
        route: Route,
        metadata: RequestMetadata,
        server: BackendServer,
        *,
        excluded: Collection[tuple[str, int]] = (),
    ) -> BackendServer | None:
        """Return the engine to copy a prompt's prefix from; None if there is none.

        Parameters
        ----------
        route : Route
            Route of the request.
        metadata : RequestMetadata
            Metadata of the request.
        server : BackendServer
            Engine that gets the request.
        excluded : collection of tuple of (str, int), default=()
            Incarnations that must not be the source.

        Notes
        -----
        Also records that the server processes the shared parts of the prompt.
        """
        spec = self.catalog.find_service(server.service)
        if spec is None or not spec.is_engine or not route.has_prompt:
            return None
        now_ms = self.now_ms
        # What another software version has cached does not fit.
        origins = self.streams.origins_of(server.service)
        origin = origins.get(server.key)
        holders = [
            each
            for each in self.catalog.find_all_servers(server.service)
            if not self._health.is_ejected(each.key, now_ms)
            and each.key not in excluded
            and origins.get(each.key) == origin
        ]
        registered_for_ms = self.catalog.registered_for_ms(server, round(now_ms))
        source = self._prefix_index.find(
            metadata.prompt,
            server,
            holders,
            now_ms,
            is_warm=registered_for_ms > WARM_AFTER_MS,
        )
        self._prefix_index.record_sent(metadata.prompt, server, now_ms)
        return source

    def can_acquire_retry(self, service: str, *, fraction: float = 1.0) -> bool:
        """Return whether a fraction of the budget allows a retry."""
        return self.budget.can_acquire(
            service, self.n_sharing(), self.now_ms, fraction=fraction
        )

    def is_uneven(self, service: str) -> bool:
        """Return whether plain servers of a service state how long work takes."""
        spec = self.catalog.find_service(service)
        if spec is None or spec.is_engine:
            return False
        servers = self.catalog.find_servers(service)
        return self.loads.speeds.is_stated(short_server_id(s.key) for s in servers)

    def try_acquire_retry(self, service: str) -> bool:
        """Acquire one retry from the budget; return whether it allowed one."""
        is_allowed = self.budget.try_acquire(service, self.n_sharing(), self.now_ms)
        self.metrics.record_retry(service, is_allowed=is_allowed)
        return is_allowed

    def handle_metadata(self, server: BackendServer, metadata: AnswerMetadata) -> None:
        """Handle what a server states about itself in an answer."""
        now_ms = self.now_ms
        self.relay.record_heard()
        if metadata.load is not None:
            self.loads.observe_stated(server.key, metadata.load, now_ms)
            self.engines.handle_metadata(server, metadata, now_ms)
            self.slots.observe_load(server, metadata.load)
            self.metrics.observe_slowness(server.server_id, metadata.load.slowness)
        if metadata.is_leaving and self.catalog.mark_leaving(
            server.key, cause="answer"
        ):
            self.purge_removed_servers()
            self._publish_departure(server.key)
        if self.throttle.handle_metadata(server, metadata, now_ms):
            self._publish_reports()

    def record_outcome(self, server: BackendServer, outcome: ServerOutcome) -> None:
        """Record the outcome of an attempt at a server."""
        if outcome is not ServerOutcome.GOOD:
            self.metrics.record_failure(outcome.value)
        self.throttle.record_outcome(server, outcome, self.now_ms)
        if self.relay.is_needed:
            # It is this router that has no path; the server is not at fault.
            return
        self._returns.record_outcome(server, outcome)
        if self._health.record(server.key, outcome, self.now_ms):
            self._log_ejection(server, outcome.value)
        if self._failures.has_unpublished:
            self._publish_reports()

    def apply_failures(self, servers: frozenset[int]) -> None:
        """Eject servers for failures that other routers have reported.

        Parameters
        ----------
        servers : frozenset of int
            Short hashes of the servers with new failure reports.
        """
        configuration = self.catalog.configuration
        for service in configuration.services if configuration else ():
            for server in self.catalog.find_servers(service):
                if short_server_id(server.key) in servers:
                    self._evaluate_reports(server)

    def _evaluate_reports(self, server: BackendServer) -> None:
        now_ms = self.now_ms
        own_per_s = self.budget.requests_per_s(server.service, now_ms)
        servers = self.catalog.find_servers(server.service)
        if self._health.evaluate_reports(
            server.key,
            service=[each.key for each in servers],
            fleet_per_s=own_per_s * self._n_routers(),
            now_ms=now_ms,
        ):
            self._log_ejection(server, "told_by_routers")

    def _log_ejection(self, server: BackendServer, cause: str) -> None:
        self.log.warn("server_left_out", backend_server=server.server_id, cause=cause)
        self.pool.close_idle(server.key)

    def purge_removed_servers(self) -> None:
        """Discard the state of servers that get no requests.

        Notes
        -----
        Also closes their idle connections, and registers the other servers for load
        reports.
        """
        configuration = self.catalog.configuration
        if configuration is None:
            return
        self.streams.observe_all()
        keys = {
            server.key
            for service in configuration.services
            for server in self.catalog.find_servers(service)
        }
        for key in self.pool.keys():
            if key not in keys:
                self.pool.close_idle(key)
        for key in keys:
            self.loads.register_server(key)
        self.loads.retain_only(keys)
        self.engines.retain_only(configuration.services)
        # Servers that are out of use for a moment return as they were.
        self._health.retain_only(self.catalog.registered_keys())
        self.throttle.discard_ended(self.now_ms)
        self.relay.discard_ended()

    @property
    def is_exiting(self) -> bool:
        """Whether the process exits now, so that no request can be served any more."""
        return self._is_exiting

    def cancel_all(self) -> None:
        """Cancel all exchanges, as the process exits."""
        self._is_exiting = True
        for task in list(self._tasks):
            task.cancel()

    def _is_allowed(
        self, requirements: ServerRequirements, server: BackendServer
    ) -> bool:
        return is_region_allowed(
            self._region_of.get(server.data_centre, ""),
            route_regions=requirements.route_regions,
            team_regions=requirements.team_regions,
        )


def _cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()
