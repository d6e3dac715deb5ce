"""Mean load of each service, from the fleet's sums and the own servers."""

from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from damaskrill.messages import MeanLoadKnown, OwnedLoad

__all__ = ["LoadSum", "MeanLoads"]

FLEET_SUM_VALID_MS = 5_000
FLEET_SUM_FRESH_MS = 2_500
MIN_EMIT_INTERVAL_MS = 100
MAX_EMIT_INTERVAL_MS = 1_000
# Bounds the control traffic of a router with servers of many services.
EMIT_INTERVAL_MS_PER_SERVICE = 50
# Age that the sums of the other routers commonly have.
LAG_MS = 100
DROP_WINDOW_MS = 300
# Time in which a server whose owner has failed finds another owner.
TAKEOVER_MS = 5_000


@frozen(kw_only=True)
class LoadSum:
    """Sum of loads and the number of servers that it is over."""

    load_sum: int = 0
    n_servers: int = 0


@define(kw_only=True)
class _ServiceMeans:
    remote: LoadSum = LoadSum()
    received_at_ms: int = -FLEET_SUM_VALID_MS
    history: deque[tuple[int, int]] = field(factory=deque)
    drops: deque[tuple[int, int]] = field(factory=deque)
    emitted: LoadSum = LoadSum()
    emitted_at_ms: int = -MAX_EMIT_INTERVAL_MS
    n_servers_seen: int = 0
    n_servers_seen_at_ms: int = 0


class MeanLoads:
    """What is known of the load of each service's servers, own and others'.

    Notes
    -----
    The fleet's sum is some hundred milliseconds old. The part of it that this
    router reported itself is replaced by its present sum, so that only the loads
    elsewhere lag. They may have fallen since; the largest fall of the last seconds
    is taken off, so that the mean is rather too low than too high.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceMeans] = {}

    def handle_mean_load(self, known: MeanLoadKnown, now_ms: int) -> None:
        """Take the fleet's sum for a service."""
        state = self._services.setdefault(known.service, _ServiceMeans())
        state.remote = LoadSum(
            load_sum=max(0, known.load_sum - state.emitted.load_sum),
            n_servers=max(0, known.n_servers - state.emitted.n_servers),
        )
        state.received_at_ms = now_ms
        _record_drop(state, now_ms)

    def combine(
        self, service: str, own: LoadSum, n_in_service: int, now_ms: int
    ) -> LoadSum:
        """Return the sum over all servers of a service.

        Parameters
        ----------
        service : str
            The service.
        own : LoadSum
            Present loads of the servers that this router owns.
        n_in_service : int
            Servers that may receive new work.
        now_ms : int
            Present time in milliseconds.

        Notes
        -----
        A server that no router tells of any more still counts, without load, for
        as long as it may be between two owners. After that it is taken for failed;
        to count it longer would lower the bound of the others step by step.
        """
        known = self._current_sum(service, own, now_ms)
        state = self._services.setdefault(service, _ServiceMeans())
        is_old = now_ms - state.n_servers_seen_at_ms > TAKEOVER_MS
        if known.n_servers >= state.n_servers_seen or is_old:
            state.n_servers_seen = known.n_servers
            state.n_servers_seen_at_ms = now_ms
        n_servers = min(state.n_servers_seen, n_in_service)
        return LoadSum(
            load_sum=known.load_sum, n_servers=max(known.n_servers, n_servers)
        )

    def _current_sum(self, service: str, own: LoadSum, now_ms: int) -> LoadSum:
        state = self._services.get(service)
        if state is None or now_ms - state.received_at_ms > FLEET_SUM_VALID_MS:
            return own
        drop = max((each for _, each in state.drops), default=0)
        is_fresh = now_ms - state.received_at_ms <= FLEET_SUM_FRESH_MS
        remote = max(0, state.remote.load_sum - drop) if is_fresh else 0
        return LoadSum(
            load_sum=own.load_sum + remote,
            n_servers=own.n_servers + state.remote.n_servers,
        )

    def services_to_publish(self, owned: Iterable[str]) -> list[str]:
        """Return the owned services, and those whose last servers were lost."""
        names = list(owned)
        for name, state in self._services.items():
            if state.emitted.n_servers and name not in names:
                names.append(name)
        return names

    def emit(self, service: str, own: LoadSum, now_ms: int) -> OwnedLoad | None:
        """Return what the fleet is to be told, if it is due.

        Notes
        -----
        It is due once a second, and soon after a change: others need a fall of the
        load as fast as they can have it.
        """
        state = self._services.setdefault(service, _ServiceMeans())
        age_ms = now_ms - state.emitted_at_ms
        interval_ms = EMIT_INTERVAL_MS_PER_SERVICE * len(self._services)
        if age_ms < max(MIN_EMIT_INTERVAL_MS, interval_ms):
            return None
        if age_ms < MAX_EMIT_INTERVAL_MS and own == state.emitted:
            return None
        state.emitted = own
        state.emitted_at_ms = now_ms
        return OwnedLoad(
            service=service, load_sum=own.load_sum, n_servers=own.n_servers
        )


def _record_drop(state: _ServiceMeans, now_ms: int) -> None:
    """Remember by how much the loads elsewhere fell within the common lag."""
    load_sum = state.remote.load_sum
    while state.history and state.history[0][0] < now_ms - LAG_MS:
        state.history.popleft()
    while state.drops and state.drops[0][0] < now_ms - DROP_WINDOW_MS:
        state.drops.popleft()
    highest = max((each for _, each in state.history), default=0)
    state.history.append((now_ms, load_sum))
    if highest > load_sum:
        state.drops.append((now_ms, highest - load_sum))
