"""Pool of connections to backend servers, by incarnation."""

import math
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import frozen

from damaskrill.http1._server import ServerConnection, connect
from damaskrill.utils import monotonic_now_ms

__all__ = ["PoolLimits", "ServerPool"]

ServerKey = tuple[str, int]


@frozen(kw_only=True)
class PoolLimits:
    """Limits of the pool.

    Parameters
    ----------
    connect_timeout_ms : int
        Connect timeout in milliseconds. Servers accept within a few milliseconds, so
        a short timeout detects unreachable servers early.
    """

    connect_timeout_ms: int = 350


class ServerPool:
    """Pool of idle connections by incarnation, last in, first out.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    limits : PoolLimits
        Limits of the pool.
    may_keep : callable, default=None
        Returns whether idle connections to an incarnation are kept; all are if None.

    Notes
    -----
    An address may be reassigned to another server, so connections are never pooled by
    address.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        limits: PoolLimits | None = None,
        may_keep: Callable[[ServerKey], bool] | None = None,
    ) -> None:
        self._reactor = reactor
        self._may_keep = may_keep or _keep_all
        self._limits = limits or PoolLimits()
        self._idle: dict[ServerKey, deque[ServerConnection]] = {}
        self._n_opened = 0

    @property
    def n_opened(self) -> int:
        """Number of connections opened so far."""
        return self._n_opened

    def acquire_idle(
        self, key: ServerKey, *, request_id: str = "", may_repeat: bool = True
    ) -> ServerConnection | None:
        """Return an idle connection that the server has not closed, or None.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        request_id : str, default=""
            ID of the request to send. A connection that has carried it is not used: a
            late copy of the former answer could not be told from the answer.
        may_repeat : bool, default=True
            Whether the request may run more than once. Otherwise a connection that has
            carried a refusal without an ID is closed: a late copy of it would say that
            the request has not run.
        """
        now_ms = monotonic_now_ms()
        idle = self._idle.get(key, deque())
        spared = deque[ServerConnection]()
        found = None
        while idle and found is None:
            connection = idle.pop()
            if not connection.is_open:
                continue
            is_old = now_ms - connection.idle_since_ms >= connection.idle_limit_ms
            if is_old or (connection.has_unnamed_refusal and not may_repeat):
                connection.abort()
            elif request_id and connection.has_carried(request_id):
                spared.appendleft(connection)
            else:
                found = connection
        idle.extend(spared)
        return found

    async def open(
        self, key: ServerKey, address: tuple[str, int], *, limit_ms: float = math.inf
    ) -> ServerConnection:
        """Open a connection to an incarnation.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        address : tuple of (str, int)
            Its address.
        limit_ms : float, default=math.inf
            Time after which the connection is not needed any more, in milliseconds.

        Raises
        ------
        OSError
            If the connection cannot be opened in time.
        """
        timeout_ms = math.ceil(min(self._limits.connect_timeout_ms, limit_ms))
        connection = await connect(self._reactor, address, timeout_ms)
        self._n_opened += 1

        connection.opened_at_ms = connection.idle_since_ms = monotonic_now_ms()

        def release(idle: ServerConnection) -> None:
            if idle.is_last or not self._may_keep(key):
                idle.close()
                return
            idle.idle_since_ms = monotonic_now_ms()
            self._idle.setdefault(key, deque()).append(idle)

        connection.on_idle = release
        return connection

    def release(self, key: ServerKey, connection: ServerConnection) -> None:
        """Return an open connection that was not used for an exchange.

        Notes
        -----
        The server has counted its idle time on.
        """
        if connection.is_open and self._may_keep(key):
            self._idle.setdefault(key, deque()).append(connection)
        else:
            connection.abort()

    def close_idle(self, key: ServerKey) -> None:
        """Close the idle connections to an incarnation that gets no new requests."""
        for connection in self._idle.pop(key, ()):
            connection.abort()

    def keys(self) -> list[ServerKey]:
        """Return the incarnations with idle connections."""
        return list(self._idle)


def _keep_all(key: ServerKey) -> bool:
    return True
