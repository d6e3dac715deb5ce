"""Bounds that all connections of callers share."""

from collections.abc import Callable, Collection
from typing import Any

from damaskrill.limits._account import MemoryAccount
from damaskrill.limits._bounds import HostBounds
from damaskrill.limits._cause_lines import CauseLines
from damaskrill.limits._connections import BoundedConnection, ConnectionBound
from damaskrill.limits._turns import ParsingTurns
from damaskrill.utils import monotonic_now_ms

__all__ = ["CallerGuard"]

# Interval at which waiting bodies and slow callers are looked at.
REVIEW_INTERVAL_MS = 100
MS_PER_S = 1_000
# Bounds where a deployment states none: a large host.
DEFAULT_BOUNDS = HostBounds(memory_mb=4_096, max_descriptors=65_536)


class CallerGuard:
    """Memory account, connection bound, turns and log lines of one process.

    Parameters
    ----------
    loop : object
        Event loop.
    report : callable
        Called with an event name and its fields.
    bounds : HostBounds
        Memory and descriptors of the host.
    """

    def __init__(
        self,
        *,
        loop: Any,
        report: Callable[..., None],
        bounds: HostBounds = DEFAULT_BOUNDS,
    ) -> None:
        self._loop = loop
        self._report = report
        self._lines = CauseLines()
        self._fields: dict[str, tuple[str, dict[str, Any]]] = {}
        self._timer: Any = None
        self._is_review_due = False
        self.account = MemoryAccount(capacity_bytes=bounds.capacity_bytes)
        self.bound = ConnectionBound(max_connections=bounds.max_connections)
        self.turns = ParsingTurns(loop.call_soon)

    def record(self, event: str, kind: str, **fields: Any) -> None:
        """Count an event that a caller has caused, and log each kind once a second."""
        key = f"{event}_{kind}"
        self._fields[key] = (event, fields)
        n_events = self._lines.record(key, monotonic_now_ms())
        if n_events is None:
            self.watch()
        else:
            self._report(event, n_events=n_events, **fields)

    def figures(self) -> dict[str, float]:
        """Return the present numbers by name."""
        account, totals = self.account, self._lines.totals
        return {
            "caller_bytes": float(account.n_bytes),
            "caller_bytes_max": float(account.max_bytes),
            "callers_waiting_for_memory": float(account.n_waiting),
            **{each: float(n_events) for each, n_events in totals.items()},
        }

    def make_room(self, connections: Collection[BoundedConnection]) -> bool:
        """Close connections if there are too many; return whether there is room."""
        if not self.bound.is_near(len(connections)):
            return True
        return self.bound.make_room(connections, monotonic_now_ms())

    def review_soon(self) -> None:
        """Look at waiting bodies in the next iteration of the event loop, and later."""
        if not self._is_review_due:
            self._is_review_due = True
            self._loop.call_soon(self._review_now)

    def _review_now(self) -> None:
        self._is_review_due = False
        try:
            self.account.review(monotonic_now_ms())
        finally:
            if self.account.n_waiting:
                self.watch()

    def watch(self) -> None:
        """Review until no body waits and each event stands in a line."""
        if self._timer is None:
            self._timer = self._loop.call_later(
                REVIEW_INTERVAL_MS / MS_PER_S, self._review
            )

    def _review(self) -> None:
        self._timer = None
        now_ms = monotonic_now_ms()
        try:
            self.account.review(now_ms)
            for key, n_events in self._lines.flush(now_ms):
                event, fields = self._fields[key]
                self._report(event, n_events=n_events, **fields)
        finally:
            if self.account.n_waiting or self._lines.has_unlogged:
                self.watch()
