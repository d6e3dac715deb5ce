"""Distribution of the operators' text to every router."""

from damaskrill.propagation._decider import TextPropagation
from damaskrill.propagation._store import TextStore

__all__ = ["TextPropagation", "TextStore"]
