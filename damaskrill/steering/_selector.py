"""Selection of the backend server for a request."""

from collections.abc import Callable, Sequence
from random import Random

from attrs import frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering._engine_choice import EngineChoice, EngineFigures
from damaskrill.steering._failure_shares import FailureShares
from damaskrill.steering._hot_keys import HotKeys
from damaskrill.steering._load_bounds import DIRECT_BOUNDS, LoadBounds
from damaskrill.steering._loads import ServerLoads
from damaskrill.steering._metadata import PromptPart
from damaskrill.steering._uneven_choice import ServerEstimate, UnevenChoice
from damaskrill.utils import rank_by_rendezvous

__all__ = ["Candidate", "ServerRequirements", "ServerSelector"]

# Utilization of a plain server's slots below which the local data centre is preferred.
LOCAL_UTILIZATION = 0.5


@frozen(kw_only=True)
class Candidate:
    """A server to which a request may be sent.

    Parameters
    ----------
    server : BackendServer
        The server.
    is_preferred : bool
        False for a server that is used only if no other is available.
    """

    server: BackendServer
    is_preferred: bool = True


@frozen(kw_only=True)
class ServerRequirements:
    """Requirements of a request on its server.

    Parameters
    ----------
    service : str
        Service that runs the request.
    affinity_keys : tuple of str
        Shared parts of its prompt; empty if it has none.
    route_regions, team_regions : frozenset of str or None
        Regions to which the route and the team are restricted; None if unrestricted.
    origin : int or None
        Origin of the stream that goes on; None if it has not begun.
    is_last : bool
        Whether no other server may follow if the next one fails.
    prompt : tuple of PromptPart
        Parts of its prompt; empty if it has none.
    n_output_tokens : int
        Tokens of output to expect.
    """

    service: str
    affinity_keys: tuple[str, ...] = ()
    route_regions: frozenset[str] | None = None
    team_regions: frozenset[str] | None = None
    origin: int | None = None
    is_last: bool = False
    prompt: tuple[PromptPart, ...] = ()
    n_output_tokens: int = 0

    @property
    def n_tokens(self) -> int:
        """Tokens of its prompt and of the output to expect."""
        return sum(part.n_tokens for part in self.prompt) + self.n_output_tokens

    @property
    def is_restricted(self) -> bool:
        """Whether servers of some region may not run it."""
        return self.route_regions is not None or self.team_regions is not None


