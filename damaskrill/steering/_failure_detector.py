"""Detection of failing backend servers from the failure reports of all routers."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable

from attrs import evolve, frozen

from damaskrill.steering._failure_shares import FailureShares
from damaskrill.steering._gossip import GossipLog, short_id, short_server_id

__all__ = ["FailureDetector", "FailureReport"]

ServerKey = tuple[str, int]
# Older reports do not reflect the current state of a server.
RETENTION_MS = 4_000
# Failure rate of a server in normal operation, and of one that should be ejected. In
# the users' specification, servers fail up to 14 of 100 reads, and 45 during a fault.
BASELINE_FAILURE_RATE = 0.05
FAULTY_FAILURE_RATE = 0.45
# Log-likelihood ratio of a failed and of a successful request for a faulty server, and
# the threshold for a suspicion. The threshold corresponds to odds of e^10 to one,
# because a fleet sends many thousand requests per minute.
FAILED_EVIDENCE = math.log(FAULTY_FAILURE_RATE / BASELINE_FAILURE_RATE)
GOOD_EVIDENCE = math.log((1 - FAULTY_FAILURE_RATE) / (1 - BASELINE_FAILURE_RATE))
MIN_EVIDENCE = 10.0
# Number of routers that must report failures, or that must report the server as
# unreachable; a single router may itself be cut off.
MIN_REPORTERS = 2
# Duplicates of a report arrive over other links within a few heartbeats.
MAX_SEEN = 8_192
# Reports that are retained per server: many times what a decision needs. The bound also
# holds while no decision is made because too many servers are ejected.
MAX_REPORTS = 256
# Maximum number of reports that are sent over a new link.
MAX_LOGGED_REPORTS = 256
ID_MASK = 0xFFFF_FFFF


@frozen
class FailureReport:
    """Failures that one router observed at one server.

    Parameters
    ----------
    server : int
        Short hash of the server's incarnation.
    router : int
        Short hash of the router's address.
    number : int
        Sequence number of the report, unique for that router.
    data_centre : int
        Short hash of the router's data centre.
    n_failed : int
        Number of failed requests.
    n_unreachable : int
        Number of them for which the server could not be reached.
    age_ms : int
        Time since the failures, in milliseconds.
    """

    server: int
    router: int
    number: int
    data_centre: int
    n_failed: int
    n_unreachable: int
    age_ms: int


@frozen
class _TimedReport:
    """Report with the local time of the failures."""

    report: FailureReport
    at_ms: float


class FailureDetector:
    """Collects failure reports from all routers and decides which servers are faulty.

    Parameters
    ----------
    router : str
        This router's address.
    data_centre : str
        Data centre of this router.
    first_number : int
        Sequence number of its first report. It must be larger than all numbers that
        earlier processes of this router used.

    Notes
    -----
    Handles a failing server behind so many routers that each of them sees too few of
    its requests to notice. Reports from the router's own data centre always count.
    Reports from other data centres count only if reports come from at least two data
    centres, because the routers of one data centre may have lost the connection to a
    server that others can reach.
    """

    def __init__(self, *, router: str, data_centre: str, first_number: int = 1) -> None:
        self._router = short_id(router)
        self._data_centre = short_id(data_centre)
        self._number = first_number & ID_MASK
        self._unpublished: dict[int, _TimedReport] = {}
        # Reports about each server, in order of arrival.
        self._reports: dict[int, deque[_TimedReport]] = {}
        self._seen: OrderedDict[tuple[int, int], None] = OrderedDict()
        self._log: GossipLog[_TimedReport] = GossipLog(max_reports=MAX_LOGGED_REPORTS)
        self._shares = FailureShares()

    @property
    def shares(self) -> FailureShares:
        """Share of its requests that each server fails."""
        return self._shares

    @property
    def n_reports(self) -> int:
        """Number of retained reports about all servers."""
        return sum(len(each) for each in self._reports.values())

    @property
    def has_unpublished(self) -> bool:
        """Whether this router has observed failures that it has not published."""
        return bool(self._unpublished)

    def record_failure(
        self, key: ServerKey, *, is_unreachable: bool, now_ms: float
    ) -> None:
        """Record a failure that this router observed."""
        server = short_server_id(key)
        unpublished = self._unpublished.get(server)
        if unpublished is None:
            report = FailureReport(server, self._router, 0, self._data_centre, 0, 0, 0)
            unpublished = _TimedReport(report, now_ms)
        report = evolve(
            unpublished.report,
            n_failed=unpublished.report.n_failed + 1,
            n_unreachable=unpublished.report.n_unreachable + is_unreachable,
        )
        self._unpublished[server] = evolve(unpublished, report=report)

    def record_success(self, key: ServerKey) -> None:
        """Record a successful request.

        Notes
        -----
        Reports that the server was unreachable no longer count, as this router can
        reach it.
        """
        server = short_server_id(key)
        reports = self._reports.get(server)
        if reports is not None and any(each.report.n_unreachable for each in reports):
            reached = (
                evolve(each, report=evolve(each.report, n_unreachable=0))
                for each in reports
            )
            self._reports[server] = deque(reached, maxlen=MAX_REPORTS)

    def apply_reports(
        self, reports: Iterable[FailureReport], *, now_ms: float, source: str
    ) -> frozenset[int]:
        """Apply the reports of other routers.

        Parameters
        ----------
        reports : iterable of FailureReport
            The received reports.
        now_ms : float
            Current time in milliseconds.
        source : str
            Link over which the reports arrived; they are not sent back over it.

        Returns
        -------
        frozenset of int
            Short hashes of the servers with new reports.
        """
        changed = set()
        for each in reports:
            report_id = (each.router, each.number)
            if report_id in self._seen or each.router == self._router:
                continue
            self._add_report(_TimedReport(each, now_ms - each.age_ms), source)
            changed.add(each.server)
        return frozenset(changed)

    def flush(self) -> None:
        """Turn the unpublished failures into reports."""
        for unpublished in self._unpublished.values():
            self._number = (self._number + 1) & ID_MASK
            report = evolve(unpublished.report, number=self._number)
            self._add_report(evolve(unpublished, report=report), "")
        self._unpublished.clear()

    def reports_after(
        self,
        number: int,
        *,
        now_ms: float,
        exclude_link: str = "",
        include_relayed: bool = True,
    ) -> tuple[list[FailureReport], int]:
        """Return the reports to send over a link.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        now_ms : float
            Current time in milliseconds.
        exclude_link : str, default=""
            The outgoing link. Reports that arrived over it are omitted.
        include_relayed : bool, default=True
            Whether reports received from other routers are sent as well.

        Returns
        -------
        reports : list of FailureReport
            Oldest first.
        number : int
            Number for the next call.
        """
        newest, number = self._log.reports_after(
            number, exclude_link=exclude_link, include_relayed=include_relayed
        )
        return [
            evolve(each.report, age_ms=round(now_ms - each.at_ms))
            for each in newest
            if now_ms - each.at_ms <= RETENTION_MS
        ], number

    def is_suspected(
        self, key: ServerKey, *, expected_per_s: float, now_ms: float
    ) -> bool:
        """Return whether the reports suffice to eject a server.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        expected_per_s : float
            Expected requests per second at the server from all routers.
        now_ms : float
            Current time in milliseconds.
        """
        reports = self._reports.get(short_server_id(key), deque())
        while reports and now_ms - reports[0].at_ms > RETENTION_MS:
            reports.popleft()
        if len({each.report.data_centre for each in reports}) > 1:
            return _is_sufficient(reports, expected_per_s, now_ms)
        local = [
            each for each in reports if each.report.data_centre == self._data_centre
        ]
        return _is_sufficient(local, expected_per_s, now_ms)

    def discard(self, key: ServerKey) -> None:
        """Discard the reports about a server, which is ejected and retried later."""
        self._reports.pop(short_server_id(key), None)

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Discard the reports about all other servers."""
        retained = {short_server_id(key) for key in keys}
        for server in list(self._reports):
            if server not in retained:
                del self._reports[server]
        self._shares.retain_only(retained)

    def _add_report(self, timed: _TimedReport, source: str) -> None:
        report = timed.report
        self._seen[report.router, report.number] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        reports = self._reports.setdefault(report.server, deque(maxlen=MAX_REPORTS))
        reports.append(timed)
        n_reached = report.n_failed - report.n_unreachable
        self._shares.record_failures(report.server, n_reached, timed.at_ms)
        self._log.add(timed, source=source)


def _is_sufficient(
    reports: Iterable[_TimedReport], expected_per_s: float, now_ms: float
) -> bool:
    in_order = sorted(reports, key=lambda each: each.at_ms)
    unreachable_from = {
        each.report.router for each in in_order if each.report.n_unreachable
    }
    if len(unreachable_from) >= MIN_REPORTERS:
        return True
    if len({each.report.router for each in in_order}) < MIN_REPORTERS:
        return False
    # CUSUM (cumulative sum control chart): the sum is reset whenever it falls to zero,
    # so it detects the moment at which a server becomes faulty.
    evidence, at_ms = 0.0, now_ms
    good_per_ms = expected_per_s / 1_000 * GOOD_EVIDENCE
    for each in in_order:
        evidence = max(0.0, evidence + good_per_ms * max(0.0, each.at_ms - at_ms))
        evidence += each.report.n_failed * (FAILED_EVIDENCE - GOOD_EVIDENCE)
        at_ms = each.at_ms
    return evidence + good_per_ms * max(0.0, now_ms - at_ms) >= MIN_EVIDENCE
