"""Data classes of a finished report."""

from attrs import field, frozen

from damaskrill.report._windows import BurnWindow, Counts

__all__ = [
    "BURN_WINDOWS",
    "BurnReport",
    "CauseLoss",
    "GroupBurn",
    "SeriesPoint",
    "WindowBurn",
]

BURN_WINDOWS = (
    BurnWindow(name="fast", long_minutes=60, short_minutes=5, threshold=14.4),
    BurnWindow(name="slow", long_minutes=360, short_minutes=30, threshold=6.0),
)


@frozen(kw_only=True)
class WindowBurn:
    """Burn rates of one pair of windows.

    Parameters
    ----------
    window : BurnWindow
        The pair.
    long_rate, short_rate : float
        Burn rates; 1 spends exactly the budget.
    """

    window: BurnWindow
    long_rate: float
    short_rate: float

    @property
    def is_alert(self) -> bool:
        """Whether both rates have reached the threshold."""
        return min(self.long_rate, self.short_rate) >= self.window.threshold


@frozen(kw_only=True)
class GroupBurn:
    """Burn of one service, or of one team on a service.

    Parameters
    ----------
    service, team : str
        The group; ``team`` is empty for a whole service.
    counts : Counts
        Requests over the whole time of the logs.
    allowed_share : float
        Share of the requests that may miss the objective.
    windows : tuple of WindowBurn
        Burn rates at the end of the logs.
    """

    service: str
    team: str = ""
    counts: Counts
    allowed_share: float
    windows: tuple[WindowBurn, ...]

    @property
    def budget_left(self) -> float:
        """Share of the budget that is left; below 0 if it is overspent."""
        allowed = self.counts.n_requests * self.allowed_share
        if not self.counts.n_lost:
            return 1.0
        return 1.0 - self.counts.n_lost / allowed if allowed else -1.0

    @property
    def state(self) -> str:
        """``fast burn``, ``slow burn``, ``budget spent`` or ``in budget``."""
        for each in self.windows:
            if each.is_alert:
                return f"{each.window.name} burn"
        return "budget spent" if self.budget_left < 0 else "in budget"


@frozen(kw_only=True)
class CauseLoss:
    """Requests that were lost to one root cause.

    Parameters
    ----------
    service, cause : str
        The service, and the cause in plain words.
    n_lost : int
        Lost requests.
    share : float
        Their share of all that the service lost.
    """

    service: str
    cause: str
    n_lost: int
    share: float


@frozen(kw_only=True)
class SeriesPoint:
    """Requests of one service in one interval.

    Parameters
    ----------
    service : str
        The service.
    start_ms : int
        Start of the interval, in milliseconds since the Unix epoch.
    counts : Counts
        Its requests.
    """

    service: str
    start_ms: int
    counts: Counts


@frozen(kw_only=True)
class BurnReport:
    """A whole report.

    Parameters
    ----------
    start_ms, end_ms : int
        Time of the first and of the last end of a request, in milliseconds.
    services, teams : tuple of GroupBurn
        By service; by service and team, the greatest loss first.
    causes : tuple of CauseLoss
        By service, the greatest loss first.
    series : tuple of SeriesPoint
        Requests over time.
    interval_ms : int
        Length of the intervals of ``series``, in milliseconds.
    outcomes : dict of str to int
        Ends of requests by outcome.
    n_callers_own : int
        Ends that callers brought about; they are not counted above.
    n_lines, n_damaged : int
        Lines read, and damaged ones among them.
    damaged : str
        The damaged lines by name, in plain words.
    """

    start_ms: int = 0
    end_ms: int = 0
    services: tuple[GroupBurn, ...] = ()
    teams: tuple[GroupBurn, ...] = ()
    causes: tuple[CauseLoss, ...] = ()
    series: tuple[SeriesPoint, ...] = ()
    interval_ms: int = 0
    outcomes: dict[str, int] = field(factory=dict)
    n_callers_own: int = 0
    n_lines: int = 0
    n_damaged: int = 0
    damaged: str = ""
