"""How a text reaches every router and stays in force."""

from damaskrill.propagation._replica import TextReplica

__all__ = ["TextReplica"]
