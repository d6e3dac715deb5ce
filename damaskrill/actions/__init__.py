"""Actions that may not be repeated."""

from damaskrill.actions._pass_through import PassThroughActions

__all__ = ["PassThroughActions"]
