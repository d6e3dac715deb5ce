"""Causes of outages, found in the declared dependency graph of services."""

from damaskrill.dependencies._graph import find_outage
from damaskrill.dependencies._outages import OutageTracker

__all__ = ["OutageTracker", "find_outage"]
