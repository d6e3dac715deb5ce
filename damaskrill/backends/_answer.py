"""Receiver of a backend server's answer that forwards the body in chunks."""

import asyncio
from typing import Any

import xxhash
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from damaskrill.backends._coalescer import Coalescer
from damaskrill.relay import OutgoingStream
from damaskrill.utils import Clock

__all__ = ["EVENT_STREAM", "AnswerReceiver"]

EVENT_STREAM = "text/event-stream"
# Last event of a chat stream; an answer without it is incomplete.
END_EVENT = b"data: [DONE]"
MAX_TAIL_BYTES = 64
CONGESTION_POLL_S = 0.02


class AnswerReceiver(Protocol):
    """Coalesce the tokens of one answer for a few milliseconds before sending them.

    Parameters
    ----------
    stream : OutgoingStream
        Destination of the bytes.
    clock : Clock
        Source of the current time.
    coalescer : Coalescer
        Flushes pending bytes; the first bytes are sent immediately.
    max_chunk_bytes : int
        Number of pending bytes from which they are sent immediately.
    needs_end_event : bool
        Whether the answer must end with the end event of a chat stream.

    Notes
    -----
    The result of ``done`` is None for a complete answer and the reason of the failure
    otherwise. A closed connection ends the answer only if the HTTP framing confirms
    it (content length or last chunk).
    """

    def __init__(
        self,
        *,
        stream: OutgoingStream,
        clock: Clock,
        coalescer: Coalescer,
        max_chunk_bytes: int,
        needs_end_event: bool,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._stream = stream
        self._clock = clock
        self._coalescer = coalescer
        self._max_chunk_bytes = max_chunk_bytes
        self._needs_end_event = needs_end_event
        self._pending: list[bytes] = []
        self._n_pending_bytes = 0
        self._digest = xxhash.xxh3_128()
        self._tail = b""
        self._n_events = 0
        self._is_paused = False
        self.n_bytes = 0
        self.first_byte_at_ms = 0
        self.last_activity_ms = 0
        self.first_byte: asyncio.Future[None] = self._loop.create_future()
        self.done: asyncio.Future[str | None] = self._loop.create_future()

    @property
    def digest(self) -> str:
        """Digest of the bytes forwarded so far, in hexadecimal."""
        return self._digest.hexdigest()

    @property
    def n_resumable_bytes(self) -> int:
        """Offset at which another attempt may resume; 0 if it must start over."""
        return self.n_bytes if self._needs_end_event else 0

    @property
    def between_tokens_ms(self) -> int:
        """Mean time between events, in milliseconds; 0 if there were fewer than 2."""
        if self._n_events < 2:
            return 0
        return (self.last_activity_ms - self.first_byte_at_ms) // (self._n_events - 1)

    def dataReceived(self, data: bytes) -> None:
        """Handle bytes from the connection."""
        now_ms = self._clock.now_ms
        self.last_activity_ms = now_ms
        self.n_bytes += len(data)
        self._pending.append(data)
        self._n_pending_bytes += len(data)
        if not self.first_byte.done():
            self.first_byte_at_ms = now_ms
            self.first_byte.set_result(None)
            self._flush()
        elif self._n_pending_bytes >= self._max_chunk_bytes:
            self._flush()
        else:
            self._coalescer.schedule(self._flush)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Handle the end of the answer or of the connection."""
        self._flush()
        if self.done.done():
            return
        if not reason.check(ResponseDone):
            name = getattr(reason.type, "__name__", "unknown")
            self.done.set_result(f"the connection was lost: {name}")
        elif self._needs_end_event and END_EVENT not in self._tail:
            self.done.set_result("the stream ended without the end event")
        else:
            self.done.set_result(None)

    def stop(self) -> None:
        """Close the connection and forward no more bytes."""
        self._pending.clear()
        self._coalescer.cancel(self._flush)
        transport: Any = self.transport
        if transport is not None and not self.done.done():
            self.done.set_result("the dispatch was cancelled")
            transport.loseConnection()

    def _flush(self) -> None:
        if not self._pending:
            return
        data = b"".join(self._pending)
        self._pending.clear()
        self._n_pending_bytes = 0
        self._record_flushed(data)
        self._stream.write(data)
        if self._stream.is_congested and not self._is_paused:
            self._pause()

    def _record_flushed(self, data: bytes) -> None:
        # Hashing and counting once per chunk is cheaper than once per token.
        self._digest.update(data)
        self._n_events += data.count(b"\n\n")
        if self._needs_end_event:
            self._tail = (self._tail + data[-MAX_TAIL_BYTES:])[-MAX_TAIL_BYTES:]

    def _pause(self) -> None:
        transport: Any = self.transport
        if transport is None:
            return
        self._is_paused = True
        transport.pauseProducing()
        self._loop.call_later(CONGESTION_POLL_S, self._resume_if_uncongested)

    def _resume_if_uncongested(self) -> None:
        transport: Any = self.transport
        if transport is None or self.done.done():
            return
        if self._stream.is_congested:
            self._loop.call_later(CONGESTION_POLL_S, self._resume_if_uncongested)
            return
        self._is_paused = False
        self.last_activity_ms = self._clock.now_ms
        transport.resumeProducing()
