"""Data classes of a burn report."""

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
        The pair of windows.
    long_rate, short_rate : float
        Burn rates over the long and the short window; 1 spends exactly the budget.
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
    """Error budget burn of one service, or of one team on a service.

    Parameters
    ----------
    service, team : str
        Names of the group; ``team`` is empty for all teams of a service.
    counts : Counts
        Requests over the full time span of the logs.
    allowed_share : float
        Fraction of the requests that may miss the objective (error budget).
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
        """Remaining fraction of the error budget; negative if it is overspent."""
        allowed = self.counts.n_requests * self.allowed_share
        if not self.counts.n_lost:
            return 1.0
        return 1.0 - self.counts.n_lost / allowed if allowed else -1.0

    @property
    def state(self) -> str:
        """State: ``fast burn``, ``slow burn``, ``budget spent`` or ``in budget``."""
        for each in self.windows:
            if each.is_alert:
                return f"{each.window.name} burn"
        return "budget spent" if self.budget_left < 0 else "in budget"


@frozen(kw_only=True)
class CauseLoss:
    """Lost requests of one service with the same root cause.

    Parameters
    ----------
    service : str
        Name of the service.
    cause : str
        Sentence that describes the root cause.
    n_lost : int
        Number of lost requests.
    share : float
        Fraction of all lost requests of the service.
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
        Name of the service.
    start_ms : int
        Start of the interval, in milliseconds since the Unix epoch.
    counts : Counts
        Requests that ended in the interval.
    """

    service: str
    start_ms: int
    counts: Counts


@frozen(kw_only=True)
class BurnReport:
    """Report on the error budget burn of all services in a set of logs.

    Parameters
    ----------
    start_ms, end_ms : int
        Times at which the first and the last request ended, in milliseconds since
        the Unix epoch.
    services : tuple of GroupBurn
        Burn by service, sorted by name.
    teams : tuple of GroupBurn
        Burn by service and team, most lost requests first.
    causes : tuple of CauseLoss
        Losses by service and root cause, most lost requests first.
    series : tuple of SeriesPoint
        Requests over time.
    interval_ms : int
        Length of the intervals of ``series``, in milliseconds.
    outcomes : dict of str to int
        Number of ended requests by outcome.
    n_callers_own : int
        Number of requests whose end the caller caused. They count in ``outcomes``
        only.
    n_lines, n_damaged : int
        Numbers of lines read and of damaged lines among them.
    damaged : str
        Sentence that lists the damaged lines; empty if there are none.
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
