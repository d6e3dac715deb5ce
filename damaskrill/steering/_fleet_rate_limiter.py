"""Fleet-wide limits on the rate of requests to a server."""

from collections import deque

from damaskrill.steering._fleet_size import DISCOVERY_MS
from damaskrill.steering._rate_limits import RateLimit
from damaskrill.utils import rank_by_rendezvous

__all__ = ["FleetRateLimiter"]

ServerKey = tuple[str, int]
# Longer than any window of a limit.
RETENTION_MS = 60_000
# Number of routers that is assumed until the others are discovered.
MIN_ASSUMED_ROUTERS = 12
# When a router without a share may expect a place at another one, as a fraction of the
# window: each share that is used up becomes available again within the window.
ELSEWHERE_FRACTION = 0.5


class FleetRateLimiter:
    """Divides limits on the requests to a server among the routers.

    Parameters
    ----------
    own_address : str
        This router's address among the members.
    started_at_ms : float
        When this router started, in milliseconds.
    has_predecessor : bool, default=True
        Whether another process of this router may just have ended.

    Notes
    -----
    Handles servers that take only a few requests a second from the whole fleet, such as
    one that returns with cold caches while all routers have requests waiting for it.
    Every router gets an equal share of the limit, and the routers that rank first for
    the server get the requests that are left over, as far as they fall to the routers
    that are known: those that are gone may be cut off, and send on the other side.

    A router has no share of some limits in the first window after its start, as its
    former process may have used it up.
    """

    def __init__(
        self, *, own_address: str, started_at_ms: float, has_predecessor: bool = True
    ) -> None:
        self._own_address = own_address
        self._started_at_ms = started_at_ms
        self._has_predecessor = has_predecessor
        self._members: frozenset[str] = frozenset({own_address})
        self._max_members = 1
        self._n_known = 0
        # Routers in the order in which they may send to a server.
        self._rankings: dict[str, list[str]] = {}
        self._sent: dict[ServerKey, deque[float]] = {}

    def set_members(self, members: frozenset[str], *, n_known: int = 0) -> None:
        """Set the routers that are alive, including this one.

        Parameters
        ----------
        members : frozenset of str
            Their addresses.
        n_known : int, default=0
            Number of routers among which limits are divided at least.
        """
        if members != self._members:
            self._members = members
            self._rankings.clear()
        self._max_members = max(self._max_members, len(members))
        self._n_known = n_known

    def quota(self, key: ServerKey, limit: RateLimit, now_ms: float) -> int:
        """Return how many requests this router may send in a window of the limit."""
        age_ms = now_ms - self._started_at_ms
        is_new = self._has_predecessor and age_ms < limit.window_ms
        if is_new and limit.holds_across_restarts:
            return 0
        n_routers = max(self._max_members, self._n_known)
        is_discovering = age_ms < DISCOVERY_MS
        if is_discovering:
            n_routers = max(n_routers, MIN_ASSUMED_ROUTERS)
        share, n_left = divmod(limit.n_requests, n_routers)
        if is_discovering:
            return share
        # Those that are not known may be alive, and know as little of these.
        n_places = n_left * len(self._members) // n_routers
        return share + (self._own_address in self._rank(key[0])[:n_places])

    def wait_ms(self, key: ServerKey, limit: RateLimit, now_ms: float) -> float:
        """Return the time until another request may be sent, in milliseconds.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        limit : RateLimit
            Limit on its requests.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        float
            0 if a request may be sent now. For a router without a share, the time after
            which another router is expected to have a place.
        """
        quota = self.quota(key, limit, now_ms)
        if quota == 0:
            return ELSEWHERE_FRACTION * limit.window_ms
        sent = self._sent.get(key, ())
        if len(sent) < quota:
            return 0.0
        return max(0.0, sent[-quota] + limit.window_ms - now_ms)

    def acquire(self, key: ServerKey, now_ms: float) -> None:
        """Count a request to a limited server."""
        sent = self._sent.setdefault(key, deque())
        while sent and sent[0] <= now_ms - RETENTION_MS:
            sent.popleft()
        sent.append(now_ms)

    def release(self, key: ServerKey, acquired_at_ms: float) -> None:
        """Remove a request that was not sent from the count."""
        sent = self._sent.get(key)
        if sent is not None and acquired_at_ms in sent:
            sent.remove(acquired_at_ms)

    def retain_only(self, keys: set[ServerKey], now_ms: float) -> None:
        """Discard the counts of all other incarnations that got no requests lately.

        Notes
        -----
        An entry may lapse for a moment; the server has got what was sent before.
        """
        for key in self._sent.keys() - keys:
            sent = self._sent[key]
            if not sent or sent[-1] <= now_ms - RETENTION_MS:
                del self._sent[key]

    def _rank(self, server_id: str) -> list[str]:
        ranked = self._rankings.get(server_id)
        if ranked is None:
            ranked = rank_by_rendezvous(server_id, self._members)
            self._rankings[server_id] = ranked
        return ranked
