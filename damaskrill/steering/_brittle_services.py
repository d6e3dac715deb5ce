"""Concurrent requests at servers that crash if they have to reject many."""

from damaskrill.steering._health import ServerOutcome
from damaskrill.steering._stated_limits import StatedLimits

__all__ = ["BrittleServices"]

ServerKey = tuple[str, int]
# Window in which such a server counts its rejections; one rejection keeps this
# router away for as long.
REJECTION_WINDOW_MS = 1_000.0
# Answers of another server that do not say so count only after this time, so that the
# routers do not tell each other of each answer while the servers change.
MIN_STATED_MS = 1_000.0
# About the time after which one of several requests at a server has ended.
PLACE_WAIT_MS = 250.0
# A server that is this new starts with a part of its places.
NEW_SERVER_MS = 3_000
NEW_SERVER_FRACTION = 0.25
# Utilization up to which routers without a place send requests. They learn of each
# other's requests late.
MAX_SHARED_UTILIZATION = 0.5


class BrittleServices:
    """Limits the requests that the fleet has at brittle servers at the same time.

    Parameters
    ----------
    statements : StatedLimits
        Which services state that their servers are brittle, told by all routers.

    Notes
    -----
    Load pattern: callers ask for more than the servers of a service bear, and a server
    that rejects some of them falls over. The others get its load, and the server that
    is back gets that of all before it has answered anything.

    The routers together have no more requests at a server than it runs concurrently:
    each has an equal share of the places. It halves its part of the share when the
    server rejects a request, and adds one place for each round of answers (RFC 5681,
    with requests in place of segments). A router
    without a place may have one request there while half of the places are free.
    """

    def __init__(self, statements: StatedLimits) -> None:
        self._statements = statements
        self._stated_at_ms: dict[str, float] = {}
        self._windows: dict[ServerKey, float] = {}
        self._rejected_at_ms: dict[ServerKey, float] = {}

    @property
    def statements(self) -> StatedLimits:
        """Statements of services, under the services' keys."""
        return self._statements

    def is_brittle(self, service: str) -> bool:
        """Return whether the servers of a service are brittle."""
        return self._statements.find(service_key(service)) is not None

    def observe(self, service: str, per_s: float | None, now_ms: float) -> bool:
        """Record what an answer states; return whether other routers must be told.

        Parameters
        ----------
        service : str
            Service of the server that answered.
        per_s : float or None
            Rejections a second that it bears; None if it does not say so.
        now_ms : float
            Current time in milliseconds.
        """
        if per_s is not None:
            self._stated_at_ms[service] = now_ms
        elif now_ms - self._stated_at_ms.get(service, -MIN_STATED_MS) < MIN_STATED_MS:
            return False
        return self._statements.observe(service_key(service), per_s, now_ms)

    def wait_ms(
        self,
        key: ServerKey,
        *,
        n_own: int,
        n_places: int,
        utilization: float,
        registered_for_ms: float,
        now_ms: float,
    ) -> float:
        """Return the time until a request may be sent to a brittle server.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        n_own : int
            Requests of this router at the server.
        n_places : int
            This router's share of its places.
        utilization : float
            Estimated fraction of its places that are in use.
        registered_for_ms : float
            Time since the server was registered, in milliseconds.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        float
            Time in milliseconds; 0 if a request may be sent now.
        """
        rejected_at_ms = self._rejected_at_ms.get(key)
        if rejected_at_ms is not None:
            wait_ms = rejected_at_ms + REJECTION_WINDOW_MS - now_ms
            if wait_ms > 0:
                return wait_ms
        if not n_places:
            has_room = not n_own and utilization < MAX_SHARED_UTILIZATION
            return 0.0 if has_room else PLACE_WAIT_MS
        if registered_for_ms < NEW_SERVER_MS and key not in self._windows:
            self._windows[key] = max(1.0, NEW_SERVER_FRACTION * n_places)
        window = min(self._windows.get(key, n_places), n_places)
        return 0.0 if n_own < int(window) else PLACE_WAIT_MS

    def record_outcome(
        self, key: ServerKey, outcome: ServerOutcome, *, n_own: int, now_ms: float
    ) -> None:
        """Adapt this router's part of the share to an outcome.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        outcome : ServerOutcome
            Outcome of a request there.
        n_own : int
            Requests of this router at the server.
        now_ms : float
            Current time in milliseconds.
        """
        if outcome is ServerOutcome.FULL:
            self._windows[key] = max(1.0, min(n_own, self._windows.get(key, n_own)) / 2)
            self._rejected_at_ms[key] = now_ms
        elif outcome is ServerOutcome.GOOD and key in self._windows:
            # Slow start until the first rejection, as in TCP's congestion control.
            has_rejected = key in self._rejected_at_ms
            self._windows[key] += 1 / self._windows[key] if has_rejected else 1

    def retain_only(
        self, keys: set[ServerKey], services: set[str], now_ms: float
    ) -> None:
        """Discard what is known of all other incarnations and services."""
        known: tuple[dict[ServerKey, float], ...] = (
            self._windows,
            self._rejected_at_ms,
        )
        for each in known:
            for key in each.keys() - keys:
                del each[key]
        self._statements.retain_only({service_key(name) for name in services}, now_ms)


def service_key(service: str) -> ServerKey:
    """Return the key under which a service's statement is told."""
    return (f"service {service}", 0)
