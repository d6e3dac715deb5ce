"""Reading of one request at a time from a caller's connection."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import h11

from damaskrill.http1._caller_memory import COUNTED_BYTES, N_COPIES, CallerMemory
from damaskrill.http1._read_gate import ReadGate
from damaskrill.limits import EVENTS_PER_TURN, body_time_left_ms
from damaskrill.utils import monotonic_now_ms

if TYPE_CHECKING:
    from damaskrill.http1._caller_factory import CallerConnectionFactory

__all__ = ["RequestReader"]

# Bytes sent ahead while a request is being answered, after which the others wait in the
# socket: in calm, and if memory is short. Less is read on, so that the end of the
# connection is noticed.
MAX_AHEAD_BYTES = 262_144
SHORT_AHEAD_BYTES = 4_096
# Parts that are parsed as they arrive; an ordinary request has about five. Many
# connections may have bytes in one iteration of the event loop; the rest has turns.
FIRST_PARTS = 16


class RequestReader:
    """Parses received bytes within the caller's limits and the memory of the process.

    Parameters
    ----------
    http : h11.Connection
        Parser of the connection.
    factory : CallerConnectionFactory
        Factory with the limits and the state that all connections share.
    transport : object
        Transport of the connection.
    memory : CallerMemory
        What the connection keeps.
    may_parse : callable
        Returns whether the connection can take a request.
    handle_end : callable
        Called with the head and body of a complete request.
    refuse : callable
        Called with the status of a request that is not read on.
    wait : callable
        Called with the longest time until further bytes in milliseconds.
    wait_no_longer : callable
        Called when that time does not count any more.
    """

    def __init__(
        self,
        *,
        http: h11.Connection,
        factory: "CallerConnectionFactory",
        transport: Any,
        memory: CallerMemory,
        may_parse: Callable[[], bool],
        handle_end: Callable[[h11.Request, bytes], None],
        refuse: Callable[[int], None],
        wait: Callable[[float], None],
        wait_no_longer: Callable[[], None],
    ) -> None:
        self._http = http
        self._factory = factory
        self._memory = memory
        self._gate = ReadGate(transport)
        self._abort = transport.abortConnection
        self._may_parse = may_parse
        self._handle_end = handle_end
        self._refuse = refuse
        self._wait = wait
        self._wait_no_longer = wait_no_longer
        self._is_parsing = False
        self._is_in_turn = False
        self._is_discarding = False
        # Whether a body is complete that waits for the memory to be sent.
        self._is_complete = False
        self._head_limit_at_ms: float | None = None
        self.head: h11.Request | None = None
        self.head_at_ms = 0.0

    @property
    def n_unparsed(self) -> int:
        """Bytes that were received and not parsed."""
        # The public attribute copies them.
        return len(self._http._receive_buffer)

    @property
    def is_reading(self) -> bool:
        """Whether a request has been received in part."""
        return self.head is not None or self.n_unparsed > 0

    @property
    def is_held(self) -> bool:
        """Whether the router itself does not read on at the moment."""
        return self._is_in_turn or self._memory.is_waiting

    def feed(self, data: bytes) -> None:
        """Take received bytes."""
        self._http.receive_data(data)
        if self.is_held or not self._may_parse():
            self._keep_ahead()
        else:
            self._parse()

    def await_next(self) -> None:
        """Read the next request, after the last one was answered."""
        self.head = None
        if self._is_parsing:
            return
        if self.n_unparsed:
            self._parse()
        elif not self._gate.is_open:
            self._read_on()

    def go_on(self) -> None:
        """Parse on as the next one, after the body has waited for memory."""
        self._queue_turn(is_first=True)

    def _queue_turn(self, *, is_first: bool) -> None:
        self._is_in_turn = True
        self._factory.shared.turns.add(self._take_turn, is_first=is_first)

    def discard(self) -> None:
        """Parse no longer; what follows is only received."""
        self._is_discarding = True
        self.head = None
        self._drop_unparsed()
        self._gate.open()

    def end(self) -> None:
        """Forget what was received, after the connection has ended."""
        self._is_discarding = True
        self._drop_unparsed()

    def _drop_unparsed(self) -> None:
        self._is_in_turn = False
        self._factory.shared.turns.discard(self._take_turn)
        # The connection is garbage that only a full collection finds.
        self._http._receive_buffer.maybe_extract_at_most(self.n_unparsed)

    def _take_turn(self) -> None:
        self._is_in_turn = False
        if not self._memory.is_waiting and self._may_parse():
            try:
                if self._is_complete and self.head is not None:
                    self._is_complete = False
                    self._handle_end(self.head, self._memory.take())
                    self._keep_ahead()
                else:
                    self._parse(EVENTS_PER_TURN)
            except BaseException:
                # Twisted does so for an error in what it calls itself.
                self._abort()
                raise

    def _parse(self, n_parts: int = FIRST_PARTS) -> None:
        self._is_parsing = True
        try:
            for _ in range(n_parts):
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._wait_for_more()
                    return
                if not self._handle_event(event):
                    self._keep_ahead()
                    return
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint or 400)
            return
        finally:
            self._is_parsing = False
        self._queue_turn(is_first=False)
        self._keep_ahead()

    def _keep_ahead(self) -> None:
        if self._is_discarding:
            return
        n_unparsed = self.n_unparsed
        if self.is_held or (
            n_unparsed > SHORT_AHEAD_BYTES
            and (n_unparsed > MAX_AHEAD_BYTES or not self._memory.has_room)
        ):
            self._gate.close()
            self._memory.note_ahead(n_unparsed, is_paused=True)
        else:
            self._read_on()

    def _read_on(self) -> None:
        self._memory.note_ahead(self.n_unparsed)
        self._gate.open()

    def _wait_for_more(self) -> None:
        if not self._gate.is_open:
            self._read_on()
        if self._is_discarding:
            return
        limits, now_ms = self._factory.limits, monotonic_now_ms()
        if self.head is not None:
            left_ms = body_time_left_ms(
                elapsed_ms=now_ms - self.head_at_ms - self._memory.waited_ms,
                n_received=self._memory.n_body_bytes,
                idle_timeout_ms=limits.idle_timeout_ms,
            )
            if left_ms > 0:
                self._wait(left_ms)
            else:
                self._refuse(408)
        elif self.n_unparsed:
            if self._head_limit_at_ms is None:
                self._head_limit_at_ms = now_ms + limits.header_timeout_ms
            self._wait(max(0.0, self._head_limit_at_ms - now_ms))

    def _handle_event(self, event: Any) -> bool:
        """Handle a parsed part; return whether to parse on."""
        match event:
            case h11.Request():
                return self._handle_head(event)
            case h11.Data():
                n_bytes = self._memory.n_body_bytes + len(event.data)
                if n_bytes > self._factory.limits.max_body_bytes:
                    self._refuse(413)
                    return False
                data = event.data
                self._memory.append(
                    data if isinstance(data, bytearray) else bytearray(data)
                )
            case h11.EndOfMessage() if self.head is not None:
                self._is_complete = not self._memory.complete()
                if not self._is_complete:
                    self._handle_end(self.head, self._memory.take())
        return not self._memory.is_waiting and self._may_parse()

    def _handle_head(self, head: h11.Request) -> bool:
        self.head = head
        self.head_at_ms = monotonic_now_ms()
        self._head_limit_at_ms = None
        self._wait_no_longer()
        length, is_chunked = -1, False
        for name, value in head.headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                is_chunked = True
        if length >= 0 and is_chunked:
            # The next hop may interpret two framings differently, which allows request
            # smuggling.
            self._refuse(400)
            return False
        if length > self._factory.limits.max_body_bytes:
            self._refuse(413)
            return False
        self._memory.note_head(len(head.headers))
        if not self._may_parse():
            return False
        if length * N_COPIES <= COUNTED_BYTES:
            return True
        self._memory.announce(length)
        return not self._memory.is_waiting and self._may_parse()
