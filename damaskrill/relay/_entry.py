"""Entry's side of the relay: assembly of the bytes of attempts into one answer."""

from typing import Protocol

import attrs
import xxhash

from damaskrill.messages import (
    AnswerHead,
    AttemptEnded,
    AttemptFailed,
    AttemptProgress,
    Cause,
    CauseCode,
)
from damaskrill.relay._answer_cache import AnswerCache, CachedAnswer

__all__ = ["AnswerSink", "AnswerTotals", "EntryRelay"]

EVENT_STREAM = "text/event-stream"


class AnswerSink(Protocol):
    """Destination of the bytes of one answer."""

    def begin(self, status: int, content_type: str) -> None:
        """Set status and media type; called once, before the first byte."""

    def write(self, data: bytes) -> None:
        """Write the next bytes."""

    def restart(self) -> bool:
        """Discard all bytes; return False if some have been sent already."""


@attrs.frozen(kw_only=True)
class AnswerTotals:
    """Length and digest of the bytes of one answer that were forwarded.

    Parameters
    ----------
    n_bytes : int, default=0
        Number of bytes.
    digest : str, default=""
        Digest in hexadecimal.
    """

    n_bytes: int = 0
    digest: str = ""


@attrs.define(kw_only=True)
class _Stream:
    request_id: str
    sink: AnswerSink
    chunks: list[bytes] | None = None
    status: int = 200
    content_type: str = ""
    has_begun: bool = False
    n_bytes: int = 0
    answer_hash: xxhash.xxh3_128 = attrs.field(factory=xxhash.xxh3_128)
    # Current attempt, or hop to another entry; bytes of any other are dropped.
    stream_id: str = ""
    peer: str = ""
    n_stream_bytes: int = 0
    has_gap: bool = False
    # Wrong bytes were forwarded, so that the answer can no longer become complete.
    is_corrupt: bool = False
    attempt_hash: xxhash.xxh3_128 = attrs.field(factory=xxhash.xxh3_128)

    @property
    def is_resumable(self) -> bool:
        """Whether another attempt may resume where this one failed.

        Only the bytes of a stream are forwarded before the end; any other answer is
        requested again from the start.
        """
        return self.content_type.startswith(EVENT_STREAM)

    @property
    def n_resumable_bytes(self) -> int:
        """Number of bytes of the attempt after which another one may resume."""
        return self.n_stream_bytes if self.is_resumable else 0


