"""Expected time of a request at a backend server."""

__all__ = ["expected_time_ms"]


def expected_time_ms(
    *, n_ahead: float, n_slots: int, slowness: float, work_ms: float
) -> float:
    """Return the time until a request that is sent now is done, in milliseconds.

    Parameters
    ----------
    n_ahead : float
        Requests that run or wait at the server.
    n_slots : int
        Requests that the server runs concurrently; 0, or less, counts as one.
    slowness : float
        How long work takes there now, relative to the usual time.
    work_ms : float
        Usual time of the request on a free server, in milliseconds.

    Notes
    -----
    Handles servers that share their hosts: with a seventh of the time 2.5 times slower,
    a free slot at a slow server is worth less than a short queue at another one. A
    request that finds no free slot waits for as many ends as there are requests ahead
    of it beyond the slots, and each slot ends one after a request's time.
    """
    n_slots = max(1, n_slots)
    n_ends = max(0.0, n_ahead + 1 - n_slots)
    return slowness * work_ms * (1 + n_ends / n_slots)
