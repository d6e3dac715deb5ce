"""Attempt IDs that have been offered or cancelled, so that none is taken twice."""

from collections import OrderedDict

__all__ = ["SeenAttempts"]

MAX_ATTEMPTS = 16_384


class SeenAttempts:
    """Bounded set of attempt IDs; the oldest goes first."""

    def __init__(self) -> None:
        self._ids: OrderedDict[str, None] = OrderedDict()

    def add(self, attempt_id: str) -> bool:
        """Add an ID; return whether it is new."""
        if attempt_id in self._ids:
            return False
        self._ids[attempt_id] = None
        if len(self._ids) > MAX_ATTEMPTS:
            self._ids.popitem(last=False)
        return True
