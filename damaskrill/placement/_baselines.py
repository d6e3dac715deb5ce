"""Baseline policies for comparison with the default placement."""

from damaskrill.kernel._registry import registry
from damaskrill.messages import FleetView, Request
from damaskrill.placement._base import BasePlacementPolicy
from damaskrill.utils import check_random_state

__all__ = ["LeastLoadPlacement", "RandomPlacement", "TwoChoicesPlacement"]


@registry.register("placement", "random")
class RandomPlacement(BasePlacementPolicy):
    """Rank servers in uniformly random order.

    Parameters
    ----------
    random_state : int
        Seed.
    """

    def __init__(self, *, random_state: int = 0) -> None:
        self.random_state = random_state
        self._random = check_random_state(random_state)

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Shuffle the candidates."""
        names = [each.name for each in view.servers_by_service.get(request.service, ())]
        self._random.shuffle(names)
        return names


@registry.register("placement", "least_load")
class LeastLoadPlacement(BasePlacementPolicy):
    """Rank servers by their last observed load, lowest first.

    Parameters
    ----------
    random_state : int
        Seed for breaking ties.
    """

    def __init__(self, *, random_state: int = 0) -> None:
        self.random_state = random_state
        self._random = check_random_state(random_state)
        self._loads: dict[str, int] = {}

    def observe_load(self, backend_server: str, load: int) -> None:
        """Store an observed load."""
        self._loads[backend_server] = load

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Rank the candidates by load."""
        names = [each.name for each in view.servers_by_service.get(request.service, ())]
        self._random.shuffle(names)
        return sorted(names, key=lambda name: self._loads.get(name, 0))


@registry.register("placement", "two_choices")
class TwoChoicesPlacement(LeastLoadPlacement):
    """Pick the less loaded of two random servers first."""

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Shuffle the candidates and sort the first two by load."""
        names = [each.name for each in view.servers_by_service.get(request.service, ())]
        self._random.shuffle(names)
        first_two = sorted(names[:2], key=lambda name: self._loads.get(name, 0))
        return first_two + names[2:]
