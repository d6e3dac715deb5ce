"""Decides when servers that limit their requests may get the next one."""

from collections.abc import Callable, Iterable

from attrs import frozen

from damaskrill.catalog import BackendServer, Catalog, ServiceSpec
from damaskrill.eventlog import DecisionLog
from damaskrill.steering import (
    AnswerMetadata,
    BrittleServices,
    FleetRateLimiter,
    RateLimit,
    RefusalCause,
    ReturningServers,
    ServerLoads,
    ServerOutcome,
    ServerPauses,
    StatedLimits,
    cold_start_limit,
    short_server_id,
    stated_limit,
)

__all__ = ["ServerThrottle", "ServiceWait"]


@frozen(kw_only=True)
class ServiceWait:
    """How long no server of a service may get a request, and why.

    Parameters
    ----------
    duration_ms : float
        Time until a server is expected to accept a request, in milliseconds.
    cause : RefusalCause
        Why this server accepts none before.
    """

    duration_ms: float
    cause: RefusalCause


class ServerThrottle:
    """Pauses and rate limits of servers, cold ones among them.

    Parameters
    ----------
    catalog : Catalog
        Configuration and servers.
    limiter : FleetRateLimiter
        Shares of the routers in rate limits.
    limits : StatedLimits
        Rate limits that servers state.
    brittle : BrittleServices
        Concurrent requests at servers that crash if they reject many.
    loads : ServerLoads
        Number of requests at each server.
    returning : ReturningServers
        Servers that may have started again while the store cannot tell.
    is_store_current : callable
        Returns whether a change in the store would be known by now.
    cold_factor, cold_slack : float
        A cold server can handle ``rate * cold_factor + cold_slack`` requests in any
        second.
    log : DecisionLog
        Log of decisions.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        limiter: FleetRateLimiter,
        limits: StatedLimits,
        brittle: BrittleServices,
        loads: ServerLoads,
        returning: ReturningServers,
        is_store_current: Callable[[], bool],
        cold_factor: float,
        cold_slack: float,
        log: DecisionLog,
    ) -> None:
        self._catalog = catalog
        self._limiter = limiter
        self._limits = limits
        self._brittle = brittle
        self._loads = loads
        self._returning = returning
        self._is_store_current = is_store_current
        self._cold_factor = cold_factor
        self._cold_slack = cold_slack
        self._log = log
        self._pauses = ServerPauses()

    def may_send(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether a server may get a request now."""
        return self._find_wait(server, now_ms) is None

    def is_paused(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether a server has asked for a pause that is not over."""
        return self._pauses.remaining_ms(server.key, now_ms) > 0

    def find_wait(
        self, servers: Iterable[BackendServer], now_ms: float
    ) -> ServiceWait | None:
        """Return the shortest wait; None if some server may get a request now.

        Parameters
        ----------
        servers : iterable of BackendServer
            Servers that a request may be sent to.
        now_ms : float
            Current time in milliseconds.
        """
        shortest: ServiceWait | None = None
        for server in servers:
            wait = self._find_wait(server, now_ms)
            if wait is None:
                return None
            if shortest is None or wait.duration_ms < shortest.duration_ms:
                shortest = wait
        return shortest

    def acquire(self, server: BackendServer, now_ms: float) -> float | None:
        """Count a request that was assigned to a server.

        Returns
        -------
        float or None
            Time of the count for `record_sent` or `release`; None if the server has no
            rate limit.
        """
        if not self._find_limits(server, now_ms):
            return None
        self._limiter.acquire(server.key, now_ms)
        return now_ms

    def record_sent(
        self, server: BackendServer, acquired_at_ms: float | None, now_ms: float
    ) -> None:
        """Record when a counted request was sent, after its connection was opened."""
        if acquired_at_ms is not None and acquired_at_ms != now_ms:
            self._limiter.release(server.key, acquired_at_ms)
            self._limiter.acquire(server.key, now_ms)

    def release(self, server: BackendServer, acquired_at_ms: float | None) -> None:
        """Remove a request that was not sent from the count."""
        if acquired_at_ms is not None:
            self._limiter.release(server.key, acquired_at_ms)

    def handle_metadata(
        self, server: BackendServer, metadata: AnswerMetadata, now_ms: float
    ) -> bool:
        """Handle what a server states in an answer.

        Returns
        -------
        bool
            Whether its rate limit has changed, so that other routers must be told.
        """
        pause_ms = metadata.pause_ms
        if pause_ms is not None and self._pauses.pause(server.key, pause_ms, now_ms):
            self._log.warn(
                "server_paused",
                backend_server=server.server_id,
                pause_ms=round(pause_ms),
            )
        if metadata.is_other_server:
            return False
        per_s = metadata.limit_per_s
        has_changed = self._limits.observe(server.key, per_s, now_ms)
        if has_changed:
            self._log_limit(server.server_id, per_s, cause="answer")
        rejections_per_s = metadata.rejections_per_s
        if self._brittle.observe(server.service, rejections_per_s, now_ms):
            has_changed = True
            self._log.warn(
                "servers_brittle" if rejections_per_s is not None else "servers_sturdy",
                service=server.service,
                rejections_per_s=rejections_per_s,
            )
        return has_changed

    def record_outcome(
        self, server: BackendServer, outcome: ServerOutcome, now_ms: float
    ) -> None:
        """Record the outcome of a request at a server."""
        if self._brittle.is_brittle(server.service):
            n_own = self._loads.n_own(server.key)
            self._brittle.record_outcome(
                server.key, outcome, n_own=n_own, now_ms=now_ms
            )

    def log_reported(self, limits: dict[int, float | None]) -> None:
        """Log limits that another router has reported, by short hash of the server."""
        configuration = self._catalog.configuration
        for service in configuration.services if configuration else ():
            for server in self._catalog.find_all_servers(service):
                server_hash = short_server_id(server.key)
                if server_hash in limits:
                    per_s = limits[server_hash]
                    self._log_limit(server.server_id, per_s, cause="peer")

    def discard_ended(self, now_ms: float) -> None:
        """Discard what no longer counts."""
        registered = self._catalog.registered_keys()
        self._limits.retain_only(registered, now_ms)
        self._limiter.retain_only(registered, now_ms)
        configuration = self._catalog.configuration
        services = set(configuration.services) if configuration else set()
        self._brittle.retain_only(registered, services, now_ms)
        # A pause also counts for a server that is out of use for a part of it.
        self._pauses.discard_ended(now_ms)

    def _find_wait(self, server: BackendServer, now_ms: float) -> ServiceWait | None:
        wait_ms = self._pauses.remaining_ms(server.key, now_ms)
        cause = RefusalCause.SERVERS_PAUSED
        for limit in self._find_limits(server, now_ms):
            limited_ms = self._limiter.wait_ms(server.key, limit, now_ms)
            if limited_ms > wait_ms:
                wait_ms, cause = limited_ms, RefusalCause.SERVERS_LIMITED
        if self._brittle.is_brittle(server.service):
            place_ms = self._find_place_wait_ms(server, now_ms)
            if place_ms > wait_ms:
                wait_ms, cause = place_ms, RefusalCause.SERVERS_LIMITED
        if wait_ms <= 0:
            return None
        return ServiceWait(duration_ms=wait_ms, cause=cause)

    def _find_place_wait_ms(self, server: BackendServer, now_ms: float) -> float:
        n_slots = max(1, server.n_slots)
        places = RateLimit(n_requests=n_slots, window_ms=0.0)
        registered_for_ms = self._catalog.registered_for_ms(server, round(now_ms))
        return self._brittle.wait_ms(
            server.key,
            n_own=self._loads.n_own(server.key),
            n_places=self._limiter.quota(server.key, places, now_ms),
            utilization=self._loads.estimate(server.key, now_ms) / n_slots,
            registered_for_ms=registered_for_ms,
            now_ms=now_ms,
        )

    def _find_limits(self, server: BackendServer, now_ms: float) -> list[RateLimit]:
        limits = []
        per_s = self._limits.find(server.key)
        if per_s is not None:
            limits.append(stated_limit(per_s))
        spec = self._find_cold_spec(server, now_ms)
        if spec is not None:
            limits.append(
                cold_start_limit(spec, factor=self._cold_factor, slack=self._cold_slack)
            )
        return limits

    def _find_cold_spec(
        self, server: BackendServer, now_ms: float
    ) -> ServiceSpec | None:
        at_ms = round(now_ms)
        may_be_listed = self._catalog.has_cold_servers(server.service, at_ms)
        if not may_be_listed and not self._returning.n_servers:
            return None
        spec = self._catalog.find_service(server.service)
        if spec is None or spec.cold_requests_per_s <= 0:
            return None
        is_cold = self._catalog.is_cold(server, at_ms) or self._returning.is_cold(
            server.key,
            now_ms,
            cold_duration_ms=spec.cold_duration_ms,
            is_listed=self._is_store_current(),
        )
        return spec if is_cold else None

    def _log_limit(self, server_id: str, per_s: float | None, *, cause: str) -> None:
        self._log.warn(
            "server_unlimited" if per_s is None else "server_limited",
            backend_server=server_id,
            limit_per_s=per_s,
            cause=cause,
        )
