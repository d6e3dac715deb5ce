"""One attempt of a request at one backend server, and its result."""

import asyncio
import math
from collections.abc import Callable

from attrs import frozen

from damaskrill.gateway._buffers import MAX_ANSWER_BYTES, AnswerBuffer
from damaskrill.gateway._events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    parse_first_event_id,
    parse_last_event_id,
)
from damaskrill.http1 import (
    AnswerHead,
    AnswerSink,
    CallerConnection,
    ExchangeFailure,
    Headers,
    InvalidAnswerError,
    forwarded_headers,
)
from damaskrill.steering import AnswerMetadata, ServerLoad
from damaskrill.utils import monotonic_now_ms

__all__ = [
    "Attempt",
    "AttemptResult",
    "BadAnswer",
    "Broken",
    "CompleteAnswer",
    "NotRun",
    "Stalled",
    "StreamEnded",
    "StreamProgress",
]

EVENT_STREAM = b"text/event-stream"
STATUS_OK = 200
STATUS_MULTIPLE = 300
MS_PER_S = 1_000


@frozen(kw_only=True)
class CompleteAnswer:
    """Complete answer from the server."""

    head: AnswerHead
    body: bytes


@frozen(kw_only=True)
class StreamEnded:
    """Stream that has been forwarded to its end."""


@frozen(kw_only=True)
class NotRun:
    """Answer stating that the server has not run the request.

    Parameters
    ----------
    status : int
        Status of its answer.
    is_other_server : bool
        Whether a server other than the selected one answered.
    pause_ms : float or None
        Time for which the server wants no requests, in milliseconds.
    """

    status: int
    is_other_server: bool = False
    pause_ms: float | None = None


@frozen(kw_only=True)
class BadAnswer:
    """Answer that must not be forwarded; the request may have run."""

    reason: str
    is_cut: bool = False


@frozen(kw_only=True)
class Broken:
    """Failure without a complete answer; the request may have run."""

    failure: ExchangeFailure


@frozen(kw_only=True)
class Stalled:
    """No progress for a while; the attempt is held while another server is tried.

    Parameters
    ----------
    idle_ms : float
        Time without progress, in milliseconds.
    """

    idle_ms: float


AttemptResult = CompleteAnswer | StreamEnded | NotRun | BadAnswer | Broken | Stalled


