"""Demonstration of a small fleet on loopback."""

from damaskrill.demo._client import Reply, call_router
from damaskrill.demo._fleet import LoopbackFleet
from damaskrill.demo._scenario import run_demo

__all__ = ["LoopbackFleet", "Reply", "call_router", "run_demo"]
