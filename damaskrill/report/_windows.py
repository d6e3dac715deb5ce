"""Request counts over time, in bounded memory."""

from collections.abc import Iterator

from attrs import define, field, frozen

__all__ = ["MS_PER_MINUTE", "BurnWindow", "Counts", "RecentCounts", "TimeSeries"]

MS_PER_MINUTE = 60_000


@define(kw_only=True)
class Counts:
    """Numbers of requests and of lost requests.

    Parameters
    ----------
    n_requests, n_lost : int
        Counts; a request is lost if it missed the objective of its service.
    """

    n_requests: int = 0
    n_lost: int = 0

    def add(self, *, is_lost: bool) -> None:
        """Count one request."""
        self.n_requests += 1
        self.n_lost += is_lost

    def merge(self, other: "Counts") -> None:
        """Add the counts of another instance."""
        self.n_requests += other.n_requests
        self.n_lost += other.n_lost

    @property
    def lost_share(self) -> float:
        """Fraction of the requests that were lost; 0 if there were no requests."""
        return self.n_lost / self.n_requests if self.n_requests else 0.0


@frozen(kw_only=True)
class BurnWindow:
    """Pair of time windows for a burn rate alert.

    Parameters
    ----------
    name : str
        ``fast`` or ``slow``.
    long_minutes, short_minutes : int
        Lengths of the windows.
    threshold : float
        Burn rate that both windows must reach to raise an alert.

    Notes
    -----
    A burn rate of 1 spends exactly the error budget over the period of the objective.
    The long window shows that the loss is significant, the short window that it is
    still going on. The thresholds correspond to 2 % of the budget of 30 days spent in
    one hour, and 5 % spent in six hours.
    """

    name: str
    long_minutes: int
    short_minutes: int
    threshold: float


@define(kw_only=True)
class RecentCounts:
    """Counts per minute over a sliding window.

    Parameters
    ----------
    n_minutes : int
        Length of the window in minutes.
    """

    n_minutes: int
    _minutes: dict[int, Counts] = field(factory=dict, init=False)

    def add(self, at_ms: int, *, is_lost: bool) -> None:
        """Count one request at its time."""
        minute = at_ms // MS_PER_MINUTE
        counts = self._minutes.get(minute)
        if counts is None:
            counts = self._minutes[minute] = Counts()
            if len(self._minutes) > 2 * self.n_minutes:
                self._prune()
        counts.add(is_lost=is_lost)

    def sum_last_minutes(self, n_minutes: int, end_ms: int) -> Counts:
        """Sum the counts of the last minutes, including the minute of ``end_ms``."""
        last_minute = end_ms // MS_PER_MINUTE
        total = Counts()
        for minute, counts in self._minutes.items():
            if last_minute - n_minutes < minute <= last_minute:
                total.merge(counts)
        return total

    def _prune(self) -> None:
        first = max(self._minutes) - self.n_minutes + 1
        self._minutes = {
            minute: counts
            for minute, counts in self._minutes.items()
            if minute >= first
        }


@define(kw_only=True)
class TimeSeries:
    """Counts per interval over the full time span of the logs.

    Parameters
    ----------
    max_intervals : int, default=240
        Maximum number of intervals. Beyond it, the length of the intervals doubles.
    """

    max_intervals: int = 240
    _interval_ms: int = field(default=MS_PER_MINUTE, init=False)
    _intervals: dict[int, Counts] = field(factory=dict, init=False)

    @property
    def interval_ms(self) -> int:
        """Current length of an interval in milliseconds."""
        return self._interval_ms

    def add(self, at_ms: int, *, is_lost: bool) -> None:
        """Count one request at its time."""
        index = at_ms // self._interval_ms
        counts = self._intervals.get(index)
        if counts is None:
            counts = self._intervals[index] = Counts()
            while len(self._intervals) > self.max_intervals:
                self._widen()
            counts = self._intervals[at_ms // self._interval_ms]
        counts.add(is_lost=is_lost)

    def widen_to(self, interval_ms: int) -> None:
        """Widen the intervals until they are at least ``interval_ms`` long."""
        while self._interval_ms < interval_ms:
            self._widen()

    def items(self) -> Iterator[tuple[int, Counts]]:
        """Yield the start in milliseconds and the counts of each interval, by time."""
        for index in sorted(self._intervals):
            yield index * self._interval_ms, self._intervals[index]

    def _widen(self) -> None:
        self._interval_ms *= 2
        merged: dict[int, Counts] = {}
        for index, counts in self._intervals.items():
            merged.setdefault(index // 2, Counts()).merge(counts)
        self._intervals = merged
