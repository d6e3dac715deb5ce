"""Owner's side of the relay: streams of an attempt's bytes to its entry."""

import asyncio
from abc import ABC, abstractmethod
from typing import Protocol

from damaskrill.exceptions import DamaskrillError
from damaskrill.messages import AnswerHead, PeerPayload
from damaskrill.relay._entry import EntryRelay

__all__ = ["LocalStream", "OutgoingStream", "PeerSender", "PeerStream"]

# Pending bytes of one stream above which its source is paused.
HIGH_WATER_BYTES = 256 * 1024


class PeerSender(Protocol):
    """Interface of the peer transport that the relay uses."""

    def send_payload(
        self, address: str, payload: PeerPayload, body: bytes = b""
    ) -> bool:
        """Queue a payload; return False if the queue is full."""

    def try_send_chunk(
        self, address: str, stream_id: str, offset: int, data: bytes
    ) -> bool:
        """Send bytes of an answer; return False if the queue is full."""

    async def send_chunk(
        self, address: str, stream_id: str, offset: int, data: bytes
    ) -> None:
        """Send bytes of an answer; wait while the peer's queue is full."""


class OutgoingStream(ABC):
    """Stream of one attempt's bytes to its entry."""

    @abstractmethod
    def begin(self, status: int, content_type: str) -> None:
        """Send status and media type."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send the next bytes."""

    @property
    def is_congested(self) -> bool:
        """Whether the source should pause."""
        return False

    @abstractmethod
    async def drain(self) -> None:
        """Wait until all written bytes have been passed to the connection."""

    def restart(self) -> bool:
        """Return False, since written bytes cannot be recalled."""
        return False

    def abandon(self) -> None:  # noqa: B027
        """Discard pending bytes and send no more."""


class LocalStream(OutgoingStream):
    """Stream of an attempt whose entry is this process.

    Parameters
    ----------
    relay : EntryRelay
        Entry's side of the relay.
    stream_id : str
        ID of the attempt.
    """

    def __init__(self, *, relay: EntryRelay, stream_id: str) -> None:
        self._relay = relay
        self._stream_id = stream_id
        self._offset = 0

    def begin(self, status: int, content_type: str) -> None:
        """Pass status and media type to the relay."""
        self._relay.handle_head(
            AnswerHead(
                stream_id=self._stream_id, status=status, content_type=content_type
            )
        )

    def write(self, data: bytes) -> None:
        """Pass the next bytes to the relay."""
        offset = self._offset
        self._offset += len(data)
        self._relay.handle_chunk(self._stream_id, offset, data)

    async def drain(self) -> None:
        """Return immediately, since ``write`` does not buffer."""


class PeerStream(OutgoingStream):
    """Stream of an attempt or hop whose entry is another router.

    Parameters
    ----------
    sender : PeerSender
        Peer transport.
    address : str
        Peer address of the entry.
    stream_id : str
        ID of the attempt or hop.

    Notes
    -----
    Bytes that are written while the peer's queue is full are joined into one chunk.
    """

    def __init__(self, *, sender: PeerSender, address: str, stream_id: str) -> None:
        self._sender = sender
        self._address = address
        self._stream_id = stream_id
        self._offset = 0
        self._pending: list[bytes] = []
        self._n_pending_bytes = 0
        self._send_task: asyncio.Task[None] | None = None
        self._is_broken = False

    @property
    def is_congested(self) -> bool:
        """Whether the source should pause."""
        return self._n_pending_bytes > HIGH_WATER_BYTES

    def begin(self, status: int, content_type: str) -> None:
        """Send status and media type."""
        head = AnswerHead(
            stream_id=self._stream_id, status=status, content_type=content_type
        )
        self._sender.send_payload(self._address, head)

    def write(self, data: bytes) -> None:
        """Send the next bytes."""
        if self._is_broken:
            return
        if self._send_task is None and self._sender.try_send_chunk(
            self._address, self._stream_id, self._offset, data
        ):
            self._offset += len(data)
            return
        self._pending.append(data)
        self._n_pending_bytes += len(data)
        if self._send_task is None:
            self._send_task = asyncio.get_running_loop().create_task(
                self._send_pending()
            )

    async def drain(self) -> None:
        """Wait until all bytes have been passed to the connection."""
        while self._send_task is not None:
            await asyncio.wait([self._send_task])

    def abandon(self) -> None:
        """Discard pending bytes and send no more."""
        self._pending.clear()
        self._n_pending_bytes = 0
        if self._send_task is not None:
            self._send_task.cancel()

    async def _send_pending(self) -> None:
        try:
            while self._pending:
                data = b"".join(self._pending)
                self._pending.clear()
                offset = self._offset
                self._offset += len(data)
                await self._sender.send_chunk(
                    self._address, self._stream_id, offset, data
                )
                self._n_pending_bytes -= len(data)
        except DamaskrillError:
            # The entry detects the loss of this router and starts another attempt;
            # it could not use bytes that follow a gap.
            self._is_broken = True
            self._pending.clear()
        finally:
            self._send_task = None
