"""Graceful stop of a router."""

from damaskrill.stopping._decider import GracefulStop

__all__ = ["GracefulStop"]
