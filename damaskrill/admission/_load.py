"""Joins a backend server's lagging load reports and the owner's own count."""

from collections import deque

from damaskrill.messages import LoadReported

__all__ = ["ServerLoad"]

HISTORY_MS = 6_000
REPORT_VALID_MS = 6_000


class ServerLoad:
    """Load of one backend server as its owner knows it.

    Notes
    -----
    A report is compared with the owner's own count at the time when the report was
    made. What the report has beyond that count is work of others, such as a former
    owner. The load is the own count of now and that work of others. It equals the
    larger of report and own count at the time of the report, and what was sent and
    has ended since.
    """

    def __init__(self) -> None:
        self._n_own = 0
        self._history: deque[tuple[int, int]] = deque()
        self._last_idle_ms = 0
        self._report: LoadReported | None = None
        self._n_others = 0

    @property
    def n_own(self) -> int:
        """Requests that the owner has running there."""
        return self._n_own

    @property
    def report(self) -> LoadReported | None:
        """Latest report."""
        return self._report

    @property
    def last_idle_ms(self) -> int:
        """Latest time at which the owner had nothing running, in milliseconds."""
        return self._last_idle_ms

    def load_at(self, now_ms: int) -> int:
        """Return the load.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        int
            Own count, and work of others while the report is not too old.
        """
        report = self._report
        if report is None or now_ms - report.measured_at_ms > REPORT_VALID_MS:
            return self._n_own
        return self._n_own + self._n_others

    def begin(self, now_ms: int) -> None:
        """Count a request that is being sent."""
        if self._n_own == 0:
            self._last_idle_ms = now_ms
        self._set_own_count(self._n_own + 1, now_ms)

    def end(self, now_ms: int) -> None:
        """Count a request that has ended."""
        self._set_own_count(self._n_own - 1, now_ms)

    def handle_report(self, report: LoadReported) -> None:
        """Take a report, unless a newer one is known."""
        known = self._report
        if known is not None and report.measured_at_ms < known.measured_at_ms:
            return
        self._report = report
        self._n_others = max(0, report.load - self.own_count_at(report.measured_at_ms))

    def own_count_at(self, at_ms: int) -> int:
        """Return the own count at an earlier time, in milliseconds."""
        count = 0
        for each_ms, each in self._history:
            if each_ms > at_ms:
                break
            count = each
        return count

    def min_own_between(self, start_ms: int, end_ms: int) -> int:
        """Return the smallest own count from one time to another."""
        counts = [self.own_count_at(start_ms)]
        counts += [each for at_ms, each in self._history if start_ms < at_ms <= end_ms]
        return min(counts)

    def _set_own_count(self, n_own: int, now_ms: int) -> None:
        self._n_own = n_own
        self._history.append((now_ms, n_own))
        while len(self._history) > 1 and self._history[1][0] < now_ms - HISTORY_MS:
            self._history.popleft()
