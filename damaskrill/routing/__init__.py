"""Entry's decisions: where a request goes and how it ends."""

from damaskrill.routing._entry import EntryDecider

__all__ = ["EntryDecider"]
