"""Cold-start ramp of a backend server: its bound grows with finished requests."""

from enum import Enum

from damaskrill.messages import LoadReported

__all__ = ["ColdReason", "ColdStartRamp"]

REQUESTS_PER_STEP = 4
MAX_DOUBLINGS = 4
COLD_START_WINDOW_MS = 600_000
N_SLOW_FIRST_TOKENS = 3
SLOW_FACTOR = 4
PEAK_DECAY = 0.98
PROMPT_TOKENS_OFFSET = 200


class ColdReason(Enum):
    """Sign by which a cold start of a backend server was detected."""

    START_ID = "its start ID has changed"
    FINISHED_FELL = "its count of finished requests fell"
    LOAD_FELL = "its reported load fell to nothing"
    RESET = "its connection was reset"
    FIRST_TOKEN_TIMES = "its first tokens are late"


class ColdStartRamp:
    """Bound the load of one backend server by the requests it has finished.

    Parameters
    ----------
    capacity : int
        Sustainable load when warm.
    cold_load : int
        Sustainable load just after a start.
    requests_per_step : int
        Number of finished requests for each increase of the bound by one.

    Notes
    -----
    Each further cold start within ``COLD_START_WINDOW_MS`` doubles the number of
    requests per step, at most ``MAX_DOUBLINGS`` times.
    """

    def __init__(
        self,
        *,
        capacity: int,
        cold_load: int,
        requests_per_step: int = REQUESTS_PER_STEP,
    ) -> None:
        self.capacity = capacity
        self.cold_load = cold_load
        self.requests_per_step = requests_per_step
        self._start_id = ""
        self._reset_pending = False
        self._cold_at_ms = -1
        self._cold_starts_ms: list[int] = []
        self._n_finished = 0
        self._n_reported = 0
        self._n_reported_base = 0
        self._discards_history = False
        self._reported_load = 0
        self._peak_ms_per_token = 0.0
        self._n_slow = 0

    def bound_at(self, now_ms: int) -> int:
        """Return the highest allowed load of the server, in requests."""
        finished = max(self._n_finished, self._n_reported)
        allowed = self.bound_for(finished, now_ms)
        return min(self.capacity, max(allowed, self._reported_load))

    def bound_for(self, n_finished: int, now_ms: int) -> int:
        """Return the load that a number of finished requests allows."""
        n_cold_starts = sum(
            now_ms - each < COLD_START_WINDOW_MS for each in self._cold_starts_ms
        )
        per_step = self.requests_per_step << min(
            max(0, n_cold_starts - 1), MAX_DOUBLINGS
        )
        return min(self.capacity, self.cold_load + n_finished // per_step)

    def discard_history(self) -> None:
        """Discard all requests that the server finished before its next report."""
        self._discards_history = True
        self._n_finished = 0
        self._n_reported = 0
        self._reported_load = 0

    def record_finished(self, started_at_ms: int) -> None:
        """Count a request that the server has finished.

        Parameters
        ----------
        started_at_ms : int
            When it was sent; requests from before a cold start do not count.
        """
        if started_at_ms > self._cold_at_ms:
            self._n_finished += 1

    def record_reset(self, now_ms: int) -> ColdReason | None:
        """Assume a cold start after a connection reset until a report disproves it.

        Returns
        -------
        ColdReason or None
            The reason, if this is the first reset since the last report.
        """
        if self._reset_pending:
            return None
        self._reset_pending = True
        return self._record_cold_start(ColdReason.RESET, now_ms)

    def record_first_token(
        self, *, latency_ms: int, n_prompt_tokens: int, now_ms: int
    ) -> ColdReason | None:
        """Record a first-token latency and detect a cold start from slow ones.

        Returns
        -------
        ColdReason or None
            The reason, if the latencies show a cold start.

        Notes
        -----
        The latency is divided by the length of the prompt, because uncached prompts
        take proportionally longer. The decaying peak of this quotient, to which each
        latency is compared, includes uncached prompts.
        """
        ms_per_token = latency_ms / (n_prompt_tokens + PROMPT_TOKENS_OFFSET)
        is_slow = 0 < SLOW_FACTOR * self._peak_ms_per_token < ms_per_token
        self._n_slow = self._n_slow + 1 if is_slow else 0
        if self._n_slow >= N_SLOW_FIRST_TOKENS:
            self._n_slow = 0
            self._peak_ms_per_token = ms_per_token
            self._n_reported_base += self._n_reported
            return self._record_cold_start(ColdReason.FIRST_TOKEN_TIMES, now_ms)
        if not is_slow:
            self._peak_ms_per_token = max(
                ms_per_token, self._peak_ms_per_token * PEAK_DECAY
            )
        return None

    def handle_report(
        self, report: LoadReported, *, min_own_load: int, now_ms: int
    ) -> ColdReason | None:
        """Update the ramp from a load report.

        Parameters
        ----------
        report : LoadReported
            The report.
        min_own_load : int
            Lowest load that the server must have had by the count of the owner.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        ColdReason or None
            The reason, if the report shows a cold start that was not returned before.
        """
        if report.measured_at_ms <= self._cold_at_ms and self._is_same_process(report):
            return None
        if self._discards_history:
            self._discards_history = False
            self._n_reported_base = report.n_finished
        reason = self._detect_cold_start(report, min_own_load)
        if reason is not None:
            self._record_cold_start(reason, now_ms)
            is_same_process = reason is ColdReason.LOAD_FELL
            self._n_reported_base = report.n_finished if is_same_process else 0
        elif self._reset_pending and self._is_same_process(report):
            self._cold_starts_ms.pop()
        is_already_reported = reason is not None and self._reset_pending
        self._reset_pending = False
        self._start_id = report.start_id
        n_reported = max(0, report.n_finished - self._n_reported_base)
        self._n_reported = n_reported
        if reason is None:
            self._reported_load = max(self._reported_load, report.load)
        if is_already_reported:
            self._cold_starts_ms.pop()
            return None
        return reason

    def _is_same_process(self, report: LoadReported) -> bool:
        return report.start_id == self._start_id

    def _detect_cold_start(
        self, report: LoadReported, min_own_load: int
    ) -> ColdReason | None:
        if self._start_id and not self._is_same_process(report):
            return ColdReason.START_ID
        if report.n_finished < self._n_reported + self._n_reported_base:
            return ColdReason.FINISHED_FELL
        if report.load == 0 and min_own_load > 1:
            return ColdReason.LOAD_FELL
        return None

    def _record_cold_start(self, reason: ColdReason, now_ms: int) -> ColdReason:
        self._cold_at_ms = now_ms
        recent = [
            each
            for each in self._cold_starts_ms
            if now_ms - each < COLD_START_WINDOW_MS
        ]
        self._cold_starts_ms = [*recent[-MAX_DOUBLINGS:], now_ms]
        self._n_finished = 0
        self._n_reported = 0
        self._reported_load = 0
        return reason
