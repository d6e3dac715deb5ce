"""Keys in the order of their latest updates."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

__all__ = ["LatestOrder"]

K = TypeVar("K", bound=Hashable)


class LatestOrder(Generic[K]):
    """Keys in the order of their latest updates, each with a sequence number.

    Notes
    -----
    A receiver that remembers the last number it has seen gets each key that has been
    updated since once, however often it was updated.
    """

    def __init__(self) -> None:
        self._numbers: dict[K, int] = {}
        self._last_number = 0

    @property
    def last_number(self) -> int:
        """Sequence number of the newest update; 0 before the first one."""
        return self._last_number

    def update(self, key: K) -> None:
        """Record an update of a key."""
        self._numbers.pop(key, None)
        self._last_number += 1
        self._numbers[key] = self._last_number

    def discard(self, key: K) -> None:
        """Remove a key, if it is present."""
        self._numbers.pop(key, None)

    def updated_after(self, number: int) -> Iterator[K]:
        """Yield the keys that were updated after a sequence number, newest first."""
        for key, updated_at in reversed(self._numbers.items()):
            if updated_at <= number:
                return
            yield key
