"""Backend servers whose circuit is open, as far as refusals have told an entry."""

__all__ = ["OpenCircuits"]


class OpenCircuits:
    """When each of the servers with an open circuit may be tried again."""

    def __init__(self) -> None:
        self._until_ms: dict[str, int] = {}

    def record_open(
        self, backend_server: str, *, retry_after_ms: int, now_ms: int
    ) -> None:
        """Remember that a server's circuit is open."""
        self._until_ms[backend_server] = now_ms + retry_after_ms

    def record_success(self, backend_server: str) -> None:
        """Forget a server that has answered."""
        self._until_ms.pop(backend_server, None)

    def is_circuit_open(self, backend_server: str, now_ms: int) -> bool:
        """Whether a server is not to be tried now."""
        until_ms = self._until_ms.get(backend_server)
        if until_ms is None:
            return False
        if until_ms <= now_ms:
            del self._until_ms[backend_server]
            return False
        return True
