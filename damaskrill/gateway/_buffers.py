"""Buffers of answers that are forwarded only when they are complete."""

from weakref import WeakSet

from damaskrill.http1 import InvalidAnswerError

__all__ = ["MAX_ANSWER_BYTES", "AnswerBuffer", "BufferBudget"]

# Size of the body of one answer. Sound answers have 1 MB at most, which leaves room for
# a service with larger ones.
MAX_ANSWER_BYTES = 8_000_000
# Size of all buffers of a process together, a fifth of the memory of the smallest host
# (150 MB).
MAX_TOTAL_BYTES = 32_000_000
# Buffers up to this size are not counted; hundreds of them fit beside the others.
SMALL_ANSWER_BYTES = 65_536


class BufferBudget:
    """Limit on the memory of all answers that are buffered at the same time.

    Parameters
    ----------
    max_bytes : int
        Largest size of all buffers together.

    Notes
    -----
    When the limit is reached, the largest buffer is dropped: it is the likeliest to
    belong to an answer that does not end, and sound answers continue.
    """

    def __init__(self, *, max_bytes: int = MAX_TOTAL_BYTES) -> None:
        self._max_bytes = max_bytes
        # Weak, so that the buffer of an abandoned attempt does not count any more.
        self._buffers: WeakSet[AnswerBuffer] = WeakSet()

    @property
    def n_bytes(self) -> int:
        """Size of all counted buffers together."""
        return sum(each.n_bytes for each in self._buffers)

    def enforce(self, buffer: "AnswerBuffer") -> None:
        """Count a buffer that has grown, and drop the largest ones over the limit."""
        self._buffers.add(buffer)
        while self.n_bytes > self._max_bytes:
            max(self._buffers, key=lambda each: each.n_bytes).drop()


class AnswerBuffer:
    """Body of an answer as far as it has been received.

    Parameters
    ----------
    budget : BufferBudget
        Limit that all buffers share.
    """

    def __init__(self, *, budget: BufferBudget) -> None:
        self._budget = budget
        self._body = bytearray()
        self._is_dropped = False

    @property
    def n_bytes(self) -> int:
        """Size of the buffered bytes."""
        return len(self._body)

    @property
    def is_dropped(self) -> bool:
        """Whether it was dropped for lack of memory."""
        return self._is_dropped

    def append(self, data: bytes) -> None:
        """Add received bytes.

        Raises
        ------
        InvalidAnswerError
            If the answer is too large or was dropped.
        """
        if self.n_bytes + len(data) > MAX_ANSWER_BYTES:
            self.drop()
        if not self._is_dropped:
            self._body += data
            if self.n_bytes > SMALL_ANSWER_BYTES:
                self._budget.enforce(self)
        if self._is_dropped:
            raise InvalidAnswerError(reason="no memory is left for an answer so large")

    def drop(self) -> None:
        """Discard the bytes and refuse further ones."""
        self._is_dropped = True
        self.clear()

    def take(self) -> bytes:
        """Return all bytes and empty the buffer."""
        body = bytes(self._body)
        self.clear()
        return body

    def clear(self) -> None:
        """Discard the bytes."""
        self._body.clear()
