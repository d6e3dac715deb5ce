"""Open circuits of backend servers, as reported to the entry router by refusals."""

__all__ = ["OpenCircuits"]


class OpenCircuits:
    """Retry times of the backend servers with an open circuit."""

    def __init__(self) -> None:
        self._until_ms: dict[str, int] = {}

    def record_open(
        self, backend_server: str, *, retry_after_ms: int, now_ms: int
    ) -> None:
        """Record that a server's circuit is open."""
        self._until_ms[backend_server] = now_ms + retry_after_ms

    def record_success(self, backend_server: str) -> None:
        """Discard the open circuit of a server that has answered."""
        self._until_ms.pop(backend_server, None)

    def is_circuit_open(self, backend_server: str, now_ms: int) -> bool:
        """Return whether a server must not be tried now."""
        until_ms = self._until_ms.get(backend_server)
        if until_ms is None:
            return False
        if until_ms <= now_ms:
            del self._until_ms[backend_server]
            return False
        return True
