"""Backend servers whose circuit is open, as far as refusals have told an entry."""

__all__ = ["RestingServers"]


class RestingServers:
    """When each of the servers with an open circuit may be tried again."""

    def __init__(self) -> None:
        self._until_ms: dict[str, int] = {}

    def note_refusal(self, backend_server: str, *, rest_ms: int, now_ms: int) -> None:
        """Remember that a server's circuit is open."""
        self._until_ms[backend_server] = now_ms + rest_ms

    def note_answer(self, backend_server: str) -> None:
        """Forget a server that has answered."""
        self._until_ms.pop(backend_server, None)

    def is_resting(self, backend_server: str, now_ms: int) -> bool:
        """Whether a server is not to be tried now."""
        until_ms = self._until_ms.get(backend_server)
        if until_ms is None:
            return False
        if until_ms <= now_ms:
            del self._until_ms[backend_server]
            return False
        return True
