"""Construction of a burn report from log lines, in bounded memory."""

from collections import Counter
from collections.abc import Sequence

from damaskrill.logs import LogLine, LogReader
from damaskrill.report._model import (
    BURN_WINDOWS,
    BurnReport,
    CauseLoss,
    GroupBurn,
    SeriesPoint,
    WindowBurn,
)
from damaskrill.report._objectives import Objectives
from damaskrill.report._requests import EndedRequest, RequestCorrelator
from damaskrill.report._windows import Counts, RecentCounts, TimeSeries

__all__ = ["OTHERS", "ReportBuilder", "build_report"]

MAX_SERVICES = 64
MAX_TEAMS = 200
MAX_CAUSES = 500
OTHERS = "others"
N_RECENT_MINUTES = max(window.long_minutes for window in BURN_WINDOWS)


class _GroupCounts:
    """Counts of a service or of a team on a service."""

    def __init__(self) -> None:
        self.total = Counts()
        self.recent = RecentCounts(n_minutes=N_RECENT_MINUTES)

    def add(self, ended: EndedRequest) -> None:
        self.total.add(is_lost=ended.is_lost)
        self.recent.add(ended.at_ms, is_lost=ended.is_lost)


class ReportBuilder:
    """Incremental builder of a burn report from log lines.

    Parameters
    ----------
    objectives : Objectives
        Objectives that requests are evaluated against.
    max_teams : int, default=200
        Maximum number of pairs of service and team that are counted separately, in
        the order in which their first requests end. The other teams of a service are
        summed as ``others``.
    """

    def __init__(self, *, objectives: Objectives, max_teams: int = MAX_TEAMS) -> None:
        self._objectives = objectives
        self._max_teams = max_teams
        self._correlator = RequestCorrelator(objectives=objectives)
        self._services: dict[str, _GroupCounts] = {}
        self._series: dict[str, TimeSeries] = {}
        self._teams: dict[tuple[str, str], _GroupCounts] = {}
        self._causes: Counter[tuple[str, str]] = Counter()
        self._outcomes: Counter[str] = Counter()
        self._n_callers_own = 0
        self._start_ms = self._end_ms = 0

    def add_line(self, line: LogLine) -> None:
        """Add a log line, and count the request that it ends."""
        for ended in self._correlator.add_line(line):
            self._count(ended)

    def finish(
        self, *, n_lines: int = 0, n_damaged: int = 0, damaged: str = ""
    ) -> BurnReport:
        """Return the report.

        Parameters
        ----------
        n_lines, n_damaged : int
            Numbers of lines read and of damaged lines among them.
        damaged : str
            Sentence that lists the damaged lines.

        Returns
        -------
        BurnReport
            Report on all lines added so far.
        """
        interval_ms, series = self._series_points()
        return BurnReport(
            start_ms=self._start_ms,
            end_ms=self._end_ms,
            services=self._service_burns(),
            teams=self._team_burns(),
            causes=self._cause_losses(),
            series=series,
            interval_ms=interval_ms,
            outcomes=dict(sorted(self._outcomes.items())),
            n_callers_own=self._n_callers_own,
            n_lines=n_lines,
            n_damaged=n_damaged,
            damaged=damaged,
        )

    def _count(self, ended: EndedRequest) -> None:
        if not self._outcomes:
            self._start_ms = self._end_ms = ended.at_ms
        self._start_ms = min(self._start_ms, ended.at_ms)
        self._end_ms = max(self._end_ms, ended.at_ms)
        self._outcomes[ended.outcome] += 1
        if ended.is_callers_own:
            self._n_callers_own += 1
            return
        service = self._service_name(ended.service)
        self._services.setdefault(service, _GroupCounts()).add(ended)
        series = self._series.setdefault(service, TimeSeries())
        series.add(ended.at_ms, is_lost=ended.is_lost)
        self._team_group(service, ended.team).add(ended)
        if ended.is_lost:
            self._count_cause(service, ended.root_cause)

    def _service_name(self, name: str) -> str:
        if name in self._services or len(self._services) < MAX_SERVICES:
            return name
        return OTHERS

    def _team_group(self, service: str, team: str) -> _GroupCounts:
        key = (service, team)
        group = self._teams.get(key)
        if group is None:
            if len(self._teams) >= self._max_teams:
                key = (service, OTHERS)
            group = self._teams.setdefault(key, _GroupCounts())
        return group

    def _count_cause(self, service: str, cause: str) -> None:
        key = (service, cause)
        if key not in self._causes and len(self._causes) >= MAX_CAUSES:
            key = (service, OTHERS)
        self._causes[key] += 1

    def _service_burns(self) -> tuple[GroupBurn, ...]:
        return tuple(
            self._build_group_burn(group, service=service)
            for service, group in sorted(self._services.items())
        )

    def _team_burns(self) -> tuple[GroupBurn, ...]:
        burns = [
            self._build_group_burn(group, service=service, team=team)
            for (service, team), group in self._teams.items()
        ]
        burns.sort(key=lambda each: (-each.counts.n_lost, each.service, each.team))
        return tuple(burns)

    def _build_group_burn(
        self, group: _GroupCounts, *, service: str, team: str = ""
    ) -> GroupBurn:
        allowed = self._objectives.allowed_share(service)
        windows = []
        for window in BURN_WINDOWS:
            long = group.recent.sum_last_minutes(window.long_minutes, self._end_ms)
            short = group.recent.sum_last_minutes(window.short_minutes, self._end_ms)
            burn = WindowBurn(
                window=window,
                long_rate=_burn_rate(long, allowed),
                short_rate=_burn_rate(short, allowed),
            )
            windows.append(burn)
        return GroupBurn(
            service=service,
            team=team,
            counts=group.total,
            allowed_share=allowed,
            windows=tuple(windows),
        )

    def _cause_losses(self) -> tuple[CauseLoss, ...]:
        losses = [
            CauseLoss(
                service=service,
                cause=cause,
                n_lost=n_lost,
                share=n_lost / self._services[service].total.n_lost,
            )
            for (service, cause), n_lost in self._causes.items()
        ]
        losses.sort(key=lambda each: (-each.n_lost, each.service, each.cause))
        return tuple(losses)

    def _series_points(self) -> tuple[int, tuple[SeriesPoint, ...]]:
        interval_ms = max(
            (each.interval_ms for each in self._series.values()), default=0
        )
        points = []
        for service, series in sorted(self._series.items()):
            series.widen_to(interval_ms)
            points += [
                SeriesPoint(service=service, start_ms=start_ms, counts=counts)
                for start_ms, counts in series.items()
            ]
        return interval_ms, tuple(points)


def _burn_rate(counts: Counts, allowed_share: float) -> float:
    if not counts.n_lost:
        return 0.0
    return counts.lost_share / allowed_share if allowed_share else float("inf")


def build_report(
    paths: Sequence[str], *, objectives: Objectives, max_teams: int = MAX_TEAMS
) -> BurnReport:
    """Build a report from log files.

    Parameters
    ----------
    paths : sequence of str
        Log files of one or several routers.
    objectives : Objectives
        Objectives that requests are evaluated against.
    max_teams : int, default=200
        Maximum number of pairs of service and team that are counted separately.

    Returns
    -------
    BurnReport
        Report on all files together.

    Raises
    ------
    UnreadableLogError
        If a file cannot be read.
    """
    reader = LogReader(paths=paths)
    builder = ReportBuilder(objectives=objectives, max_teams=max_teams)
    for line in reader:
        builder.add_line(line)
    return builder.finish(
        n_lines=reader.n_lines,
        n_damaged=reader.damaged.n_lines,
        damaged=reader.damaged.sentence,
    )
