"""Fleet-wide rate limit of requests to cold servers."""

from collections import deque

from damaskrill.catalog import BackendServer, ServiceSpec
from damaskrill.utils import rank_by_rendezvous

__all__ = ["ColdStartLimiter"]

# The limit holds for any second. The window is slightly longer, because requests have
# different network delays.
WINDOW_MS = 1_100
# Fraction of the limit that is used: as network delays differ, one second at a server
# may include requests that the routers sent over more than a second.
SAFETY_FACTOR = 0.8
# Number of routers that is assumed until the others are discovered.
MIN_ASSUMED_ROUTERS = 12
# Within this time, routers that start together have discovered each other.
DISCOVERY_MS = 2_500


class ColdStartLimiter:
    """Limits the rate at which the fleet sends requests to a cold server.

    Parameters
    ----------
    factor, slack : float
        A cold server can handle ``rate * factor + slack`` requests in any second.
    own_address : str
        This router's address among the members.
    started_at_ms : float
        When this router started, in milliseconds.

    Notes
    -----
    Handles a server that returns with cold caches while all routers have requests
    waiting for it. Every router gets an equal share of the limit. If the share is less
    than one request per second, only the routers that rank first for that server send
    one.
    """

    def __init__(
        self, *, factor: float, slack: float, own_address: str, started_at_ms: float
    ) -> None:
        self._factor = factor
        self._slack = slack
        self._own_address = own_address
        self._started_at_ms = started_at_ms
        self._members: frozenset[str] = frozenset({own_address})
        self._max_members = 1
        # Routers in the order in which they may send to a server.
        self._rankings: dict[str, list[str]] = {}
        self._sent: dict[tuple[str, int], deque[float]] = {}

    def set_members(self, members: frozenset[str]) -> None:
        """Set the routers that are alive, including this one."""
        if members != self._members:
            self._members = members
            self._rankings.clear()
        self._max_members = max(self._max_members, len(members))

    def quota(self, server: BackendServer, spec: ServiceSpec, now_ms: float) -> int:
        """Return how many requests this router may send per second."""
        limit = SAFETY_FACTOR * (spec.cold_requests_per_s * self._factor + self._slack)
        n_routers = max(1, self._max_members)
        if now_ms - self._started_at_ms < DISCOVERY_MS:
            n_routers = max(n_routers, MIN_ASSUMED_ROUTERS)
        share = int(limit / n_routers)
        if share >= 1:
            return share
        ranked = self._rankings.get(server.server_id)
        if ranked is None:
            ranked = rank_by_rendezvous(server.server_id, self._members)
            self._rankings[server.server_id] = ranked
        return int(self._own_address in ranked[: int(limit)])

    def may_send(self, server: BackendServer, spec: ServiceSpec, now_ms: float) -> bool:
        """Return whether another request may be sent now."""
        sent = self._sent.get(server.key)
        if sent is None:
            return self.quota(server, spec, now_ms) > 0
        while sent and sent[0] <= now_ms - WINDOW_MS:
            sent.popleft()
        return len(sent) < self.quota(server, spec, now_ms)

    def record_sent(self, server: BackendServer, now_ms: float) -> None:
        """Record a request that was sent to a cold server."""
        self._sent.setdefault(server.key, deque()).append(now_ms)
