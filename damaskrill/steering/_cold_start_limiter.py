"""Limit of requests to cold servers, summed over all routers."""

from collections import deque

from damaskrill.catalog import BackendServer, ServiceSpec
from damaskrill.utils import rank_by_rendezvous

__all__ = ["ColdStartLimiter"]

# The bound is on any second; the window is a little longer, as requests take
# different times on their way.
WINDOW_MS = 1_100
# Part of the limit that is used: a second of the servers' may hold requests of more
# than a second of the routers', as each takes another time on its way.
SAFETY_FACTOR = 0.8
# Routers that are assumed until the others are known.
MIN_ASSUMED_ROUTERS = 12
# Time in which routers that start together have found each other.
DISCOVERY_MS = 2_500


class ColdStartLimiter:
    """Lets through only as much as a cold server bears from the whole fleet.

    Parameters
    ----------
    factor, slack : float
        The server bears ``rate * factor + slack`` requests in any second.
    own_address : str
        This router's address among the members.
    started_at_ms : float
        When this router started, in milliseconds.

    Notes
    -----
    Answers the pattern of a server that returns empty while all routers have work
    waiting for it. Each router takes an equal part; where a part is less than one
    request a second, only the routers that rank first for that server take one.
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
        self._sent: dict[tuple[str, int], deque[float]] = {}

    def set_members(self, members: frozenset[str]) -> None:
        """Take the routers that are alive, this one included."""
        self._members = members
        self._max_members = max(self._max_members, len(members))

    def quota(self, server: BackendServer, spec: ServiceSpec, now_ms: float) -> int:
        """Return how many requests this router may send in a second."""
        limit = SAFETY_FACTOR * (spec.cold_requests_per_s * self._factor + self._slack)
        n_routers = max(1, self._max_members)
        if now_ms - self._started_at_ms < DISCOVERY_MS:
            n_routers = max(n_routers, MIN_ASSUMED_ROUTERS)
        share = int(limit / n_routers)
        if share >= 1:
            return share
        ranked = rank_by_rendezvous(server.server_id, self._members)
        return int(self._own_address in ranked[: int(limit)])

    def may_send(self, server: BackendServer, spec: ServiceSpec, now_ms: float) -> bool:
        """Whether another request may be sent now."""
        sent = self._sent.get(server.key)
        if sent is None:
            return self.quota(server, spec, now_ms) > 0
        while sent and sent[0] <= now_ms - WINDOW_MS:
            sent.popleft()
        return len(sent) < self.quota(server, spec, now_ms)

    def record_sent(self, server: BackendServer, now_ms: float) -> None:
        """Count a request that was sent to a cold server."""
        self._sent.setdefault(server.key, deque()).append(now_ms)
