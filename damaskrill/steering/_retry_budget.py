"""The router's share of the fleet's budget of repeated requests."""

from collections import deque

__all__ = ["FleetRetryBudget"]

# A rate is not worked out from less time than this, in milliseconds.
MIN_RATE_SPAN_MS = 1_000
# Part of the allowance that is used, so that routers whose counts of members differ
# for a moment stay within the whole.
SAFETY_FACTOR = 0.7


class FleetRetryBudget:
    """Limits how many requests are sent to a service more than once.

    Parameters
    ----------
    ratio : float
        Allowed repeats for each request.
    slack : float
        Allowed repeats of the whole fleet in a window besides.
    window_ms : int
        Length of the sliding window, in milliseconds.

    Notes
    -----
    Answers the pattern of a service that fails for all: each failure would be sent
    again and double the load. Every router uses what its own requests earn, and an
    equal part of the fixed allowance, so that no agreement is needed.
    """

    def __init__(self, *, ratio: float, slack: float, window_ms: int) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, deque[float]] = {}
        self._first_request_at_ms: dict[str, float] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Count a request of a caller for a service."""
        self._first_request_at_ms.setdefault(service, now_ms)
        self._add(self._requests, service, now_ms)

    def requests_per_s(self, service: str, now_ms: float) -> float:
        """Return the rate of this router's requests for a service in the window."""
        known_for_ms = now_ms - self._first_request_at_ms.get(service, now_ms)
        span_ms = max(MIN_RATE_SPAN_MS, min(self._window_ms, known_for_ms))
        return self._count(self._requests, service, now_ms) * 1_000 / span_ms

    def try_acquire(self, service: str, n_routers: int, now_ms: float) -> bool:
        """Spend one repeat if the budget allows it.

        Parameters
        ----------
        service : str
            The service that would get the request again.
        n_routers : int
            Routers that share the fixed allowance.
        now_ms : float
            Present time in milliseconds.

        Returns
        -------
        bool
            Whether the request may be sent again.
        """
        n_requests = self._count(self._requests, service, now_ms)
        n_retries = self._count(self._retries, service, now_ms)
        allowance = self._ratio * n_requests + self._slack / max(1, n_routers)
        if n_retries + 1 > SAFETY_FACTOR * allowance:
            return False
        self._add(self._retries, service, now_ms)
        return True

    def _add(self, times: dict[str, deque[float]], service: str, now_ms: float) -> None:
        times.setdefault(service, deque()).append(now_ms)

    def _count(
        self, times: dict[str, deque[float]], service: str, now_ms: float
    ) -> int:
        found = times.get(service)
        if found is None:
            return 0
        while found and found[0] <= now_ms - self._window_ms:
            found.popleft()
        return len(found)
