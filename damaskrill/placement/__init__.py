"""Placement policies: which backend server a request should meet."""

from damaskrill.placement._base import BasePlacementPolicy
from damaskrill.placement._rendezvous import RendezvousPlacement

__all__ = ["BasePlacementPolicy", "RendezvousPlacement"]
