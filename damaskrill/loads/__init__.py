"""Mean loads of services over the whole fleet."""

from damaskrill.loads._decider import LoadMeans

__all__ = ["LoadMeans"]
