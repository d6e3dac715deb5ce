"""Time that requests of a service take, learned from their ends."""

__all__ = ["WorkTime"]

# Usual time until requests have ended: that of a short lookup, which counts like this
# many requests.
INITIAL_WORK_MS = 25.0
N_INITIAL = 2.0
# No request takes less than this.
MIN_WORK_MS = 1.0
# What is kept of earlier requests at each end: the mean is over some 300 requests, so
# that its error is under a tenth.
KEPT = 1 - 1 / 300

# The gap is at most two round trips halfway round the earth, of some 100 ms each way in
# fibre; a longer one is a wait for a connection.
MAX_GAP_MS = 400.0


class WorkTime:
    """Slot time that a request takes, and the time between two requests of a slot.

    Notes
    -----
    The time of slots in use, divided by the requests that ended, gives the rate at
    which busy servers complete requests, also if requests wait at the servers.
    """

    def __init__(self) -> None:
        self._busy_ms = N_INITIAL * INITIAL_WORK_MS
        self._n_ended = N_INITIAL
        self._gap_ms = 0.0
        self._n_gaps = 0

    @property
    def work_ms(self) -> float:
        """Time of a slot that a request takes at usual speed, in milliseconds."""
        return self._busy_ms / self._n_ended

    @property
    def gap_ms(self) -> float:
        """Time until the next request of a slot arrives, in milliseconds.

        Notes
        -----
        Release and assignment cross a link each, and the request and its answer
        another one.
        """
        return self._gap_ms

    def add_busy(self, busy_ms: float) -> None:
        """Add time of slots in use, at usual speed, in milliseconds.

        Notes
        -----
        It is negative for a slot that was in use for nothing.
        """
        self._busy_ms = max(MIN_WORK_MS * self._n_ended, self._busy_ms + busy_ms)

    def add_end(self, *, duration_ms: float, held_ms: float) -> None:
        """Add a completed request.

        Parameters
        ----------
        duration_ms : float
            Time from sending it to its end, in milliseconds.
        held_ms : float
            Time from the assignment of its slot to the release, in milliseconds.
        """
        self._busy_ms *= KEPT
        self._n_ended = KEPT * self._n_ended + 1
        self.add_busy(0.0)
        if 0 < duration_ms <= held_ms:
            self._n_gaps += 1
            weight = max(1 - KEPT, 1 / self._n_gaps)
            gap_ms = min(MAX_GAP_MS, 2 * (held_ms - duration_ms))
            self._gap_ms += weight * (gap_ms - self._gap_ms)
