"""Default placement: rendezvous hashing of the affinity key, same region first."""

from collections import OrderedDict

from damaskrill.configuration import BackendServerSpec
from damaskrill.kernel._registry import registry
from damaskrill.messages import FleetView, Request
from damaskrill.placement._base import BasePlacementPolicy
from damaskrill.utils import hash_to_int

__all__ = ["AffinityPlacement"]

MAX_CHOICES = 8
MAX_CACHED_RANKINGS = 2_048
ODD_MULTIPLIER = 0x9E3779B97F4A7C15
INDEX_MASK = 0xFFFF
WEIGHT_MASK = 0xFFFF_FFFF_FFFF_0000


@registry.register("placement", "affinity")
class AffinityPlacement(BasePlacementPolicy):
    """Rank servers by affinity key, alike at every entry of a region.

    Parameters
    ----------
    random_state : int
        Not used.
    max_choices : int, default=8
        Maximum number of ranked servers.

    Notes
    -----
    The ranking must not depend on the data centre of the entry, because the load
    balancer routes the next request of a chat to any entry. Only servers in the
    entry's region are preferred; its data centres are less than a millisecond apart.
    When a server is added or removed, only the keys that map to it move.
    """

    has_affinity = True

    def __init__(
        self, *, random_state: int = 0, max_choices: int = MAX_CHOICES
    ) -> None:
        self.random_state = random_state
        self.max_choices = max_choices
        self._servers: dict[str, tuple[BackendServerSpec, ...]] = {}
        self._nodes: dict[str, tuple[_Nodes, _Nodes]] = {}
        self._rankings: OrderedDict[tuple[str, str], list[str]] = OrderedDict()

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Rank the candidates for a request."""
        service = request.service
        servers = view.servers_by_service.get(service, ())
        if self._servers.get(service) is not servers:
            self._apply_servers(service, servers, view)
        key = (service, request.affinity_key)
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._rankings[key] = self._compute_ranking(
                service, request.affinity_key
            )
            if len(self._rankings) > MAX_CACHED_RANKINGS:
                self._rankings.popitem(last=False)
        else:
            self._rankings.move_to_end(key)
        return list(ranking)

    def _apply_servers(
        self, service: str, servers: tuple[BackendServerSpec, ...], view: FleetView
    ) -> None:
        if self._servers.get(service) != servers:
            same = [each.name for each in servers if _is_same_region(each, view)]
            other = [each.name for each in servers if not _is_same_region(each, view)]
            self._nodes[service] = (_Nodes(same), _Nodes(other))
            for key in [key for key in self._rankings if key[0] == service]:
                del self._rankings[key]
        self._servers[service] = servers

    def _compute_ranking(self, service: str, affinity_key: str) -> list[str]:
        same_region, other_regions = self._nodes[service]
        key_hash = hash_to_int(affinity_key)
        ranking = same_region.rank(key_hash, self.max_choices)
        return ranking + other_regions.rank(key_hash, self.max_choices - len(ranking))


class _Nodes:
    """Server names with precomputed hashes, for fast ranking.

    Notes
    -----
    The weight of a node for a key is an odd constant times the exclusive or of both
    hashes, modulo 2**64. The low bits of the weight are replaced by the index of the
    node, so that plain integers can be sorted.
    """

    def __init__(self, names: list[str]) -> None:
        self._names = names
        self._hashes = [hash_to_int(name) for name in names]

    def rank(self, key_hash: int, n_best: int) -> list[str]:
        """Return the names with the highest weights for a key."""
        if n_best <= 0:
            return []
        weights = [
            ((key_hash ^ node) * ODD_MULTIPLIER & WEIGHT_MASK) + index
            for index, node in enumerate(self._hashes)
        ]
        weights.sort(reverse=True)
        return [self._names[each & INDEX_MASK] for each in weights[:n_best]]


def _is_same_region(server: BackendServerSpec, view: FleetView) -> bool:
    centres = view.text.data_centres
    own = centres.get(view.own.data_centre)
    target = centres.get(server.data_centre)
    if own is None or target is None:
        return True
    return own.region == target.region
