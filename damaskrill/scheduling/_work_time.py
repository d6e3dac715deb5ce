"""Time that requests of a service take, learned from their ends."""

__all__ = ["WorkTime"]

# Usual time until the first request has ended: that of a short lookup.
INITIAL_WORK_MS = 25.0
# Weight of a new sample once enough are known; the mix of routes changes slowly.
SAMPLE_WEIGHT = 0.02


class WorkTime:
    """Usual time of a request at a server, and the time between two requests of a slot.

    Attributes
    ----------
    work_ms : float
        Time at a server of usual speed with a free slot, in milliseconds.
    gap_ms : float
        Time from the end of a request until the next one that gets its slot arrives,
        in milliseconds: release and assignment cross a link each, and the request and
        its answer another.
    """

    def __init__(self) -> None:
        self.work_ms = INITIAL_WORK_MS
        self.gap_ms = 0.0
        self._n_samples = 0

    def observe(self, *, duration_ms: float, held_ms: float, unit: float) -> None:
        """Learn from a completed request.

        Parameters
        ----------
        duration_ms : float
            Time from sending it to its end.
        held_ms : float
            Time from the assignment of its slot to the release.
        unit : float
            Expected time when it was sent, relative to the usual time on a free server.
        """
        if not 0 < duration_ms <= held_ms + 1 or unit <= 0:
            return
        self._n_samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._n_samples)
        self.work_ms += weight * (duration_ms / unit - self.work_ms)
        gap_ms = 2 * max(0.0, held_ms - duration_ms)
        self.gap_ms += weight * (gap_ms - self.gap_ms)
