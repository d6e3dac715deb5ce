"""Picks the backend server for a request."""

from collections.abc import Sequence
from random import Random

from attrs import frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering._loads import ServerLoads
from damaskrill.utils import rank_by_rendezvous

__all__ = ["Candidate", "Placer", "ServerWish"]

# An engine takes a request for its prompt cache up to this multiple of the mean load.
MAX_LOAD_MULTIPLE = 1.8
# Requests above the multiple that are always borne, so that few requests do not
# scatter. The rule that limits uneven loads has the same addend.
LOAD_ADDEND = 3.0
# Part of a plain server's slots up to which one of the own data centre goes first.
NEAR_PART = 0.5


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
class ServerWish:
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


class Placer:
    """Ranks candidates.

    Parameters
    ----------
    loads : ServerLoads
        Requests at each server.
    own_data_centre : str
        Where this router runs.
    random_state : Random
        Chooses between equals.

    Notes
    -----
    Engines: requests that share a prompt prefix meet the same engine, which has it
    cached, in rendezvous order; a prefix that is asked for so often that the engine
    would pass the bound goes to the next one. Plain servers: the least loaded, in
    the own data centre first while half of its slots are free.
    """

    def __init__(
        self, *, loads: ServerLoads, own_data_centre: str, random_state: Random
    ) -> None:
        self._loads = loads
        self._own_data_centre = own_data_centre
        self._random = random_state

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        affinity_keys: tuple[str, ...],
        now_ms: float,
    ) -> BackendServer | None:
        """Return the best candidate; None if there is none."""
        preferred = [each.server for each in candidates if each.is_preferred]
        servers = preferred or [each.server for each in candidates]
        if not servers:
            return None
        if affinity_keys:
            return self._choose_engine(servers, affinity_keys, now_ms)
        return self._choose_plain(servers, now_ms)

    def _choose_engine(
        self,
        servers: Sequence[BackendServer],
        affinity_keys: tuple[str, ...],
        now_ms: float,
    ) -> BackendServer:
        by_id = {each.server_id: each for each in servers}
        loads = {
            each.server_id: self._loads.estimate(each.key, now_ms) for each in servers
        }
        mean = (sum(loads.values()) + 1) / len(servers)
        bound = MAX_LOAD_MULTIPLE * mean + LOAD_ADDEND
        for server_id in rank_by_rendezvous(affinity_keys[-1], by_id):
            if loads[server_id] + 1 <= bound:
                return by_id[server_id]
        return by_id[min(loads, key=lambda each: loads[each])]

    def _choose_plain(
        self, servers: Sequence[BackendServer], now_ms: float
    ) -> BackendServer:
        def cost(server: BackendServer) -> tuple[float, float]:
            part = self._loads.estimate(server.key, now_ms) / max(1, server.n_slots)
            is_near = server.data_centre == self._own_data_centre
            if is_near and part < NEAR_PART:
                return (0.0, part)
            return (max(part, NEAR_PART / 2), self._random.random())

        return min(servers, key=cost)
