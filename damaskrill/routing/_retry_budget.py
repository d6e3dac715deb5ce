"""Budget of retries as a fraction of first tries."""

__all__ = ["RetryBudget"]

INITIAL_RETRIES = 3.0
MAX_SAVED_RETRIES = 10.0
PERCENT = 100


class RetryBudget:
    """Token bucket that first tries fill and retries empty.

    Notes
    -----
    A few retries are there at the start, so that a service with few requests may
    retry at all; no more than ``MAX_SAVED_RETRIES`` are saved up, so that a quiet
    time does not pay for a burst.
    """

    def __init__(self) -> None:
        self._n_saved = INITIAL_RETRIES

    def record_first_try(self, retry_budget_percent: int) -> None:
        """Earn a fraction of a retry."""
        earned = self._n_saved + retry_budget_percent / PERCENT
        self._n_saved = min(MAX_SAVED_RETRIES, earned)

    def spend(self) -> bool:
        """Take one retry out; return whether there was one."""
        if self._n_saved < 1.0:
            return False
        self._n_saved -= 1.0
        return True
