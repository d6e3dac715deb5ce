"""Policies that the product is measured against."""

from damaskrill.kernel._registry import registry
from damaskrill.messages import FleetView, Request
from damaskrill.placement._base import BasePlacementPolicy
from damaskrill.utils import check_random_state

__all__ = ["LeastLoadPlacement", "RandomPlacement", "TwoChoicesPlacement"]


@registry.register("placement", "random")
class RandomPlacement(BasePlacementPolicy):
    """Every order is as likely as any other.

    Parameters
    ----------
    random_state : int
        Seed.
    """

    def __init__(self, *, random_state: int = 0) -> None:
        self.random_state = random_state
        self._random = check_random_state(random_state)

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Order the candidates at random."""
        names = [each.name for each in view.servers_by_service.get(request.service, ())]
        self._random.shuffle(names)
        return names


@registry.register("placement", "least_load")
class LeastLoadPlacement(BasePlacementPolicy):
    """The server with the least load that was last seen comes first.

    Parameters
    ----------
    random_state : int
        Seed of the choice between equal ones.
    """

    def __init__(self, *, random_state: int = 0) -> None:
        self.random_state = random_state
        self._random = check_random_state(random_state)
        self._loads: dict[str, int] = {}

    def observe_load(self, backend_server: str, load: int) -> None:
        """Take a load that was seen."""
        self._loads[backend_server] = load

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Order the candidates by load."""
        names = [each.name for each in view.servers_by_service.get(request.service, ())]
        self._random.shuffle(names)
        return sorted(names, key=lambda name: self._loads.get(name, 0))


@registry.register("placement", "two_choices")
class TwoChoicesPlacement(LeastLoadPlacement):
    """The less loaded of two random servers comes first."""

    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Order the candidates at random and swap the first two if need be."""
        names = [each.name for each in view.servers_by_service.get(request.service, ())]
        self._random.shuffle(names)
        first_two = sorted(names[:2], key=lambda name: self._loads.get(name, 0))
        return first_two + names[2:]
