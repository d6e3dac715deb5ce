"""Load of a backend server from delayed load reports and the owner's own count."""

from collections import deque

from damaskrill.messages import LoadReported

__all__ = ["ServerLoad"]

HISTORY_MS = 6_000
REPORT_VALID_MS = 6_000


class ServerLoad:
    """Load of one backend server as estimated by its owner.

    Notes
    -----
    A report is compared with the owner's own count at the time of its measurement. The
    excess is work of other routers, such as a former owner. The load is the current
    own count plus that work of others. This equals the larger of the report and the
    own count at the time of the report, adjusted for requests that were sent or have
    ended since.
    """

    def __init__(self) -> None:
        self._n_own = 0
        self._history: deque[tuple[int, int]] = deque()
        self._last_idle_ms = 0
        self._report: LoadReported | None = None
        self._n_others = 0

    @property
    def n_own(self) -> int:
        """Number of requests of the owner that run on the server."""
        return self._n_own

    @property
    def report(self) -> LoadReported | None:
        """Latest report."""
        return self._report

    @property
    def last_idle_ms(self) -> int:
        """Latest time at which no request of the owner ran, in milliseconds."""
        return self._last_idle_ms

    def load_at(self, now_ms: int) -> int:
        """Return the load.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        int
            Own count, plus the work of others unless the report has expired.
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
        """Handle a report; ignore it if a newer one has been handled."""
        latest = self._report
        if latest is not None and report.measured_at_ms < latest.measured_at_ms:
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
        """Return the lowest own count between two times, in milliseconds."""
        counts = [self.own_count_at(start_ms)]
        counts += [each for at_ms, each in self._history if start_ms < at_ms <= end_ms]
        return min(counts)

    def _set_own_count(self, n_own: int, now_ms: int) -> None:
        self._n_own = n_own
        self._history.append((now_ms, n_own))
        while len(self._history) > 1 and self._history[1][0] < now_ms - HISTORY_MS:
            self._history.popleft()
