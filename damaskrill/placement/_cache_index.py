"""Approximate contents of the prefix cache of an engine."""

from collections import OrderedDict

from damaskrill.messages import CacheEvents

__all__ = ["CacheIndex"]

MAX_BLOCKS = 4_096
MAX_GAPS_UNCONFIRMED = 8


class CacheIndex:
    """Bounded set of block hashes that one engine probably has in its cache.

    Notes
    -----
    Blocks count as cached as soon as a request with them is sent, since cache events
    arrive late. A gap in the sequence of events may hide removals, so that a block
    no longer counts after more than ``MAX_GAPS_UNCONFIRMED`` gaps in which no request
    or event has confirmed it. Beyond ``MAX_BLOCKS``, the least recently used block is
    evicted.
    """

    def __init__(self) -> None:
        self._blocks: OrderedDict[int, int] = OrderedDict()
        self._next_sequence = -1
        self.n_gaps = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def record_sent(self, prefix_blocks: tuple[int, ...]) -> None:
        """Add the blocks of a request that is being sent to the engine."""
        for block in prefix_blocks:
            self._blocks[block] = self.n_gaps
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def handle_events(self, events: CacheEvents) -> None:
        """Update the set from cache events; ignore old and repeated ones."""
        if events.sequence < self._next_sequence:
            return
        if 0 <= self._next_sequence < events.sequence:
            self.n_gaps += 1
        self._next_sequence = events.sequence + 1
        for block in events.removed:
            self._blocks.pop(block, None)
        self.record_sent(events.stored)

    def clear(self) -> None:
        """Remove all blocks, as after a restart of the engine."""
        self._blocks.clear()
        self._next_sequence = -1

    def count_cached(self, prefix_blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are probably cached."""
        n_cached = 0
        for block in prefix_blocks:
            confirmed_at_gap = self._blocks.get(block)
            if confirmed_at_gap is None:
                break
            if self.n_gaps - confirmed_at_gap > MAX_GAPS_UNCONFIRMED:
                break
            n_cached += 1
        return n_cached
