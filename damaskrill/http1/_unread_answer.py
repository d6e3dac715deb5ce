"""Wait until a caller has read its answer."""

from collections.abc import Callable
from typing import Any

from damaskrill.http1._transport import count_unsent_bytes, is_flushed

__all__ = ["UnreadAnswer"]


class UnreadAnswer:
    """Watches how a transport's buffer is emptied.

    Parameters
    ----------
    transport : object
        Transport that has unsent bytes.
    call_later : callable
        Schedules a call after a delay in milliseconds.
    timeout_ms : float
        Longest time in which the caller reads nothing.
    handle_read, handle_stall : callable
        Called once when the buffer is empty, or when the caller has stopped reading.

    Notes
    -----
    It is a pull producer of Twisted, which is called whenever the buffer is empty.
    """

    def __init__(
        self,
        *,
        transport: Any,
        call_later: Callable[[float, Callable[[], None]], Any],
        timeout_ms: float,
        handle_read: Callable[[], None],
        handle_stall: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._call_later = call_later
        self._timeout_ms = timeout_ms
        self._handle_read = handle_read
        self._handle_stall = handle_stall
        self._n_unsent = count_unsent_bytes(transport)
        self._timer: Any = call_later(timeout_ms, self._check)
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Report the end if nothing is left to send."""
        if is_flushed(self._transport):
            self.cancel()
            self._transport.unregisterProducer()
            self._handle_read()

    def pauseProducing(self) -> None:
        """Do nothing; there is nothing to produce."""

    def stopProducing(self) -> None:
        """Stop with the connection."""
        self.cancel()

    def cancel(self) -> None:
        """Watch no longer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        n_unsent = count_unsent_bytes(self._transport)
        if n_unsent < self._n_unsent:
            self._n_unsent = n_unsent
            self._timer = self._call_later(self._timeout_ms, self._check)
        else:
            self._timer = None
            self._handle_stall()
