"""Circuit breaker for one backend server."""

__all__ = ["CircuitBreaker"]

N_FAILURES_TO_OPEN = 3
INITIAL_OPEN_MS = 1_000
MAX_OPEN_MS = 30_000


class CircuitBreaker:
    """Stop sending to a server that fails repeatedly, then probe it with one request.

    Notes
    -----
    Requests that ran concurrently and failed together count as one failure. After each
    failed probe request the time for which the circuit is open doubles, up to
    ``MAX_OPEN_MS``.
    """

    def __init__(self) -> None:
        self._n_failures = 0
        self._n_opens = 0
        self._last_failure_ms = -1
        self._open_until_ms = 0
        self._probe_id = ""

    @property
    def is_closed(self) -> bool:
        """Whether requests pass without restriction."""
        return self._n_opens == 0

    def remaining_open_ms(self, now_ms: int) -> int:
        """Return how long nothing is sent, in ms; 0 if a request may be sent."""
        if self.is_closed:
            return 0
        if self._probe_id:
            return INITIAL_OPEN_MS
        return max(0, self._open_until_ms - now_ms)

    def record_start(self, attempt_id: str) -> None:
        """Mark a request as the probe if the circuit is not closed."""
        if not self.is_closed:
            self._probe_id = attempt_id

    def record_success(self, attempt_id: str) -> bool:
        """Record a success; return whether it closes the circuit."""
        self._n_failures = 0
        closes = not self.is_closed and attempt_id == self._probe_id
        if closes:
            self._n_opens = 0
            self._probe_id = ""
        return closes

    def record_cancellation(self, attempt_id: str) -> None:
        """Allow another probe if the cancelled request was the probe."""
        if attempt_id == self._probe_id:
            self._probe_id = ""

    def record_failure(
        self, attempt_id: str, *, started_at_ms: int, now_ms: int
    ) -> bool:
        """Record a failure; return whether it opens a closed circuit."""
        if attempt_id == self._probe_id:
            self._probe_id = ""
            self._open(now_ms)
            return False
        if started_at_ms < self._last_failure_ms or not self.is_closed:
            return False
        self._last_failure_ms = now_ms
        self._n_failures += 1
        if self._n_failures < N_FAILURES_TO_OPEN:
            return False
        self._n_failures = 0
        self._open(now_ms)
        return True

    def _open(self, now_ms: int) -> None:
        open_ms = min(MAX_OPEN_MS, INITIAL_OPEN_MS << min(self._n_opens, 5))
        self._n_opens += 1
        self._open_until_ms = now_ms + open_ms
