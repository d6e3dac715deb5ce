"""Store of request bodies with expiry."""

from attrs import frozen

__all__ = ["BodyStore"]


@frozen(kw_only=True)
class _Body:
    content: bytes
    expires_at_ms: int


class BodyStore:
    """Request bodies by request or attempt, each with an expiry time.

    Notes
    -----
    If a request ends without a notice, ``purge`` frees its body after the expiry.
    """

    def __init__(self) -> None:
        self._bodies: dict[str, _Body] = {}
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._bodies)

    @property
    def n_bytes(self) -> int:
        """Total size of all bodies in bytes."""
        return self._n_bytes

    def put(self, key: str, content: bytes, expires_at_ms: int) -> None:
        """Store a body.

        Parameters
        ----------
        key : str
            ID of the request or attempt.
        content : bytes
            Body to store.
        expires_at_ms : int
            Time after which ``purge`` frees the body, in milliseconds.
        """
        self.discard(key)
        self._bodies[key] = _Body(content=content, expires_at_ms=expires_at_ms)
        self._n_bytes += len(content)

    def get(self, key: str) -> bytes | None:
        """Return a body, or None if it is not stored."""
        body = self._bodies.get(key)
        return None if body is None else body.content

    def discard(self, key: str) -> None:
        """Remove a body if it is stored."""
        body = self._bodies.pop(key, None)
        if body is not None:
            self._n_bytes -= len(body.content)

    def purge(self, now_ms: int) -> None:
        """Remove expired bodies."""
        expired = [
            key for key, body in self._bodies.items() if body.expires_at_ms < now_ms
        ]
        for key in expired:
            self.discard(key)
