"""What one connection of a caller keeps in memory."""

from collections.abc import Callable
from typing import Any

from damaskrill.http1._transport import count_unsent_bytes
from damaskrill.limits import Eviction, Hold, MemoryAccount
from damaskrill.utils import monotonic_now_ms

__all__ = ["COUNTED_BYTES", "N_COPIES", "CallerMemory"]

# A body is held once as received and once as it is sent to a server.
N_COPIES = 2
# Objects of one header in the parser and in the request. Ordinary heads have some 30
# headers at most, which the fixed cost of a connection covers.
HEADER_BYTES = 256
ORDINARY_HEADERS = 32
# Less than this is covered by the fixed cost of a connection.
COUNTED_BYTES = 8_192
# Unread bytes in a socket that is not read count as memory on the platform.
SOCKET_BYTES = 65_536
# Space that a chunked body asks for first; it asks for twice as much each further time.
FIRST_STEP_BYTES = 131_072


class CallerMemory:
    """Body of the request, requests sent ahead and unread answer of one connection.

    Parameters
    ----------
    account : MemoryAccount
        Account of the process.
    transport : object
        Transport of the connection.
    evict : callable
        Called with the reason when the memory must be given up.
    go_on : callable
        Called when the body that has waited may be read on.
    review : callable
        Called when a body begins to wait, or when others wait and memory is free.
    idle_timeout_ms : float
        Longest time without a byte of the caller.
    """

    def __init__(
        self,
        *,
        account: MemoryAccount,
        transport: Any,
        evict: Callable[[Eviction], None],
        go_on: Callable[[], None],
        review: Callable[[], None],
        idle_timeout_ms: float = 15_000.0,
    ) -> None:
        self._account = account
        self._transport = transport
        self._go_on = go_on
        self._review = review
        self._hold = Hold(evict=evict, patience_ms=idle_timeout_ms)
        self._body = bytearray()
        self._n_reserved = self._n_asked = 0
        self._n_ahead = 0
        self._n_unread = self._n_head = 0
        self._is_running = False
        self._waits_since_ms = 0.0
        # Time that the body has waited for memory, in milliseconds.
        self.waited_ms = 0.0

    @property
    def n_body_bytes(self) -> int:
        """Bytes of the body so far."""
        return len(self._body)

    @property
    def has_room(self) -> bool:
        """Whether more may be read than is needed now."""
        return self._account.has_room

    @property
    def is_waiting(self) -> bool:
        """Whether the body waits for memory."""
        return self._hold.n_wanted > 0

    def note_head(self, n_headers: int) -> None:
        """Count the headers of a request, if they are many."""
        if n_headers > ORDINARY_HEADERS:
            if not self._hold.n_bytes:
                self._hold.begin(monotonic_now_ms())
            self._n_head = n_headers * HEADER_BYTES
            self._update()

    def announce(self, n_bytes: int) -> None:
        """Ask for the space of a body that counts, and whose length is known."""
        self._hold.begin(monotonic_now_ms())
        self._hold.n_later = n_bytes * (N_COPIES - 1)
        self._reserve(n_bytes)

    def append(self, data: bytearray) -> None:
        """Add bytes of the body, and ask for more space if it is longer.

        Notes
        -----
        The first ones are kept as they are, without a copy: most bodies come at once.
        """
        if self._body:
            self._body += data
        else:
            self._body = data
        n_needed = len(self._body)
        if self._n_reserved:
            self._hold.record_received(len(data), monotonic_now_ms())
        if n_needed > max(COUNTED_BYTES // N_COPIES, self._n_reserved):
            if not self._n_reserved:
                self._hold.begin(monotonic_now_ms())
            step = max(FIRST_STEP_BYTES, 2 * self._n_reserved)
            self._reserve(max(n_needed, step))

    def complete(self) -> bool:
        """Ask for the second copy of the body; return whether it has room now."""
        n_needed = len(self._body) * N_COPIES
        if n_needed > max(FIRST_STEP_BYTES, self._n_reserved):
            self._reserve(n_needed)
        return not self.is_waiting

    def take(self) -> bytes:
        """Return the complete body, which is kept while the request is served."""
        # What counts now or is sent ahead meanwhile does not end a running request.
        self._hold.is_evictable = False
        self._is_running = True
        if not self._body:
            return b""
        body, self._body = bytes(self._body), bytearray()
        if self._n_reserved:
            n_needed = len(body) * N_COPIES
            if n_needed != self._n_reserved:
                self._n_reserved = n_needed
                self._update()
        return body

    def note_ahead(self, n_bytes: int, *, is_paused: bool = False) -> None:
        """Set the bytes that were received and not parsed, or wait in the socket."""
        if n_bytes <= COUNTED_BYTES:
            n_bytes = 0
        if is_paused:
            n_bytes += SOCKET_BYTES
        if is_paused is not self._hold.is_paused:
            self._hold.is_paused = is_paused
            self._hold.resume(monotonic_now_ms())
        if n_bytes != self._n_ahead:
            if not self._hold.n_bytes:
                self._hold.begin(monotonic_now_ms())
            self._n_ahead = n_bytes
            self._update()

    def note_unread(self) -> None:
        """Count what the caller has not read of its answer."""
        if self._hold.measure is None:
            self._hold.begin(monotonic_now_ms())
            self._hold.measure = self._measure
        self._hold.is_evictable = True
        self._n_unread = count_unsent_bytes(self._transport)
        self._update()

    def release(self) -> None:
        """Give all back."""
        if self._body:
            self._body = bytearray()
        hold = self._hold
        if hold.n_bytes or hold.n_wanted:
            self._account.release(hold)
            if self._account.n_waiting:
                self._review()
        hold.is_evictable = True
        self._is_running = False
        if hold.measure is not None or hold.is_paused or hold.n_later or self._n_all:
            hold.measure = None
            hold.is_paused = False
            hold.n_later = 0
            self._n_reserved = self._n_ahead = self._n_unread = self._n_head = 0
        self.waited_ms = 0.0

    @property
    def _n_all(self) -> int:
        return self._n_reserved + self._n_ahead + self._n_unread + self._n_head

    def _grant(self) -> None:
        self.waited_ms += monotonic_now_ms() - self._waits_since_ms
        self._n_reserved = self._n_asked
        self._go_on()

    def _measure(self) -> int:
        self._n_unread = count_unsent_bytes(self._transport)
        if not self._n_unread and self._is_running:
            self._hold.is_evictable = False
            self._hold.measure = None
        return self._n_all

    def _reserve(self, n_bytes: int) -> None:
        n_all = n_bytes + self._n_all - self._n_reserved
        now_ms = monotonic_now_ms()
        if n_bytes <= FIRST_STEP_BYTES:
            self._n_reserved = n_bytes
            self._account.charge(self._hold, n_all, now_ms)
        elif self._account.request(self._hold, n_all, now_ms, self._grant):
            self._n_reserved = n_bytes
        else:
            self._n_asked = n_bytes
            self._waits_since_ms = now_ms
            self._review()

    def _update(self) -> None:
        self._account.charge(self._hold, self._n_all, monotonic_now_ms())
