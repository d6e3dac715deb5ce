"""Cache of the answers of actions, from which retries are answered."""

from collections import OrderedDict

from attrs import frozen

__all__ = ["AnswerCache", "CachedAnswer"]

MAX_CACHED_BYTES = 8 * 1024 * 1024
MAX_CACHED_ANSWER_BYTES = 256 * 1024


@frozen(kw_only=True)
class CachedAnswer:
    """Complete answer of one action.

    Parameters
    ----------
    status : int
        HTTP status of the backend server.
    content_type : str
        Media type.
    content : bytes
        Body of the answer.
    digest : str
        Digest of the body, in hexadecimal.
    """

    status: int
    content_type: str
    content: bytes
    digest: str


class AnswerCache:
    """Answers by request ID, bounded in size; the oldest are evicted first.

    Parameters
    ----------
    max_n_bytes : int
        Limit of the total size in bytes.
    """

    def __init__(self, *, max_n_bytes: int = MAX_CACHED_BYTES) -> None:
        self._max_n_bytes = max_n_bytes
        self._answers: OrderedDict[str, CachedAnswer] = OrderedDict()
        self._n_bytes = 0

    @property
    def n_bytes(self) -> int:
        """Total size of all answers in bytes."""
        return self._n_bytes

    def put(self, request_id: str, answer: CachedAnswer) -> None:
        """Store an answer unless it exceeds ``MAX_CACHED_ANSWER_BYTES``."""
        if len(answer.content) > MAX_CACHED_ANSWER_BYTES:
            return
        self._remove(request_id)
        self._answers[request_id] = answer
        self._n_bytes += len(answer.content)
        while self._n_bytes > self._max_n_bytes:
            self._remove(next(iter(self._answers)))

    def get(self, request_id: str) -> CachedAnswer | None:
        """Return the answer of a request, or None if it is not cached."""
        return self._answers.get(request_id)

    def _remove(self, request_id: str) -> None:
        answer = self._answers.pop(request_id, None)
        if answer is not None:
            self._n_bytes -= len(answer.content)
