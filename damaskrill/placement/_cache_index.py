"""What is in an engine's prefix cache, as far as its late events show."""

from collections import OrderedDict

from damaskrill.messages import CacheEvents

__all__ = ["CacheIndex"]

MAX_BLOCKS = 4_096
MAX_GAPS_UNCONFIRMED = 8


class CacheIndex:
    """Bounded set of block hashes that one engine probably has in its cache.

    Notes
    -----
    Blocks of requests that were sent there count at once, since events are late.
    A jump in the sequence hides removals. A block that no later request or event
    has confirmed is forgotten once ``MAX_GAPS_UNCONFIRMED`` jumps have gone by.
    The oldest use is forgotten beyond ``MAX_BLOCKS``.
    """

    def __init__(self) -> None:
        self._blocks: OrderedDict[int, int] = OrderedDict()
        self._next_sequence = -1
        self.n_gaps = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def record_sent(self, prefix_blocks: tuple[int, ...]) -> None:
        """Count the blocks of a request that is being sent there."""
        for block in prefix_blocks:
            self._blocks[block] = self.n_gaps
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def handle_events(self, events: CacheEvents) -> None:
        """Correct the set by events; old and repeated ones are dropped."""
        if events.sequence < self._next_sequence:
            return
        if 0 <= self._next_sequence < events.sequence:
            self.n_gaps += 1
        self._next_sequence = events.sequence + 1
        for block in events.removed:
            self._blocks.pop(block, None)
        self.record_sent(events.stored)

    def clear(self) -> None:
        """Forget everything, as after a restart of the engine."""
        self._blocks.clear()
        self._next_sequence = -1

    def count_cached(self, prefix_blocks: tuple[int, ...]) -> int:
        """Return how many blocks from the beginning are probably there."""
        n_cached = 0
        for block in prefix_blocks:
            seen_at_gap = self._blocks.get(block)
            if seen_at_gap is None:
                break
            if self.n_gaps - seen_at_gap > MAX_GAPS_UNCONFIRMED:
                break
            n_cached += 1
        return n_cached
