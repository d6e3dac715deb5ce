"""Adaptive limit on the requests at once, from first-token and token times."""

__all__ = ["ConcurrencyLimit"]

DECREASE_FACTOR = 0.9
PREFILL_ALLOWANCE_US_PER_TOKEN = 150
US_PER_MS = 1_000


class ConcurrencyLimit:
    """Additive increase and multiplicative decrease between one and a cap.

    Parameters
    ----------
    cap : int
        Highest limit.
    first_token_objective_ms, between_tokens_objective_ms : int
        Times that mark an overloaded server, in milliseconds.
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
        """Requests at once."""
        return min(self.cap, max(1, int(self._limit)))

    def record_first_token(self, *, latency_ms: int, n_prompt_tokens: int) -> None:
        """Take a first-token time; a long prompt may take longer."""
        prefill_us = n_prompt_tokens * PREFILL_ALLOWANCE_US_PER_TOKEN
        allowed_ms = self.first_token_objective_ms + prefill_us // US_PER_MS
        if latency_ms > allowed_ms:
            self._decrease()

    def record_end(self, *, between_tokens_ms: int) -> None:
        """Take the mean time between the tokens of an answer; 0 if unknown."""
        self._n_since_decrease += 1
        if between_tokens_ms > self.between_tokens_objective_ms:
            self._decrease()
        else:
            self._limit = min(float(self.cap), self._limit + 1 / self._limit)

    def _decrease(self) -> None:
        # The answers that were under way show nothing of the lowered limit yet.
        if self._n_since_decrease < self.limit:
            return
        self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        self._n_since_decrease = 0
