"""One authenticated connection to another router, with heartbeats and time-outs."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from websockets.exceptions import ConnectionClosed, ConnectionClosedError

from damaskrill.configuration._peer_limits import PeerLimits
from damaskrill.exceptions import (
    DamaskrillError,
    PeerFrameError,
    PeerMessageTooLargeError,
    PeerSilentError,
    PeerUnreachableError,
)
from damaskrill.messages import Member
from damaskrill.peers._counters import ByteCounters
from damaskrill.peers._frames import (
    Chunk,
    ChunkBatch,
    Farewell,
    Frame,
    Greeting,
    Heartbeat,
    Payload,
    Proof,
    decode_frame,
    encode_frame,
    frame_name,
    join_chunks,
)
from damaskrill.peers._outbox import Outbox, QueuedFrame
from damaskrill.utils import Clock

__all__ = ["PeerLink", "heartbeat_frame"]

CLOSE_INVALID_FRAME = 1002
CLOSE_TOO_LARGE = 1009
# Chunks queued for one peer are sent as one message up to this size.
MAX_BATCH_BYTES = 16 * 1024

DeliverFrame = Callable[[Member, Payload | Chunk], Awaitable[None] | None]


def _build_queued_frame(frame: Frame) -> QueuedFrame:
    return QueuedFrame(name=frame_name(frame), content=encode_frame(frame))


def heartbeat_frame() -> QueuedFrame:
    """Return an encoded heartbeat for an outbox."""
    return _build_queued_frame(Heartbeat())


class PeerLink:
    """A connection after its handshake; ``run`` returns when it has ended.

    Parameters
    ----------
    connection : websockets connection
        The connection.
    peer : Member
        The process at the other end.
    outbox : Outbox
        Frames to send; the link is its only reader.
    clock : Clock
        Time for heartbeats and time-outs.
    limits : PeerLimits
        Limits.
    counters : ByteCounters
        Counters for all frames.
    deliver : callable
        Called with the peer and each payload or chunk. If it returns an awaitable,
        the next frame is read only after it is done.
    refuse : callable
        Called with each queued frame that is addressed to another incarnation than
        the peer's.
    """

    def __init__(
        self,
        *,
        connection: Any,
        peer: Member,
        outbox: Outbox,
        clock: Clock,
        limits: PeerLimits,
        counters: ByteCounters,
        deliver: DeliverFrame,
        refuse: Callable[[QueuedFrame], None],
    ) -> None:
        self._connection = connection
        self._peer = peer
        self._outbox = outbox
        self._clock = clock
        self._limits = limits
        self._counters = counters
        self._deliver = deliver
        self._refuse = refuse
        now_ms = clock.now_ms
        self._last_received_ms = now_ms
        self._last_sent_ms = now_ms
        self._last_used_ms = now_ms
        self._farewell_received = False
        self._error: DamaskrillError | None = None

    @property
    def peer(self) -> Member:
        """The process at the other end."""
        return self._peer

    @property
    def outbox(self) -> Outbox:
        """Frames queued for this link."""
        return self._outbox

    @property
    def last_used_ms(self) -> int:
        """When a payload or a chunk was last sent or received."""
        return self._last_used_ms

    @property
    def error(self) -> DamaskrillError | None:
        """Why the link was lost, also if its peer is stopping; None otherwise."""
        return self._error

    async def run(self) -> None:
        """Send and receive until the link ends; peer errors are set as ``error``."""
        writer = asyncio.create_task(self._write())
        try:
            await self._read()
            # Frames queued before the peer's farewell arrived must still be sent.
            self.close_gracefully()
            await writer
        except ConnectionClosed as error:
            self._record_close(error)
        except DamaskrillError as error:
            self._error = error
            await self._connection.close(CLOSE_INVALID_FRAME, error.code)
        finally:
            self._outbox.close()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            await self._connection.close()

    def check(self, now_ms: int) -> None:
        """Send a due heartbeat, abort a silent link and close an idle one."""
        silence_ms = now_ms - self._last_received_ms
        if silence_ms >= self._limits.silence_timeout_ms:
            address = self._peer.address
            self.abort(PeerSilentError(address=address, silence_ms=silence_ms))
            return
        if now_ms - self._last_used_ms >= self._limits.idle_timeout_ms:
            self.close_gracefully()
        if now_ms - self._last_sent_ms >= self._limits.heartbeat_interval_ms:
            self._outbox.put(heartbeat_frame())

    def reset_silence_timer(self, now_ms: int) -> None:
        """Restart the silence time-out after this process itself was paused."""
        self._last_received_ms = now_ms

    def close_gracefully(self, *, is_stopping: bool = False) -> None:
        """Send the queued frames and a farewell; the peer replies with its own."""
        if not self._outbox.is_closed:
            self._outbox.put(_build_queued_frame(Farewell(is_stopping=is_stopping)))
            self._outbox.close()

    def abort(self, error: DamaskrillError) -> None:
        """End the link immediately, without waiting for the peer."""
        if self._error is None:
            self._error = error
        self._outbox.close()
        self._connection.transport.abort()

    async def _write(self) -> None:
        while (frame := await self._outbox.get()) is not None:
            if frame.incarnation and frame.incarnation != self._peer.incarnation:
                self._refuse(frame)
                continue
            self._record_sent(frame)
            content = frame.content
            if frame.name == Chunk.__name__:
                content = self._join_queued_chunks(frame)
            try:
                await self._connection.send(content)
            except ConnectionClosed:
                return

    def _join_queued_chunks(self, first: QueuedFrame) -> bytes:
        following = self._outbox.pop_matching(
            first.name, MAX_BATCH_BYTES - len(first.content)
        )
        for frame in following:
            self._record_sent(frame)
        return join_chunks([first.content, *(each.content for each in following)])

    def _record_sent(self, frame: QueuedFrame) -> None:
        now_ms = self._clock.now_ms
        self._last_sent_ms = now_ms
        if frame.name != Heartbeat.__name__:
            self._last_used_ms = now_ms
        self._counters.count_sent(frame.name, len(frame.content))

    async def _read(self) -> None:
        while not self._farewell_received:
            content = await self._connection.recv()
            if not isinstance(content, bytes):
                raise PeerFrameError(reason="it is a text message, expected binary")
            frame = decode_frame(content)
            self._last_received_ms = self._clock.now_ms
            if isinstance(frame, ChunkBatch):
                await self._handle_batch(frame, len(content))
                continue
            self._counters.count_received(frame_name(frame), len(content))
            await self._handle_frame(frame)

    async def _handle_batch(self, batch: ChunkBatch, n_bytes: int) -> None:
        name = Chunk.__name__
        self._counters.received[name] += n_bytes
        self._counters.n_received[name] += len(batch.chunks)
        for chunk in batch.chunks:
            await self._handle_frame(chunk)

    async def _handle_frame(self, frame: Frame) -> None:
        match frame:
            case Payload() | Chunk():
                self._last_used_ms = self._last_received_ms
                pending = self._deliver(self._peer, frame)
                if pending is not None:
                    await pending
            case Farewell(is_stopping=is_stopping):
                self._farewell_received = True
                if is_stopping:
                    self._error = PeerUnreachableError(
                        address=self._peer.address, reason="it is shutting down"
                    )
            case Greeting() | Proof() | ChunkBatch():
                raise PeerFrameError(reason="its kind is only valid in a handshake")

    def _record_close(self, error: ConnectionClosed) -> None:
        if self._error is not None or self._farewell_received:
            return
        sent = error.sent
        if isinstance(error, ConnectionClosedError) and sent is not None:
            if sent.code == CLOSE_TOO_LARGE:
                limit = self._limits.max_message_bytes
                self._error = PeerMessageTooLargeError(n_bytes="too many", limit=limit)
                return
            if error.rcvd is None:
                self._error = PeerFrameError(reason=sent.reason or "it was truncated")
                return
        self._error = PeerUnreachableError(
            address=self._peer.address, reason="the connection was closed"
        )
