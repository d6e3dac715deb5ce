"""Picks the backend server for a request."""

from collections.abc import Callable, Sequence
from random import Random

from attrs import frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering._hot_keys import HotKeys
from damaskrill.steering._load_bounds import DIRECT_BOUNDS, LoadBounds
from damaskrill.steering._loads import ServerLoads
from damaskrill.utils import rank_by_rendezvous

__all__ = ["Candidate", "ServerRequirements", "ServerSelector"]

# Part of a plain server's slots up to which one of the own data centre goes first.
LOCAL_UTILIZATION = 0.5


@frozen(kw_only=True)
class Candidate:
    """A server that a request may go to.

    Parameters
    ----------
    server : BackendServer
        The server.
    is_preferred : bool
        False for a server that is left out unless no other is there.
    """

    server: BackendServer
    is_preferred: bool = True


@frozen(kw_only=True)
class ServerRequirements:
    """What a request needs of a server.

    Parameters
    ----------
    service : str
        Service that runs it.
    affinity_keys : tuple of str
        Shared parts of its prompt; empty if it has none.
    route_regions, team_regions : frozenset of str
        Regions to which it is bound; empty if to none.
    """

    service: str
    affinity_keys: tuple[str, ...] = ()
    route_regions: frozenset[str] = frozenset()
    team_regions: frozenset[str] = frozenset()


class ServerSelector:
    """Ranks candidates.

    Parameters
    ----------
    loads : ServerLoads
        Requests at each server.
    own_data_centre : str
        Where this router runs.
    random_state : Random
        Chooses between equals.
    hot_keys : HotKeys, default=None
        Keys that one engine is too few for.

    Notes
    -----
    Engines: requests that share a prompt prefix meet the same engine, which has it
    cached: engines that have read it first, then the others, both in rendezvous order,
    so that a prefix stays where it is when engines come. A prefix that is asked for so
    often that one engine would pass the bound is spread over the first ones.

    Plain servers: the least loaded, in the own data centre first while half of its
    slots are free.
    """

    def __init__(
        self,
        *,
        loads: ServerLoads,
        own_data_centre: str,
        random_state: Random,
        hot_keys: HotKeys | None = None,
    ) -> None:
        self._loads = loads
        self._hot_keys = hot_keys or HotKeys()
        self._own_data_centre = own_data_centre
        self._random = random_state

    def select(
        self,
        candidates: Sequence[Candidate],
        *,
        affinity_keys: tuple[str, ...],
        now_ms: float,
        all_servers: Sequence[BackendServer] = (),
        bounds: LoadBounds = DIRECT_BOUNDS,
        has_prefix: Callable[[BackendServer], bool] | None = None,
    ) -> BackendServer | None:
        """Return the best candidate; None if there is none.

        Parameters
        ----------
        candidates : sequence of Candidate
            Servers that the request may go to.
        affinity_keys : tuple of str
            Shared parts of its prompt; empty if it has none.
        now_ms : float
            Present time in milliseconds.
        all_servers : sequence of BackendServer
            All servers of the service, those that may get nothing included: the mean
            load that bounds an engine's is taken over all of them.
        bounds : LoadBounds
            How unevenly engines may be loaded.
        has_prefix : callable, default=None
            Whether an engine has read the last of the shared parts.
        """
        preferred = [each.server for each in candidates if each.is_preferred]
        servers = preferred or [each.server for each in candidates]
        if not servers:
            return None
        if affinity_keys:
            return self._select_engine(
                servers,
                affinity_keys,
                now_ms,
                all_servers or servers,
                bounds,
                has_prefix or _has_no_prefix,
            )
        return self._select_plain(servers, now_ms)

    def _select_engine(
        self,
        servers: Sequence[BackendServer],
        affinity_keys: tuple[str, ...],
        now_ms: float,
        all_servers: Sequence[BackendServer],
        bounds: LoadBounds,
        has_prefix: Callable[[BackendServer], bool],
    ) -> BackendServer:
        by_id = {each.server_id: each for each in servers}
        loads = {
            each.server_id: self._loads.estimate(each.key, now_ms) for each in servers
        }
        mean = (sum(loads.values()) + 1) / len(servers)
        total = sum(self._loads.estimate(e.key, now_ms) for e in all_servers)
        service_mean = (total + 1) / len(all_servers)
        bound = bounds.addend + min(
            bounds.multiple * mean, bounds.service_multiple * service_mean
        )
        key = affinity_keys[-1]
        self._hot_keys.record_request(key, now_ms)
        n_homes = self._hot_keys.n_engines(
            key, n_all=len(servers), mean_load=mean, bounds=bounds, now_ms=now_ms
        )
        order = rank_by_rendezvous(key, by_id)
        order.sort(key=lambda each: not has_prefix(by_id[each]))
        homes, others = order[:n_homes], order[n_homes:]
        # The less loaded of two random homes, as their loads are known late.
        self._random.shuffle(homes)
        homes[:2] = sorted(homes[:2], key=lambda each: loads[each])
        for server_id in homes + others:
            if loads[server_id] + 1 <= bound:
                return by_id[server_id]
        return by_id[min(loads, key=lambda each: loads[each])]

    def _select_plain(
        self, servers: Sequence[BackendServer], now_ms: float
    ) -> BackendServer:
        def cost(server: BackendServer) -> tuple[float, float]:
            part = self._loads.estimate(server.key, now_ms) / max(1, server.n_slots)
            is_near = server.data_centre == self._own_data_centre
            if is_near and part < LOCAL_UTILIZATION:
                return (0.0, part)
            return (max(part, LOCAL_UTILIZATION / 2), self._random.random())

        return min(servers, key=cost)


def _has_no_prefix(server: BackendServer) -> bool:
    return False
