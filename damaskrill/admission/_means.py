"""Mean load of each service, from the sums of the fleet and of the owned servers."""

from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from damaskrill.messages import MeanLoadKnown, OwnedLoad

__all__ = ["LoadSum", "MeanLoads"]

FLEET_SUM_VALID_MS = 5_000
FLEET_SUM_FRESH_MS = 2_500
MIN_PUBLISH_INTERVAL_MS = 100
MAX_PUBLISH_INTERVAL_MS = 1_000
# Bounds the control traffic of a router with servers of many services.
PUBLISH_INTERVAL_MS_PER_SERVICE = 50
# Typical age of the sums of the other routers.
LAG_MS = 100
DROP_WINDOW_MS = 300
# Time in which a server whose owner has failed gets another owner.
TAKEOVER_MS = 5_000


@frozen(kw_only=True)
class LoadSum:
    """Sum of loads and the number of servers in the sum."""

    load_sum: int = 0
    n_servers: int = 0


@define(kw_only=True)
class _ServiceMeans:
    remote: LoadSum = LoadSum()
    received_at_ms: int = -FLEET_SUM_VALID_MS
    history: deque[tuple[int, int]] = field(factory=deque)
    drops: deque[tuple[int, int]] = field(factory=deque)
    published: LoadSum = LoadSum()
    published_at_ms: int = -MAX_PUBLISH_INTERVAL_MS
    n_servers_seen: int = 0
    n_servers_seen_at_ms: int = 0


class MeanLoads:
    """Estimate the load sum of each service over all of its servers.

    Notes
    -----
    The sum of the fleet is some hundred milliseconds old. The part that this router
    published itself is replaced by its current sum, so that only the remote loads
    lag. Remote loads may have fallen since; the largest drop within ``DROP_WINDOW_MS``
    is subtracted, so that the mean is underestimated rather than overestimated.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceMeans] = {}

    def handle_mean_load(self, mean_load: MeanLoadKnown, now_ms: int) -> None:
        """Handle the load sum of a service over the fleet."""
        state = self._services.setdefault(mean_load.service, _ServiceMeans())
        state.remote = LoadSum(
            load_sum=max(0, mean_load.load_sum - state.published.load_sum),
            n_servers=max(0, mean_load.n_servers - state.published.n_servers),
        )
        state.received_at_ms = now_ms
        _record_drop(state, now_ms)

    def combine(
        self, service: str, owned_sum: LoadSum, n_in_service: int, now_ms: int
    ) -> LoadSum:
        """Return the sum over all servers of a service.

        Parameters
        ----------
        service : str
            The service.
        owned_sum : LoadSum
            Current load sum of the servers that this router owns.
        n_in_service : int
            Number of servers that may receive new work.
        now_ms : int
            Current time in milliseconds.

        Notes
        -----
        A server that no router reports any more still counts, without load, for
        ``TAKEOVER_MS``, because it may be changing owners. After that it is assumed to
        have failed; counting it longer would lower the bound of the other servers
        step by step.
        """
        total = self._current_sum(service, owned_sum, now_ms)
        state = self._services.setdefault(service, _ServiceMeans())
        is_expired = now_ms - state.n_servers_seen_at_ms > TAKEOVER_MS
        if total.n_servers >= state.n_servers_seen or is_expired:
            state.n_servers_seen = total.n_servers
            state.n_servers_seen_at_ms = now_ms
        n_servers = min(state.n_servers_seen, n_in_service)
        return LoadSum(
            load_sum=total.load_sum, n_servers=max(total.n_servers, n_servers)
        )

    def _current_sum(self, service: str, owned_sum: LoadSum, now_ms: int) -> LoadSum:
        state = self._services.get(service)
        if state is None or now_ms - state.received_at_ms > FLEET_SUM_VALID_MS:
            return owned_sum
        drop = max((each for _, each in state.drops), default=0)
        is_fresh = now_ms - state.received_at_ms <= FLEET_SUM_FRESH_MS
        remote = max(0, state.remote.load_sum - drop) if is_fresh else 0
        return LoadSum(
            load_sum=owned_sum.load_sum + remote,
            n_servers=owned_sum.n_servers + state.remote.n_servers,
        )

    def services_to_publish(self, owned: Iterable[str]) -> list[str]:
        """Return the owned services, and those whose last owned server was lost."""
        names = list(owned)
        for name, state in self._services.items():
            if state.published.n_servers and name not in names:
                names.append(name)
        return names

    def next_update(
        self, service: str, owned_sum: LoadSum, now_ms: int
    ) -> OwnedLoad | None:
        """Return the load of a service to publish, or None if no update is due.

        Notes
        -----
        An update is due once a second, and soon after a change, because the bounds of
        other routers should follow a drop of the load without delay.
        """
        state = self._services.setdefault(service, _ServiceMeans())
        age_ms = now_ms - state.published_at_ms
        interval_ms = PUBLISH_INTERVAL_MS_PER_SERVICE * len(self._services)
        if age_ms < max(MIN_PUBLISH_INTERVAL_MS, interval_ms):
            return None
        if age_ms < MAX_PUBLISH_INTERVAL_MS and owned_sum == state.published:
            return None
        state.published = owned_sum
        state.published_at_ms = now_ms
        return OwnedLoad(
            service=service, load_sum=owned_sum.load_sum, n_servers=owned_sum.n_servers
        )


def _record_drop(state: _ServiceMeans, now_ms: int) -> None:
    """Record by how much the remote load fell within ``LAG_MS``."""
    load_sum = state.remote.load_sum
    while state.history and state.history[0][0] < now_ms - LAG_MS:
        state.history.popleft()
    while state.drops and state.drops[0][0] < now_ms - DROP_WINDOW_MS:
        state.drops.popleft()
    highest = max((each for _, each in state.history), default=0)
    state.history.append((now_ms, load_sum))
    if highest > load_sum:
        state.drops.append((now_ms, highest - load_sum))
