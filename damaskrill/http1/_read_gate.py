"""Pauses of reading from a caller's socket."""

from typing import Any

__all__ = ["ReadGate"]


class ReadGate:
    """Lets bytes wait in the socket.

    Parameters
    ----------
    transport : object
        Transport of the connection.
    """

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._is_open = True

    def close(self) -> None:
        """Read no further bytes."""
        if self._is_open:
            self._is_open = False
            self._transport.pauseProducing()

    def open(self) -> None:
        """Read on."""
        if not self._is_open:
            self._is_open = True
            self._transport.resumeProducing()
