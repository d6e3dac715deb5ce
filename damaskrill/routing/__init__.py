"""Routing decisions of the entry router: server selection, retries and outcomes."""

from damaskrill.routing._entry import EntryDecider

__all__ = ["EntryDecider"]
