"""Deduplication of attempts by the IDs that were offered or cancelled."""

from collections import OrderedDict

__all__ = ["SeenAttempts"]

MAX_ATTEMPTS = 16_384


class SeenAttempts:
    """Bounded set of attempt IDs that evicts the oldest ID first."""

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