class StreamProgress:
    """Part of a stream that has been sent to the caller, over all attempts.

    Parameters
    ----------
    connection : CallerConnection
        The caller's connection.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._has_begun = False
        self._last_id: int | None = None
        self._first_at_ms: float | None = None
        self._sent_at_ms = 0.0
        self._longest_pause_ms = 0.0

    @property
    def first_at_ms(self) -> float | None:
        """Monotonic time at which the first events were sent, in milliseconds."""
        return self._first_at_ms

    @property
    def sent_at_ms(self) -> float:
        """Monotonic time at which the last events were sent; 0 if none were."""
        return self._sent_at_ms

    @property
    def longest_pause_ms(self) -> float:
        """Longest time between two events, in milliseconds."""
        return self._longest_pause_ms

    @property
    def has_begun(self) -> bool:
        """Whether the head has been sent."""
        return self._has_begun

    @property
    def last_id(self) -> int | None:
        """Identifier of the last event that was sent."""
        return self._last_id

    def send(self, head: AnswerHead, data: bytes) -> None:
        """Send complete events, preceded by the head if they are the first."""
        if not self._has_begun:
            self._has_begun = True
            self._connection.begin_stream(head.status, forwarded_headers(head.headers))
        self._connection.send_chunk(data)
        self._record_send_time()
        event_id = parse_last_event_id(data)
        if event_id is not None:
            self._last_id = event_id

    def _record_send_time(self) -> None:
        now_ms = monotonic_now_ms()
        if self._first_at_ms is None:
            self._first_at_ms = now_ms
        else:
            pause_ms = now_ms - self._sent_at_ms
            self._longest_pause_ms = max(self._longest_pause_ms, pause_ms)
        self._sent_at_ms = now_ms

    def send_to_router(self, data: bytes) -> None:
        """Send what only the router that passes the stream on reads."""
        self._connection.send_chunk(data)

    def end(self, head: AnswerHead) -> None:
        """End the answer as complete."""
        if not self._has_begun:
            self._has_begun = True
            headers: Headers = forwarded_headers(head.headers)
            self._connection.begin_stream(head.status, headers)
        self._connection.end_stream()


class Attempt(AnswerSink):
    """Receiver of the answer to one request.

    Parameters
    ----------
    request_id : str
        Identifier that the answer must carry.
    read_answer : callable
        Extracts metadata from the headers.
    progress : StreamProgress or None
        Forwards events to the caller; None if the request is not for a stream.
    on_metadata : callable
        Handles the metadata of the answer as soon as its headers have been received.
    on_forward : callable
        Called with events of the answer before they are forwarded to the caller.
    buffer : AnswerBuffer
        Holds an answer other than a stream until it is complete, so that an incomplete
        one never looks complete to the caller.
    read_events : callable, default=None
        Removes what a router has added to the events; they are the server's own by
        default.

    Attributes
    ----------
    done : asyncio.Future
        Result of the attempt.
    accepted : asyncio.Future
        Done when the head of a successful answer to this request has been received.
    revived : asyncio.Future
        Done when a held attempt has received events or a successful answer.
    progress_at : float
        Time of the last progress, on the clock of the event loop in seconds.

    Notes
    -----
    A held attempt keeps what it receives instead of forwarding it, so that two attempts
    at the same stream never forward events at the same time. The limits on an answer's
    size hold for it too.
    """

    def __init__(
        self,
        *,
        request_id: str,
        read_answer: Callable[[AnswerHead], AnswerMetadata],
        progress: StreamProgress | None,
        on_metadata: Callable[[AnswerMetadata], None],
        on_forward: Callable[[bytes], None],
        buffer: AnswerBuffer,
        read_events: Callable[[bytes], bytes] | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._loop = loop
        self.done: asyncio.Future[AttemptResult] = loop.create_future()
        self.accepted: asyncio.Future[None] = loop.create_future()
        self.revived: asyncio.Future[None] = loop.create_future()
        self._is_held = False
        self._held_events = bytearray()
        self._held_result: AttemptResult | None = None
        self._request_id = request_id
        self._read_answer = read_answer
        self._progress = progress
        self._on_metadata = on_metadata
        self._on_forward = on_forward
        self._head: AnswerHead | None = None
        self._metadata = AnswerMetadata()
        self._splitter: EventSplitter | None = None
        self._buffer = buffer
        self._read_events = read_events
        self._n_stream_bytes = 0
        self._n_unnumbered_bytes = 0
        # Numbers go on from those of former attempts; the first one may be 0.
        last_id = None if progress is None else progress.last_id
        self._highest_id = -1 if last_id is None else last_id
        self.progress_at = loop.time()
        self._head_at = math.inf
        self._first_event_at = math.inf

    @property
    def has_head(self) -> bool:
        """Whether status and headers have been received."""
        return self._head is not None

    @property
    def is_answered(self) -> bool:
        """Whether the selected server itself has begun to answer this request."""
        return (
            self.has_head
            and not self._metadata.is_other_server
            and not self._is_foreign
        )

    @property
    def stated_load(self) -> ServerLoad | None:
        """Load that the selected server states in its answer; None if it does not."""
        return self._metadata.load if self.is_answered else None

    @property
    def is_success(self) -> bool:
        """Whether the head of a successful answer to this request was received."""
        return self.accepted.done()

    @property
    def begun_ms(self) -> float | None:
        """Time since the answer's head in milliseconds; None before it."""
        return self._elapsed_ms(self._head_at)

    @property
    def first_event_ms(self) -> float | None:
        """Time since the stream's first event in milliseconds; None before it."""
        return self._elapsed_ms(self._first_event_at)

    @property
    def has_ended(self) -> bool:
        """Whether the exchange with the server is over."""
        return self.done.done() or self._held_result is not None

    def hold(self) -> None:
        """Keep received events until `release` is called."""
        self._is_held = True

    def release(self) -> None:
        """Forward what has been received since `hold`, and all that follows."""
        self._is_held = False
        events, self._held_events = bytes(self._held_events), bytearray()
        if events:
            self._forward(events)
        if self._held_result is not None and not self.done.done():
            self._finish(self._held_result)

    @property
    def _is_foreign(self) -> bool:
        # A server may send a second copy of an earlier answer on the connection, which
        # says nothing about this request, not even that it has not run.
        answered = self._metadata.request_id
        return answered is not None and answered != self._request_id

    def handle_head(self, head: AnswerHead) -> None:
        """Handle status and headers.

        Raises
        ------
        InvalidAnswerError
            If they show that the body is of no use.
        """
        self.progress_at = self._head_at = self._loop.time()
        self._head = head
        self._metadata = metadata = self._read_answer(head)
        if not self._is_foreign:
            self._on_metadata(metadata)
            self._refuse_useless_body()
        is_success = STATUS_OK <= head.status < STATUS_MULTIPLE
        if self._progress is not None and is_success:
            content_type = head.find_header(b"content-type") or b""
            if content_type.startswith(EVENT_STREAM) and not self._find_fault():
                self._splitter = EventSplitter()
        if is_success and not metadata.is_not_run and not self._find_fault():
            _set_done(self.accepted)

    def handle_data(self, data: bytes) -> None:
        """Handle a chunk of the body.

        Raises
        ------
        InvalidAnswerError
            If the answer is too large, or a stream has no more numbered events, or
            repeats some.
        """
        if self._splitter is not None and self._progress is not None:
            self._n_stream_bytes += len(data)
            if self._n_stream_bytes > MAX_ANSWER_BYTES:
                raise InvalidAnswerError(reason=f"it exceeds {MAX_ANSWER_BYTES} bytes")
            events = self._splitter.feed(data)
            if self._read_events is not None:
                events = self._read_events(events)
            if events and not self.done.done():
                self._check_progress(events)
                # Only complete events count as progress: a stalled server may still
                # send a byte now and then.
                self.progress_at = self._loop.time()
                self._first_event_at = min(self._first_event_at, self.progress_at)
                self._forward(events)
                self._check_numbers(events)
            return
        self.progress_at = self._loop.time()
        self._buffer.append(data)

    def _forward(self, events: bytes) -> None:
        if self._is_held:
            self._held_events += events
            _set_done(self.revived)
        elif self._progress is not None and self._head is not None:
            self._on_forward(events)
            self._progress.send(self._head, events)

    def handle_end(self) -> None:
        """Handle the end of a complete answer."""
        if self.done.done():
            return
        result = self._build_result()
        if self._is_held and _is_success(result):
            self._held_result = result
            _set_done(self.revived)
        else:
            self._finish(result)

    def _finish(self, result: AttemptResult) -> None:
        if isinstance(result, StreamEnded) and self._progress and self._head:
            self._progress.end(self._head)
        self.done.set_result(result)

    def handle_failure(self, failure: ExchangeFailure) -> None:
        """Handle a failure of the exchange."""
        self._buffer.clear()
        if not self.done.done():
            self.done.set_result(Broken(failure=failure))

    def _check_progress(self, events: bytes) -> None:
        # Otherwise the caller would get a part of its stream twice.
        first_id = parse_first_event_id(events)
        if first_id is not None and first_id <= self._highest_id:
            raise InvalidAnswerError(reason=f"its events go back to {first_id}")

    def _check_numbers(self, events: bytes) -> None:
        # The events' numbers increase; others, such as comments, are few.
        self._n_unnumbered_bytes += len(events)
        last_id = parse_last_event_id(events)
        if last_id is not None and last_id > self._highest_id:
            self._highest_id = last_id
            self._n_unnumbered_bytes = 0
        if self._n_unnumbered_bytes > MAX_EVENT_BYTES:
            raise InvalidAnswerError(reason="its events have no new numbers")

    def _elapsed_ms(self, since: float) -> float | None:
        return None if math.isinf(since) else (self._loop.time() - since) * MS_PER_S

    def _build_result(self) -> AttemptResult:
        head = self._head
        if head is None:
            return BadAnswer(reason="answer has no head")
        if self._metadata.is_not_run and not self._is_foreign:
            return NotRun(
                status=head.status,
                is_other_server=self._metadata.is_other_server,
                pause_ms=self._metadata.pause_ms,
            )
        fault = self._find_fault()
        if fault:
            return BadAnswer(reason=fault)
        if self._splitter is not None and self._progress is not None:
            if self._splitter.remainder:
                reason = "stream ends in the middle of an event"
                return BadAnswer(reason=reason, is_cut=True)
            return StreamEnded()
        if self._buffer.is_dropped:
            return BadAnswer(reason="no memory is left for an answer so large")
        return CompleteAnswer(head=head, body=self._buffer.take())

    def _refuse_useless_body(self) -> None:
        # The server has answered, so that ending the exchange interrupts no work.
        fault = "" if self._metadata.is_not_run else self._find_fault()
        if fault:
            if not self.done.done():
                self.done.set_result(BadAnswer(reason=fault))
            raise InvalidAnswerError(reason=fault)

    def _find_fault(self) -> str:
        head, metadata = self._head, self._metadata
        if head is None:
            return "answer has no head"
        if self._is_foreign:
            return "answer belongs to another request"
        if STATUS_OK <= head.status < STATUS_MULTIPLE:
            if not metadata.is_sealed:
                return "success status without the server's proof of origin"
            if metadata.is_encoded:
                return "body has a content encoding"
        return ""


def _is_success(result: AttemptResult) -> bool:
    match result:
        case StreamEnded():
            return True
        case CompleteAnswer(head=head):
            return STATUS_OK <= head.status < STATUS_MULTIPLE
        case _:
            return False


def _set_done(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)
