"""Factory of callers' connections, and the state that they share."""

from collections.abc import Callable
from typing import Any

from attrs import define
from twisted.internet.protocol import Factory

from damaskrill.catalog import CallerLimits
from damaskrill.http1._caller import CallerConnection
from damaskrill.http1._messages import CallerRequest
from damaskrill.limits import CallerGuard

__all__ = ["CallerConnectionFactory"]

MS_PER_S = 1_000


@define(kw_only=True, eq=False)
class CallerConnectionFactory(Factory):
    """Factory and shared state of callers' connections.

    Parameters
    ----------
    loop : object
        Event loop.
    handle : callable
        Called with a connection and its complete request.
    report : callable
        Called with an event name and its fields.
    guard : CallerGuard, default=None
        Bounds that these connections share with others; bounds of their own if None.
    """

    loop: Any
    handle: Callable[[CallerConnection, CallerRequest], None]
    report: Callable[..., None]
    limits: CallerLimits
    is_stopping: bool = False
    connections: set[CallerConnection]
    guard: CallerGuard | None = None

    noisy = False

    @property
    def shared(self) -> CallerGuard:
        """Bounds that these connections share."""
        if self.guard is None:
            self.guard = CallerGuard(loop=self.loop, report=self.report)
        return self.guard

    def buildProtocol(self, addr: Any) -> CallerConnection | None:
        """Return the protocol of a new connection; None closes it at once."""
        if self.shared.make_room(self.connections):
            return CallerConnection(self)
        self.shared.record("caller_dropped", "new")
        return None

    def handle_request(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Pass a complete request to the handler."""
        self.handle(connection, request)

    def log_refusal(self, status: int, cause: str) -> None:
        """Report a request that violates the protocol or the limits."""
        if cause:
            self.shared.record("caller_rejected", cause, status=status, cause=cause)
        else:
            self.shared.record("request_unreadable", str(status), status=status)

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> Any:
        """Schedule a call after a delay."""
        return self.loop.call_later(delay_ms / MS_PER_S, action)
