"""Bodies of requests, kept until they are no longer needed."""

from attrs import frozen

__all__ = ["BodyStore"]


@frozen(kw_only=True)
class _Body:
    content: bytes
    expires_at_ms: int


class BodyStore:
    """Bodies by request or attempt, each with a latest time.

    Notes
    -----
    A body whose request was dropped without notice is freed by ``purge``.
    """

    def __init__(self) -> None:
        self._bodies: dict[str, _Body] = {}
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._bodies)

    @property
    def n_bytes(self) -> int:
        """Bytes of all bodies together."""
        return self._n_bytes

    def put(self, key: str, content: bytes, expires_at_ms: int) -> None:
        """Keep a body.

        Parameters
        ----------
        key : str
            Request or attempt that it belongs to.
        content : bytes
            The body.
        expires_at_ms : int
            When it may be freed at the latest, in milliseconds.
        """
        self.discard(key)
        self._bodies[key] = _Body(content=content, expires_at_ms=expires_at_ms)
        self._n_bytes += len(content)

    def get(self, key: str) -> bytes | None:
        """Return a body; None if it is not kept."""
        body = self._bodies.get(key)
        return None if body is None else body.content

    def discard(self, key: str) -> None:
        """Free a body if it is kept."""
        body = self._bodies.pop(key, None)
        if body is not None:
            self._n_bytes -= len(body.content)

    def purge(self, now_ms: int) -> None:
        """Free the bodies whose latest time has passed."""
        expired = [
            key for key, body in self._bodies.items() if body.expires_at_ms < now_ms
        ]
        for key in expired:
            self.discard(key)