class ServerSelector:
    """Selects a server among candidates.

    Parameters
    ----------
    loads : ServerLoads
        Number of requests at each server.
    own_data_centre : str
        Data centre of this router.
    random_state : Random
        Source of randomness for ties.
    hot_keys : HotKeys, default=None
        Request counts that detect keys which need more than one engine.
    failures : FailureShares, default=None
        Share of its requests that each server fails.

    Notes
    -----
    Engines: requests that share a prompt prefix are sent to the same engine, which has
    it cached. Engines that have processed the prefix rank before the others, and both
    groups are in rendezvous order, so that a prefix does not move when engines join. A
    prefix that would load one engine beyond its bound is spread over the first engines.

    Plain servers: the least loaded server is selected. Servers of the local data centre
    are preferred while more than half of their slots are free. Where servers state how
    long work takes there now, the choice is that of `UnevenChoice`.
    """

    def __init__(
        self,
        *,
        loads: ServerLoads,
        own_data_centre: str,
        random_state: Random,
        hot_keys: HotKeys | None = None,
        failures: FailureShares | None = None,
    ) -> None:
        self._loads = loads
        self._hot_keys = hot_keys or HotKeys()
        self._own_data_centre = own_data_centre
        self._random = random_state
        self._uneven = UnevenChoice(
            loads=loads,
            speeds=loads.speeds,
            failures=failures or FailureShares(),
            own_data_centre=own_data_centre,
            random_state=random_state,
        )
        self._engine_choice = EngineChoice(
            own_data_centre=own_data_centre, random_state=random_state
        )

    def take_passed_over(self) -> list[ServerEstimate]:
        """Return plain servers that were passed over since the last call."""
        return self._uneven.take_passed_over()

    def select(
        self,
        candidates: Sequence[Candidate],
        *,
        affinity_keys: tuple[str, ...],
        now_ms: float,
        all_servers: Sequence[BackendServer] = (),
        bounds: LoadBounds = DIRECT_BOUNDS,
        has_prefix: Callable[[BackendServer], bool] | None = None,
        is_engine: bool = False,
        n_routers: int = 1,
        is_last: bool = False,
        figures: EngineFigures | None = None,
    ) -> BackendServer | None:
        """Return the best candidate; None if there is none.

        Parameters
        ----------
        candidates : sequence of Candidate
            Servers to which the request may be sent.
        affinity_keys : tuple of str
            Shared parts of its prompt; empty if it has none.
        now_ms : float
            Current time in milliseconds.
        all_servers : sequence of BackendServer
            All servers of the service, including those that may get no requests. The
            service-wide mean load, which bounds the load of an engine, is taken over
            them.
        bounds : LoadBounds
            Bounds on the load of an engine.
        has_prefix : callable, default=None
            Returns whether an engine has processed the last shared part.
        is_engine : bool, default=False
            Whether the servers are engines, at which requests take seconds, so that how
            long work takes at this moment says little.
        n_routers : int, default=1
            Number of live routers.
        is_last : bool, default=False
            Whether no other server may follow if this one fails.
        figures : EngineFigures, default=None
            Speed and room of the engines; None for engines that do not state them.
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
                has_prefix,
                figures,
            )
        if not is_engine and self._uneven.is_needed(servers):
            return self._uneven.choose(
                servers,
                now_ms,
                all_servers=all_servers,
                n_routers=n_routers,
                is_last=is_last,
            )
        return self._select_plain(servers, now_ms)

    def _select_engine(
        self,
        servers: Sequence[BackendServer],
        affinity_keys: tuple[str, ...],
        now_ms: float,
        all_servers: Sequence[BackendServer],
        bounds: LoadBounds,
        has_prefix: Callable[[BackendServer], bool] | None,
        figures: EngineFigures | None,
    ) -> BackendServer:
        by_id = {each.server_id: each for each in servers}
        estimate = self._loads.estimate
        all_loads = {each.server_id: estimate(each.key, now_ms) for each in all_servers}
        loads = {each.server_id: all_loads[each.server_id] for each in servers}
        mean = (sum(loads.values()) + 1) / len(servers)
        service_mean = (sum(all_loads.values()) + 1) / len(all_servers)
        bound = bounds.addend + min(
            bounds.multiple * mean, bounds.service_multiple * service_mean
        )
        key = affinity_keys[-1]
        self._hot_keys.record_request(key, now_ms)
        n_primary = self._hot_keys.n_engines(
            key, n_all=len(servers), mean_load=mean, bounds=bounds, now_ms=now_ms
        )
        order = rank_by_rendezvous(key, by_id)
        if figures is not None:
            return self._engine_choice.choose(
                [by_id[each] for each in order],
                figures=figures,
                loads=loads,
                bound=bound,
                bounds=bounds,
                n_primary=n_primary,
                has_prefix=has_prefix or (lambda _: False),
            )
        if has_prefix is not None:
            order.sort(key=lambda each: not has_prefix(by_id[each]))
        primary, others = order[:n_primary], order[n_primary:]
        # The less loaded of two random engines is tried first (power of two choices),
        # as loads are reported with a delay.
        self._random.shuffle(primary)
        primary[:2] = sorted(primary[:2], key=lambda each: loads[each])
        for server_id in primary + others:
            if loads[server_id] + 1 <= bound:
                return by_id[server_id]
        return by_id[min(loads, key=lambda each: loads[each])]

    def _select_plain(
        self, servers: Sequence[BackendServer], now_ms: float
    ) -> BackendServer:
        def cost(server: BackendServer) -> tuple[float, float]:
            utilization = self._loads.estimate(server.key, now_ms) / max(
                1, server.n_slots
            )
            is_local = server.data_centre == self._own_data_centre
            if is_local and utilization < LOCAL_UTILIZATION:
                return (0.0, utilization)
            return (max(utilization, LOCAL_UTILIZATION / 2), self._random.random())

        return min(servers, key=cost)
