"""Placement policies, which rank the backend servers for a request."""

from damaskrill.placement._affinity import AffinityPlacement
from damaskrill.placement._base import BasePlacementPolicy
from damaskrill.placement._baselines import (
    LeastLoadPlacement,
    RandomPlacement,
    TwoChoicesPlacement,
)
from damaskrill.placement._rendezvous import RendezvousPlacement

__all__ = [
    "AffinityPlacement",
    "BasePlacementPolicy",
    "LeastLoadPlacement",
    "RandomPlacement",
    "RendezvousPlacement",
    "TwoChoicesPlacement",
]
