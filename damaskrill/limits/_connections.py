"""Bound on the connections of callers."""

import math
from collections import deque
from collections.abc import Collection
from typing import Protocol

__all__ = ["BoundedConnection", "ConnectionBound"]

# Fraction of the bound from which idle connections are closed; those take a second to
# close without a reset.
SOFT_FRACTION = 0.9
# Connections that may be open beyond the bound until dropped ones have ended, as a
# share of it.
DROPPED_SHARE = 8
# Least time between two looks at all connections, which take some ms.
SCAN_INTERVAL_MS = 50
# Callers expect a new connection to stay open for one second.
MIN_AGE_MS = 1_000


class BoundedConnection(Protocol):
    """Connection as the bound sees it."""

    @property
    def idle_since_ms(self) -> float | None:
        """When it became idle; None if a request is expected or in progress."""

    @property
    def waits_since_ms(self) -> float | None:
        """When it began to wait for a complete request; None if it does not."""

    @property
    def is_lingering(self) -> bool:
        """Whether it is closed and only waits for what crosses the close."""

    @property
    def is_dropped(self) -> bool:
        """Whether it ends in the next iteration of the event loop."""

    def close_if_idle(self) -> None:
        """Close it without a reset."""

    def drop(self) -> None:
        """Close it at once."""


# A connection, since when it has waited, and whether it was idle.
Candidate = tuple[BoundedConnection, float | None, bool]


class ConnectionBound:
    """Decides which connections go when there are too many.

    Parameters
    ----------
    max_connections : int
        Most connections; each counts twice while it has a request, for the connection
        to a server.

    Notes
    -----
    It answers the load of callers that open connections without end. The longest idle
    one goes first, as its caller is the least likely to use it, and then the one that
    has waited longest for the rest of a request; a new one only if there is no other.
    """

    def __init__(self, *, max_connections: int) -> None:
        self._max = max_connections
        self._soft = int(max_connections * SOFT_FRACTION)
        self._scanned_ms = -math.inf
        self._n_lingering = 0
        self._idle: deque[Candidate] = deque()
        self._others: deque[Candidate] = deque()
        self.n_busy = 0

    def is_near(self, n_connections: int) -> bool:
        """Return whether connections may have to go."""
        return n_connections + self.n_busy >= self._soft or bool(self._others)

    def make_room(
        self, connections: Collection[BoundedConnection], now_ms: float
    ) -> bool:
        """Close connections before one is opened, or after one has begun a request.

        Parameters
        ----------
        connections : collection
            All connections.
        now_ms : float
            Present time in milliseconds.

        Returns
        -------
        bool
            Whether another connection may be opened.
        """
        n_counted = len(connections) + self.n_busy
        if n_counted < self._soft:
            self._idle.clear()
            self._others.clear()
            return True
        self._scan(connections, now_ms)
        if n_counted - self._n_lingering >= self._soft:
            idle = _pop_valid(self._idle)
            if idle is not None:
                idle.close_if_idle()
                if idle.is_lingering:
                    self._n_lingering += 1
                    self._others.append((idle, None, False))
        if n_counted < self._max:
            return True
        victim = _pop_valid(self._others)
        if victim is None:
            return False
        victim.drop()
        # Its socket is closed in the next iteration of the event loop.
        return n_counted < self._max + self._max // DROPPED_SHARE

    def _scan(self, connections: Collection[BoundedConnection], now_ms: float) -> None:
        if now_ms - self._scanned_ms < SCAN_INTERVAL_MS:
            return
        self._scanned_ms = now_ms
        lingering = [(each, None, False) for each in connections if each.is_lingering]
        idle, waiting = [], []
        for each in connections:
            since_ms = each.waits_since_ms
            if since_ms is None:
                continue
            if each.idle_since_ms is not None:
                idle.append((each, since_ms, True))
            elif now_ms - since_ms >= MIN_AGE_MS:
                waiting.append((each, since_ms, False))
        idle.sort(key=lambda pair: pair[1])
        waiting.sort(key=lambda pair: pair[1])
        self._n_lingering = len(lingering)
        self._idle = deque(idle)
        self._others = deque([*lingering, *idle, *waiting])


def _pop_valid(candidates: deque[Candidate]) -> BoundedConnection | None:
    """Return the first connection whose state is still that of the scan."""
    while candidates:
        connection, since_ms, was_idle = candidates.popleft()
        if connection.is_dropped or connection.waits_since_ms != since_ms:
            continue
        if since_ms is None and not connection.is_lingering:
            continue
        if was_idle and connection.idle_since_ms is None:
            continue
        return connection
    return None
