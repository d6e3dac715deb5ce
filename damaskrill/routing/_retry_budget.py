"""Retry budget as a fraction of first attempts."""

__all__ = ["RetryBudget"]

INITIAL_TOKENS = 3.0
MAX_TOKENS = 10.0
PERCENT = 100


class RetryBudget:
    """Token bucket filled by first attempts and drained by retries.

    Notes
    -----
    The bucket starts with a few tokens, so that a service with few requests can
    retry. It holds at most ``MAX_TOKENS``, so that a quiet period does not pay for a
    burst of retries.
    """

    def __init__(self) -> None:
        self._n_tokens = INITIAL_TOKENS

    def record_first_attempt(self, retry_budget_percent: int) -> None:
        """Add the fraction of a token that a first attempt earns."""
        refilled = self._n_tokens + retry_budget_percent / PERCENT
        self._n_tokens = min(MAX_TOKENS, refilled)

    def spend(self) -> bool:
        """Remove one token for a retry; return whether one was available."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True
