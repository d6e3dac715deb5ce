"""Mean loads of services over the fleet."""

from damaskrill.loads._decider import LoadMeans

__all__ = ["LoadMeans"]
