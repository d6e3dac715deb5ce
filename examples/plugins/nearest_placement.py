"""Placement policy that prefers servers of the local data centre."""

from damaskrill.kernel import registry
from damaskrill.messages import FleetView, Request
from damaskrill.placement import BasePlacementPolicy
from damaskrill.utils import rank_by_rendezvous

__all__ = ["NearestPlacement"]


@registry.register("placement", "nearest")
class NearestPlacement(BasePlacementPolicy):
    """Policy that ranks local servers first, each group by rendezvous hashing.

    Parameters
    ----------
    random_state : int
        Unused; the registry passes it to every policy.
    """

    def __init__(self, *, random_state: int = 0) -> None:
        self.random_state = random_state

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Return the names of all candidates, best first."""
        servers = view.servers_by_service.get(request.service, ())
        local = [each for each in servers if each.data_centre == view.own.data_centre]
        remote = [each for each in servers if each.data_centre != view.own.data_centre]
        return [
            name
            for group in (local, remote)
            for name in rank_by_rendezvous(
                request.affinity_key, (each.name for each in group)
            )
        ]
