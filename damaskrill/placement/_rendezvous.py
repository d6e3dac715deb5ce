"""Baseline policy: rendezvous hashing of the affinity key."""

from damaskrill.kernel._registry import registry
from damaskrill.messages import FleetView, Request
from damaskrill.placement._base import BasePlacementPolicy
from damaskrill.utils import rank_by_rendezvous

__all__ = ["RendezvousPlacement"]


@registry.register("placement", "rendezvous")
class RendezvousPlacement(BasePlacementPolicy):
    """Rank servers by rendezvous hashing, regardless of load.

    Parameters
    ----------
    random_state : int
        Not used.
    """

    def __init__(self, *, random_state: int = 0) -> None:
        self.random_state = random_state

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Rank the candidates by rendezvous hashing."""
        servers = view.servers_by_service.get(request.service, ())
        return rank_by_rendezvous(request.affinity_key, (each.name for each in servers))
