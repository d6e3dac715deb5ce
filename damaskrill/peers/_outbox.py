"""Bounded send queue for one peer."""

import asyncio
from collections import deque

from attrs import frozen

from damaskrill.configuration._peer_limits import PeerLimits
from damaskrill.messages import PeerPayload

__all__ = ["Outbox", "QueuedFrame"]


@frozen(kw_only=True)
class QueuedFrame:
    """An encoded frame in an outbox.

    Parameters
    ----------
    name : str
        Name under which the frame is counted.
    content : bytes
        The encoded frame.
    payload : PeerPayload or None
        Payload of the frame, reported if it cannot be sent.
    incarnation : str
        Incarnation of the only process that may receive it; empty for any.
    """

    name: str
    content: bytes
    payload: PeerPayload | None = None
    incarnation: str = ""


class Outbox:
    """FIFO queue of the frames for one peer, bounded in count and bytes.

    Parameters
    ----------
    limits : PeerLimits
        Limits.
    """

    def __init__(self, *, limits: PeerLimits) -> None:
        self._limits = limits
        self._frames: deque[QueuedFrame] = deque()
        self._n_bytes = 0
        self._is_closed = False
        self._not_empty = asyncio.Event()
        self._not_full = asyncio.Event()

    @property
    def is_closed(self) -> bool:
        """Whether new frames are rejected."""
        return self._is_closed

    def has_room(self, n_bytes: int) -> bool:
        """Return whether a frame of this size may be added now."""
        if not self._frames:
            return True
        if len(self._frames) >= self._limits.max_queued_messages:
            return False
        return self._n_bytes + n_bytes <= self._limits.max_queued_bytes

    def put(self, frame: QueuedFrame) -> bool:
        """Add a frame without waiting; return whether there was room."""
        if self._is_closed or not self.has_room(len(frame.content)):
            return False
        self._frames.append(frame)
        self._n_bytes += len(frame.content)
        self._not_empty.set()
        return True

    async def put_when_room(self, frame: QueuedFrame) -> bool:
        """Wait for room and add a frame; return False if closed before that."""
        while not self.put(frame):
            if self._is_closed:
                return False
            self._not_full.clear()
            await self._not_full.wait()
        return True

    async def get(self) -> QueuedFrame | None:
        """Wait for the next frame; return None once closed and empty."""
        while not self._frames:
            if self._is_closed:
                return None
            self._not_empty.clear()
            await self._not_empty.wait()
        frame = self._frames.popleft()
        self._n_bytes -= len(frame.content)
        self._not_full.set()
        return frame

    def pop_matching(self, name: str, max_bytes: int) -> list[QueuedFrame]:
        """Remove and return the next frames of one name, up to a total size."""
        popped: list[QueuedFrame] = []
        while self._frames and self._frames[0].name == name:
            max_bytes -= len(self._frames[0].content)
            if max_bytes < 0:
                break
            popped.append(self._frames.popleft())
            self._n_bytes -= len(popped[-1].content)
        return popped

    def close(self) -> None:
        """Reject new frames; queued ones can still be read."""
        self._is_closed = True
        self._not_empty.set()
        self._not_full.set()

    def close_and_drain(self) -> list[QueuedFrame]:
        """Close the outbox; remove and return the queued frames."""
        self.close()
        frames = list(self._frames)
        self._frames.clear()
        self._n_bytes = 0
        return frames