class EntryRelay:
    """Answers of the requests for which this process is the entry.

    Parameters
    ----------
    answer_cache : AnswerCache
        Cache that stores the answers of actions.

    Notes
    -----
    Only bytes of a request's current attempt are forwarded. Chunks of any other
    attempt are dropped and counted in ``n_dropped_chunks``, so that late or misrouted
    answers never reach a caller.
    """

    def __init__(self, *, answer_cache: AnswerCache) -> None:
        self._answer_cache = answer_cache
        self._streams: dict[str, _Stream] = {}
        self._streams_by_id: dict[str, _Stream] = {}
        self._n_dropped_chunks = 0

    def __len__(self) -> int:
        return len(self._streams)

    @property
    def n_dropped_chunks(self) -> int:
        """Number of chunks dropped because their attempt is not the current one."""
        return self._n_dropped_chunks

    def open_request(
        self, request_id: str, sink: AnswerSink, *, is_cacheable: bool = False
    ) -> None:
        """Register a request whose answer is expected.

        Parameters
        ----------
        request_id : str
            ID of the request.
        sink : AnswerSink
            Destination of the answer.
        is_cacheable : bool, default=False
            Whether the complete answer is cached for retries of the caller.
        """
        self._streams[request_id] = _Stream(
            request_id=request_id, sink=sink, chunks=[] if is_cacheable else None
        )

    def bind(self, request_id: str, stream_id: str, *, peer: str = "") -> int:
        """Make an attempt or hop the current one of a request.

        Parameters
        ----------
        request_id : str
            ID of the request.
        stream_id : str
            ID of the attempt or hop.
        peer : str, default=""
            Address of the router that sends the bytes; empty for this process.

        Returns
        -------
        int
            Offset in the answer at which the attempt must start.
        """
        stream = self._streams.get(request_id)
        if stream is None:
            return 0
        self._streams_by_id.pop(stream.stream_id, None)
        self._streams_by_id[stream_id] = stream
        if not stream.is_resumable:
            self._restart(stream)
        stream.stream_id = stream_id
        stream.peer = peer
        stream.n_stream_bytes = 0
        stream.has_gap = False
        stream.attempt_hash = xxhash.xxh3_128()
        return stream.n_bytes

    def handle_head(self, head: AnswerHead) -> None:
        """Handle status and media type of an attempt's answer."""
        stream = self._streams_by_id.get(head.stream_id)
        if stream is None or stream.has_begun:
            return
        stream.has_begun = True
        stream.status = head.status
        stream.content_type = head.content_type
        stream.sink.begin(head.status, head.content_type)

    def handle_chunk(self, stream_id: str, offset: int, data: bytes) -> bool:
        """Handle bytes of an attempt.

        Parameters
        ----------
        stream_id : str
            ID of the attempt or hop.
        offset : int
            Offset of the first byte from the start of the attempt.
        data : bytes
            Received bytes.

        Returns
        -------
        bool
            Whether the bytes were accepted.
        """
        stream = self._streams_by_id.get(stream_id)
        if stream is None:
            self._n_dropped_chunks += 1
            return False
        if offset != stream.n_stream_bytes or stream.has_gap:
            stream.has_gap = True
            return False
        stream.n_stream_bytes += len(data)
        stream.attempt_hash.update(data)
        self._forward(stream, data)
        return True

    def check_end(self, ended: AttemptEnded) -> AttemptEnded | AttemptFailed:
        """Verify the received bytes against the owner's length and digest.

        Parameters
        ----------
        ended : AttemptEnded
            Message of the owner.

        Returns
        -------
        AttemptEnded or AttemptFailed
            The same message if the bytes are complete and unchanged, else a failure.
        """
        stream = self._streams_by_id.get(ended.attempt_id)
        if stream is None or self._matches(stream, ended.n_bytes, ended.digest):
            return ended
        if stream.n_stream_bytes >= ended.n_bytes and not stream.has_gap:
            stream.is_corrupt = True
        cause = Cause(
            code=CauseCode.ANSWER_DAMAGED,
            subject=stream.peer or "this router",
            detail=f"{stream.n_stream_bytes} of {ended.n_bytes} bytes arrived intact",
        )
        return AttemptFailed(
            attempt_id=ended.attempt_id,
            causes=(cause,),
            n_bytes=stream.n_resumable_bytes,
        )

    def correct_failure(self, failed: AttemptFailed) -> AttemptFailed:
        """Replace the owner's number of bytes by the number that arrived here."""
        stream = self._streams_by_id.get(failed.attempt_id)
        if stream is None:
            return failed
        return attrs.evolve(failed, n_bytes=stream.n_resumable_bytes)

    def matches_hop(self, hop_id: str, n_bytes: int, digest: str) -> bool:
        """Return whether the bytes of a hop match the given length and digest."""
        stream = self._streams_by_id.get(hop_id)
        return stream is None or self._matches(stream, n_bytes, digest)

    def progress_from(self, peer: str) -> list[AttemptProgress]:
        """Return the progress of the attempts at another router."""
        return [
            AttemptProgress(attempt_id=each.stream_id, n_bytes=each.n_resumable_bytes)
            for each in self._streams.values()
            if each.peer == peer
        ]

    def is_corrupt(self, request_id: str) -> bool:
        """Return whether wrong bytes of a request's answer were forwarded."""
        stream = self._streams.get(request_id)
        return stream is not None and stream.is_corrupt

    def totals(self, request_id: str) -> AnswerTotals:
        """Return length and digest of the forwarded bytes of a request's answer."""
        stream = self._streams.get(request_id)
        if stream is None:
            return AnswerTotals()
        return AnswerTotals(
            n_bytes=stream.n_bytes, digest=stream.answer_hash.hexdigest()
        )

    def replay_cached(self, request_id: str, answer: CachedAnswer) -> None:
        """Forward a cached answer as the answer to a request."""
        stream = self._streams.get(request_id)
        if stream is None or stream.has_begun:
            return
        stream.has_begun = True
        stream.chunks = None
        stream.sink.begin(answer.status, answer.content_type)
        self._forward(stream, answer.content)

    def close_request(self, request_id: str, *, is_complete: bool = False) -> None:
        """Remove a request, after which its chunks are dropped.

        Parameters
        ----------
        request_id : str
            ID of the request.
        is_complete : bool, default=False
            Whether the answer is complete and may be cached.
        """
        stream = self._streams.pop(request_id, None)
        if stream is None:
            return
        self._streams_by_id.pop(stream.stream_id, None)
        if is_complete and stream.chunks is not None:
            answer = CachedAnswer(
                status=stream.status,
                content_type=stream.content_type,
                content=b"".join(stream.chunks),
                digest=stream.answer_hash.hexdigest(),
            )
            self._answer_cache.put(request_id, answer)

    @staticmethod
    def _restart(stream: _Stream) -> None:
        if not stream.sink.restart():
            stream.is_corrupt = stream.n_bytes > 0
            return
        stream.is_corrupt = False
        stream.n_bytes = 0
        stream.answer_hash = xxhash.xxh3_128()
        stream.has_begun = False
        if stream.chunks is not None:
            stream.chunks = []

    @staticmethod
    def _matches(stream: _Stream, n_bytes: int, digest: str) -> bool:
        if stream.has_gap:
            return False
        if n_bytes != stream.n_stream_bytes:
            return False
        return digest == stream.attempt_hash.hexdigest()

    @staticmethod
    def _forward(stream: _Stream, data: bytes) -> None:
        stream.n_bytes += len(data)
        stream.answer_hash.update(data)
        if stream.chunks is not None:
            stream.chunks.append(data)
        stream.sink.write(data)
