"""Prediction of waits and of the time after which a refused caller may return."""

import math

__all__ = ["MAX_WAIT_MS", "RetrySpread", "clip_ms", "predict_wait_ms"]

# Longest predicted wait: no route allows more.
MAX_WAIT_MS = 60_000
# Part of the time left up to which callers honour a stated delay (users' page on
# answers).
MAX_DELAY_FRACTION = 1 / 3
# Shortest delay, which lets a short burst pass.
MIN_DELAY_MS = 20
# Delays are spread over their own length times this, so that callers who are refused
# together do not return together.
SPREAD_FRACTION = 0.5
# Fractional part of the golden ratio: multiples of it fill an interval evenly.
GOLDEN = 0.6180339887498949


def clip_ms(left_ms: float) -> float:
    """Return a stated time that can be compared; 0 if it is not a number."""
    if math.isnan(left_ms):
        return 0.0
    return min(max(-MAX_WAIT_MS, left_ms), MAX_WAIT_MS)


def predict_wait_ms(
    *, n_ahead: int, drain_per_s: float, rate_before_per_s: float
) -> float:
    """Predict the wait of a request for a slot while all slots are in use.

    Parameters
    ----------
    n_ahead : int
        Number of requests that wait before it.
    drain_per_s : float
        Requests a second that the servers complete now.
    rate_before_per_s : float
        Requests a second that arrive later and go before it.

    Returns
    -------
    wait_ms : float
        Solution of ``wait = (n_ahead + 1 + rate_before * wait) / drain``, in
        milliseconds, at most `MAX_WAIT_MS`.
    """
    spare_per_s = drain_per_s - rate_before_per_s
    if spare_per_s <= 0:
        return MAX_WAIT_MS
    return min(MAX_WAIT_MS, 1_000 * (n_ahead + 1) / spare_per_s)


class RetrySpread:
    """Delays for refused callers: when room is expected, spread.

    Notes
    -----
    Handles callers who are refused together while servers are lost: if all of them got
    the same delay, they would meet full servers again.
    """

    def __init__(self) -> None:
        self._n_delays = 0

    def delay_ms(self, *, excess_ms: float, limit_left_ms: float) -> float:
        """Return the delay of the next refused caller, in milliseconds.

        Parameters
        ----------
        excess_ms : float
            Time by which the predicted wait exceeds the longest one in time.
        limit_left_ms : float
            Time left of the request's limit.
        """
        longest_ms = limit_left_ms * MAX_DELAY_FRACTION / (1 + SPREAD_FRACTION)
        delay_ms = max(MIN_DELAY_MS, min(excess_ms, longest_ms))
        self._n_delays += 1
        return delay_ms * (1 + SPREAD_FRACTION * (self._n_delays * GOLDEN % 1))
