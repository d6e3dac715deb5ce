"""Adaptive concurrency limit from first-token and inter-token latencies."""

__all__ = ["ConcurrencyLimit"]

DECREASE_FACTOR = 0.9
PREFILL_ALLOWANCE_US_PER_TOKEN = 150
US_PER_MS = 1_000


class ConcurrencyLimit:
    """Limit concurrency by additive increase and multiplicative decrease.

    Parameters
    ----------
    cap : int
        Highest limit; the lowest is 1.
    first_token_objective_ms, between_tokens_objective_ms : int
        Latencies above which a server counts as overloaded, in milliseconds.
    """

    def __init__(
        self,
        *,
        cap: int,
        first_token_objective_ms: int,
        between_tokens_objective_ms: int,
    ) -> None:
        self.cap = cap
        self.first_token_objective_ms = first_token_objective_ms
        self.between_tokens_objective_ms = between_tokens_objective_ms
        self._limit = float(cap)
        self._n_since_decrease = 0

    @property
    def limit(self) -> int:
        """Number of concurrent requests that are allowed."""
        return min(self.cap, max(1, int(self._limit)))

    def record_first_token(self, *, latency_ms: int, n_prompt_tokens: int) -> None:
        """Record a first-token latency; longer prompts are allowed more time."""
        prefill_us = n_prompt_tokens * PREFILL_ALLOWANCE_US_PER_TOKEN
        allowed_ms = self.first_token_objective_ms + prefill_us // US_PER_MS
        if latency_ms > allowed_ms:
            self._decrease()

    def record_end(self, *, between_tokens_ms: int) -> None:
        """Record the mean time between the tokens of an answer; 0 if unknown."""
        self._n_since_decrease += 1
        if between_tokens_ms > self.between_tokens_objective_ms:
            self._decrease()
        else:
            self._limit = min(float(self.cap), self._limit + 1 / self._limit)

    def _decrease(self) -> None:
        # Answers that were already in progress do not reflect the lowered limit yet.
        if self._n_since_decrease < self.limit:
            return
        self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        self._n_since_decrease = 0
