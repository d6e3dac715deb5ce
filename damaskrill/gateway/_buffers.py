"""Buffers of answers that are forwarded only when they are complete."""

from collections.abc import Callable
from weakref import WeakMethod

from damaskrill.http1 import InvalidAnswerError
from damaskrill.limits import Hold, MemoryAccount
from damaskrill.utils import monotonic_now_ms

__all__ = ["MAX_ANSWER_BYTES", "AnswerBuffer", "BufferBudget"]

# Size of the body of one answer. Sound answers have 1 MB at most, which leaves room for
# a service with larger ones.
MAX_ANSWER_BYTES = 8_000_000
# Size of all buffers together where they have an account of their own: a fifth of the
# memory of the smallest host (150 MB).
MAX_TOTAL_BYTES = 32_000_000
# Buffers up to this size are not counted; hundreds of them fit beside the others.
SMALL_ANSWER_BYTES = 65_536


class BufferBudget:
    """Limit on the memory of all answers that are buffered at the same time.

    Parameters
    ----------
    account : MemoryAccount, default=None
        Account of the process, in which the buffers count beside what callers hold; an
        account of their own if None.

    Notes
    -----
    When the limit is reached, the largest buffer is dropped: it is the likeliest to
    belong to an answer that does not end, and sound answers continue.
    """

    def __init__(self, account: MemoryAccount | None = None) -> None:
        self.account = account or MemoryAccount(capacity_bytes=MAX_TOTAL_BYTES)


class AnswerBuffer:
    """Body of an answer as far as it has been received.

    Parameters
    ----------
    budget : BufferBudget
        Limit that all buffers share.
    """

    def __init__(self, *, budget: BufferBudget) -> None:
        self._account = budget.account
        self._body = bytearray()
        self._is_dropped = False
        # Weak, so that the buffer of an abandoned attempt does not count any more.
        drop = WeakMethod(self.drop)
        self._hold = Hold(evict=lambda _: _call(drop), is_from_caller=False)

    def __del__(self) -> None:
        self._account.release(self._hold)

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
                self._account.charge(self._hold, self.n_bytes, monotonic_now_ms())
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
        self._account.release(self._hold)


def _call(method: "WeakMethod[Callable[[], None]]") -> None:
    target = method()
    if target is not None:
        target()
