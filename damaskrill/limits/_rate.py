"""Time that a body may take as a whole."""

__all__ = ["body_time_left_ms"]

# Slowest average rate of a body, in bytes per second, after one idle timeout:
# less than any link of a caller inside the limits.
MIN_BODY_RATE_BYTES_S = 1_024
MS_PER_S = 1_000


def body_time_left_ms(
    *, elapsed_ms: float, n_received: int, idle_timeout_ms: int
) -> float:
    """Return how long to wait for further bytes of a body, in milliseconds.

    Parameters
    ----------
    elapsed_ms : float
        Time since its head, without the time in which the router did not read.
    n_received : int
        Bytes of it so far.
    idle_timeout_ms : int
        Longest time without a byte.

    Notes
    -----
    It answers callers that send a byte just before each idle timeout.
    """
    allowed_ms = idle_timeout_ms + n_received * MS_PER_S / MIN_BODY_RATE_BYTES_S
    return max(0.0, min(idle_timeout_ms, allowed_ms - elapsed_ms))
