"""Pauses of reading from a caller's socket."""

from typing import Any

__all__ = ["ReadGate"]


class ReadGate:
    """Lets bytes wait in the socket.

    Parameters
    ----------
    transport : object
        Transport of the connection.

    Attributes
    ----------
    is_open : bool
        Whether it reads.
    """

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self.is_open = True

    def close(self) -> None:
        """Read no further bytes."""
        if self.is_open:
            self.is_open = False
            self._transport.pauseProducing()

    def open(self) -> None:
        """Read on."""
        if not self.is_open:
            self.is_open = True
            self._transport.resumeProducing()
