"""A router's share of the fleet-wide retry budget."""

from collections import deque

from attrs import define, field

__all__ = ["FleetRetryBudget"]

# Minimum time span over which a request rate is computed.
MIN_RATE_SPAN_MS = 1_000
# Part of what the requests of a window earn that a router may hold and spend at once.
# The other part is added with each request.
EARNED_RESERVE = 0.5
# Part of a router's share of the slack that a process may use in any window once it is
# older than a window. Until then it may use what is left, as its age grows.
SETTLED_FRACTION = 0.7


@define(kw_only=True)
class _ServiceBudget:
    """What one service may still get."""

    first_request_at_ms: float | None = None
    requests: deque[float] = field(factory=deque)
    # Retries that requests have earned and that were not used.
    n_earned: float = 0.0
    # Times and amounts of what was used of the share of the slack in the last window.
    used: deque[tuple[float, float]] = field(factory=deque)
    n_retries: int = 0
    n_left: float = 0.0


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
    started_at_ms : float, default=0
        When this router started, in milliseconds.
    has_predecessor : bool, default=True
        Whether another process of this router may just have ended, and have spent what
        this one knows nothing of.

    Notes
    -----
    Load pattern: a service fails for all callers, and routers are restarted meanwhile.
    Retrying every failure would double the load of the service. A count of the retries
    in the last window would be lost with its process, so that the next one has the
    share of the router anew.

    What requests earn goes into a token bucket (Turner, "New directions in
    communications", IEEE Communications Magazine, 1986) for each service, which is
    empty when the process starts. It holds at most half of what the requests of the
    last window earn; the other half is added with each request. In any window, the
    routers together spend at most what their buckets held at its beginning and what was
    added in it: ``ratio`` for each request of this window or of the one before,
    wherever callers go.

    Of its share of the slack, a process uses at most 0.7 in any window, and until it is
    older than a window no more than the rest, in proportion to its age. Of the
    successive processes of a router, only the first one in a window can be older than a
    window, so that they use no more than the share, however often they are restarted.
    The same holds for a router that has met no other until now: those that had met each
    other have divided the slack without it.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: int,
        started_at_ms: float = 0.0,
        has_predecessor: bool = True,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._has_predecessor = has_predecessor
        # When the number of routers was last not known.
        self._unknown_at_ms = started_at_ms
        self._services: dict[str, _ServiceBudget] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Record a caller's request for a service, which earns a part of a retry."""
        budget = self._update(service, now_ms)
        if budget.first_request_at_ms is None:
            budget.first_request_at_ms = now_ms
        budget.requests.append(now_ms)
        budget.n_earned += (1 - EARNED_RESERVE) * self._ratio
        self._clip(budget)

    def requests_per_s(self, service: str, now_ms: float) -> float:
        """Return this router's request rate for a service within the window."""
        budget = self._services.get(service)
        if budget is None or budget.first_request_at_ms is None:
            return 0.0
        self._update(service, now_ms)
        observed_ms = now_ms - budget.first_request_at_ms
        span_ms = max(MIN_RATE_SPAN_MS, min(self._window_ms, observed_ms))
        return len(budget.requests) * 1_000 / span_ms

    def can_acquire(
        self,
        service: str,
        n_routers: int | None,
        now_ms: float,
        *,
        fraction: float = 1.0,
    ) -> bool:
        """Return whether the budget allows a retry, without acquiring it.

        Parameters
        ----------
        service : str
            The service to which the request would be sent again.
        n_routers : int or None
            Number of routers that share the slack; None if it is not known.
        now_ms : float
            Current time in milliseconds.
        fraction : float, default=1.0
            Fraction of the budget that the retry may use.
        """
        budget = self._update(service, now_ms)
        limit = self._find_slack_limit(n_routers, now_ms)
        n_kept = (1 - fraction) * (self._find_capacity(budget) + limit)
        return _count_left(budget, limit) - 1 >= n_kept

    def try_acquire(self, service: str, n_routers: int | None, now_ms: float) -> bool:
        """Acquire one retry from the budget, if it allows one.

        Parameters
        ----------
        service : str
            The service to which the request would be sent again.
        n_routers : int or None
            Number of routers that share the slack; None if it is not known.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether the request may be retried.
        """
        budget = self._update(service, now_ms)
        limit = self._find_slack_limit(n_routers, now_ms)
        budget.n_left = _count_left(budget, limit)
        if budget.n_left < 1:
            return False
        n_earned = min(1.0, budget.n_earned)
        budget.n_earned -= n_earned
        if n_earned < 1:
            budget.used.append((now_ms, 1 - n_earned))
        budget.n_left -= 1
        budget.n_retries += 1
        return True

    def n_left(self, service: str) -> float:
        """Return how many retries a service had left when one was last wanted."""
        budget = self._services.get(service)
        return budget.n_left if budget is not None else 0.0

    def n_retries(self, service: str) -> int:
        """Return the number of retries that were acquired for a service."""
        budget = self._services.get(service)
        return budget.n_retries if budget is not None else 0

    def _update(self, service: str, now_ms: float) -> _ServiceBudget:
        budget = self._services.setdefault(service, _ServiceBudget())
        begin_ms = now_ms - self._window_ms
        while budget.requests and budget.requests[0] <= begin_ms:
            budget.requests.popleft()
        while budget.used and budget.used[0][0] <= begin_ms:
            budget.used.popleft()
        self._clip(budget)
        return budget

    def _clip(self, budget: _ServiceBudget) -> None:
        budget.n_earned = min(budget.n_earned, self._find_capacity(budget))

    def _find_capacity(self, budget: _ServiceBudget) -> float:
        return EARNED_RESERVE * self._ratio * len(budget.requests)

    def _find_slack_limit(self, n_routers: int | None, now_ms: float) -> float:
        if n_routers is None:
            self._unknown_at_ms = now_ms
            return 0.0
        share = self._slack / n_routers
        age = (now_ms - self._unknown_at_ms) / self._window_ms
        if self._has_predecessor and age < 1:
            return (1 - SETTLED_FRACTION) * share * max(0.0, age)
        return SETTLED_FRACTION * share


def _count_left(budget: _ServiceBudget, slack_limit: float) -> float:
    n_used = sum(amount for _, amount in budget.used)
    return budget.n_earned + max(0.0, slack_limit - n_used)
