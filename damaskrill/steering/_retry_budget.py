"""A router's share of the fleet-wide retry budget."""

from collections import deque

__all__ = ["FleetRetryBudget"]

# Minimum time span over which a request rate is computed.
MIN_RATE_SPAN_MS = 1_000
# Fraction of the allowance that is used, so that the fleet stays within its budget
# while routers temporarily disagree on the number of members.
SAFETY_FACTOR = 0.7


class FleetRetryBudget:
    """Limits the number of retries per service.

    Parameters
    ----------
    ratio : float
        Allowed retries per request.
    slack : float
        Additional retries per window that are allowed for the entire fleet.
    window_ms : int
        Length of the sliding window, in milliseconds.

    Notes
    -----
    Handles a service that fails for all callers: retrying every failure would double
    its load. Each router uses the retries earned by its own requests and an equal share
    of the fixed allowance, so that the routers need no coordination.
    """

    def __init__(self, *, ratio: float, slack: float, window_ms: int) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, deque[float]] = {}
        self._first_request_at_ms: dict[str, float] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Record a caller's request for a service."""
        self._first_request_at_ms.setdefault(service, now_ms)
        self._add(self._requests, service, now_ms)

    def requests_per_s(self, service: str, now_ms: float) -> float:
        """Return this router's request rate for a service within the window."""
        observed_ms = now_ms - self._first_request_at_ms.get(service, now_ms)
        span_ms = max(MIN_RATE_SPAN_MS, min(self._window_ms, observed_ms))
        return self._count(self._requests, service, now_ms) * 1_000 / span_ms

    def can_acquire(
        self, service: str, n_routers: int, now_ms: float, *, fraction: float = 1.0
    ) -> bool:
        """Return whether the budget allows a retry, without acquiring it.

        Parameters
        ----------
        service : str
            The service to which the request would be sent again.
        n_routers : int
            Number of routers that share the fixed allowance.
        now_ms : float
            Current time in milliseconds.
        fraction : float, default=1.0
            Fraction of the budget that the retry may use.
        """
        n_requests = self._count(self._requests, service, now_ms)
        n_retries = self._count(self._retries, service, now_ms)
        allowance = self._ratio * n_requests + self._slack / max(1, n_routers)
        return n_retries + 1 <= fraction * SAFETY_FACTOR * allowance

    def try_acquire(self, service: str, n_routers: int, now_ms: float) -> bool:
        """Acquire one retry from the budget, if it allows one.

        Parameters
        ----------
        service : str
            The service to which the request would be sent again.
        n_routers : int
            Number of routers that share the fixed allowance.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether the request may be retried.
        """
        if not self.can_acquire(service, n_routers, now_ms):
            return False
        self._add(self._retries, service, now_ms)
        return True

    def _add(self, times: dict[str, deque[float]], service: str, now_ms: float) -> None:
        times.setdefault(service, deque()).append(now_ms)

    def _count(
        self, times: dict[str, deque[float]], service: str, now_ms: float
    ) -> int:
        recent = times.get(service)
        if recent is None:
            return 0
        while recent and recent[0] <= now_ms - self._window_ms:
            recent.popleft()
        return len(recent)
