"""HTTP listener that the stand-ins share."""

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
    """Listens on loopback and hands whole requests on.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    handle : callable
        Takes a connection and its request.
    host : str
        Address on loopback.
    port : int, default=0
        Port; any free one if 0.
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
        """Close the port and all connections."""
        self._port.stopListening()
        for connection in list(self.factory.connections):
            connection.abort()

    def reset_connections(self) -> None:
        """Break all connections off."""
        for connection in list(self.factory.connections):
            connection.abort()
