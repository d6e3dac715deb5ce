"""HTTP listener shared by the fakes of the platform."""

import asyncio
from collections.abc import Callable
from typing import Any

from damaskrill.catalog import CallerLimits
from damaskrill.http1 import CallerConnection, CallerConnectionFactory, CallerRequest

__all__ = ["Listener"]

LIMITS = CallerLimits(
    max_body_bytes=10_000_000, header_timeout_ms=30_000, idle_timeout_ms=30_000
)


class Listener:
    """HTTP listener on loopback that dispatches complete requests.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    handle : callable
        Called with a connection and its request.
    host : str
        Loopback address.
    port : int, default=0
        Port; if 0, an ephemeral one.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        handle: Callable[[CallerConnection, CallerRequest], None],
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.factory = CallerConnectionFactory(
            loop=asyncio.get_running_loop(),
            handle=handle,
            report=lambda event, **fields: None,
            limits=LIMITS,
            connections=set(),
        )
        self._port = reactor.listenTCP(port, self.factory, interface=host)
        self.address: tuple[str, int] = (host, self._port.getHost().port)

    def close(self) -> None:
        """Close the port and abort all connections."""
        self._port.stopListening()
        for connection in list(self.factory.connections):
            connection.abort()

    def reset_connections(self) -> None:
        """Abort all connections."""
        for connection in list(self.factory.connections):
            connection.abort()
