"""Messages about slots, batched by receiver and service."""

import asyncio
from collections.abc import Callable

from damaskrill.mesh import MAX_BATCH, SlotBatch, SlotMessage

__all__ = ["SlotOutbox"]


class SlotOutbox:
    """Sends what comes up in one iteration of the event loop as one frame.

    Parameters
    ----------
    send : callable
        Sends a batch to the router with an address.

    Notes
    -----
    Handles a service without room: the answers of a few slots that become free at the
    same time, and requests that arrive together, cost one frame a router.
    """

    def __init__(self, send: Callable[[str, SlotBatch], None]) -> None:
        self._send = send
        self._pending: dict[tuple[str, str], list[SlotMessage]] = {}

    def put(self, address: str, service: str, message: SlotMessage) -> None:
        """Send a message at the end of this iteration of the event loop."""
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.setdefault((address, service), []).append(message)

    def _flush(self) -> None:
        pending, self._pending = self._pending, {}
        for (address, service), messages in pending.items():
            for first in range(0, len(messages), MAX_BATCH):
                chunk = tuple(messages[first : first + MAX_BATCH])
                self._send(address, SlotBatch(service=service, messages=chunk))
