"""How a text reaches every router and stays in force."""

from damaskrill.propagation._decider import TextPropagation
from damaskrill.propagation._store import TextStore

__all__ = ["TextPropagation", "TextStore"]
