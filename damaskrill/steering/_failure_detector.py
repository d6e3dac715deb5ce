"""Failures of backend servers' requests that the routers tell each other."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable

from attrs import evolve, frozen

from damaskrill.steering._gossip import GossipLog, short_id, short_server_id

__all__ = ["FailureDetector", "FailureReport"]

ServerKey = tuple[str, int]
# Reports that are older say nothing about the present.
RETENTION_MS = 4_000
# Part of its requests that a server fails in usual times, and one that is to be left
# out: servers of the users' pages fail up to 14 of 100 reads, and 45 when disturbed.
BASELINE_FAILURE_RATE = 0.05
FAULTY_FAILURE_RATE = 0.45
# Evidence of a failed and of a good request for the latter, and what is needed of it:
# odds of some thousand to one, as a fleet makes many thousand requests in a minute.
FAILED_EVIDENCE = math.log(FAULTY_FAILURE_RATE / BASELINE_FAILURE_RATE)
GOOD_EVIDENCE = math.log((1 - FAULTY_FAILURE_RATE) / (1 - BASELINE_FAILURE_RATE))
MIN_EVIDENCE = 10.0
# Routers that must have failed to reach a server; one may itself be cut off.
MIN_REPORTERS = 2
# Reports that were seen come again over other links within a few beats.
MAX_SEEN = 8_192
# Reports that are held of one server: many times what is needed to judge it, also
# while too many servers are left out for it to be judged.
MAX_REPORTS = 256
# What a router tells to a new link at most.
MAX_LOGGED_REPORTS = 256
ID_MASK = 0xFFFF_FFFF


@frozen
class FailureReport:
    """Failures that one router saw at one server.

    Parameters
    ----------
    server : int
        Short hash of the server's incarnation.
    router : int
        Short hash of the router's address.
    number : int
        Number of the report, unique for that router.
    data_centre : int
        Short hash of the router's data centre.
    n_failed : int
        Requests that failed.
    n_unreachable : int
        Those of them for which the server could not be reached.
    age_ms : int
        How long ago, in milliseconds.
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
    """News with when the failures were seen."""

    news: FailureReport
    at_ms: float


class FailureDetector:
    """Collects failures from all routers and says which servers they speak against.

    Parameters
    ----------
    router : str
        This router's address.
    data_centre : str
        Where it runs.
    first_number : int
        Number of its first report: larger than those of its former processes.

    Notes
    -----
    Answers the pattern of a server that fails behind so many routers that each of them
    sees too few of its requests to notice. Reports of the own data centre count, and
    those of all others if they come from at least two: routers of one data centre may
    have lost the way to a server that others reach.
    """

    def __init__(self, *, router: str, data_centre: str, first_number: int = 1) -> None:
        self._router = short_id(router)
        self._data_centre = short_id(data_centre)
        self._number = first_number & ID_MASK
        self._unpublished: dict[int, _TimedReport] = {}
        # Reports about each server, in the order in which they came.
        self._reports: dict[int, deque[_TimedReport]] = {}
        self._seen: OrderedDict[tuple[int, int], None] = OrderedDict()
        self._news: GossipLog[_TimedReport] = GossipLog(max_reports=MAX_LOGGED_REPORTS)

    @property
    def n_reports(self) -> int:
        """Reports that are held of all servers."""
        return sum(len(each) for each in self._reports.values())

    @property
    def has_unpublished(self) -> bool:
        """Whether this router has seen failures that it has not told."""
        return bool(self._unpublished)

    def record_failure(
        self, key: ServerKey, *, is_unreachable: bool, now_ms: float
    ) -> None:
        """Take a failure that this router saw."""
        server = short_server_id(key)
        unpublished = self._unpublished.get(server)
        if unpublished is None:
            news = FailureReport(server, self._router, 0, self._data_centre, 0, 0, 0)
            unpublished = _TimedReport(news, now_ms)
        news = evolve(
            unpublished.news,
            n_failed=unpublished.news.n_failed + 1,
            n_unreachable=unpublished.news.n_unreachable + is_unreachable,
        )
        self._unpublished[server] = evolve(unpublished, news=news)

    def record_success(self, key: ServerKey) -> None:
        """Take a good answer: whoever failed to reach the server, this router does."""
        server = short_server_id(key)
        reports = self._reports.get(server)
        if reports is not None and any(each.news.n_unreachable for each in reports):
            reached = (
                evolve(each, news=evolve(each.news, n_unreachable=0))
                for each in reports
            )
            self._reports[server] = deque(reached, maxlen=MAX_REPORTS)

    def apply_reports(
        self, news: Iterable[FailureReport], *, now_ms: float, source: str
    ) -> frozenset[int]:
        """Take what other routers tell.

        Parameters
        ----------
        news : iterable of FailureNews
            Their reports.
        now_ms : float
            Present time in milliseconds.
        source : str
            The link that they came from; they are not told over it again.

        Returns
        -------
        frozenset of int
            Short hashes of the servers about which something is new.
        """
        changed = set()
        for each in news:
            mark = (each.router, each.number)
            if mark in self._seen or each.router == self._router:
                continue
            self._add_report(_TimedReport(each, now_ms - each.age_ms), source)
            changed.add(each.server)
        return frozenset(changed)

    def flush(self) -> None:
        """Make reports of the failures that have not been told yet."""
        for unpublished in self._unpublished.values():
            self._number = (self._number + 1) & ID_MASK
            news = evolve(unpublished.news, number=self._number)
            self._add_report(evolve(unpublished, news=news), "")
        self._unpublished.clear()

    def reports_after(
        self,
        number: int,
        *,
        now_ms: float,
        exclude_link: str = "",
        include_relayed: bool = True,
    ) -> tuple[list[FailureReport], int]:
        """Return what is to be told over a link.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        now_ms : float
            Present time in milliseconds.
        exclude_link : str, default=""
            The link; reports that came from it are left out.
        include_relayed : bool, default=True
            Whether reports that came from other routers are told too.

        Returns
        -------
        news : list of FailureNews
            Oldest first.
        number : int
            Number for the next call.
        """
        fresh, number = self._news.reports_after(
            number, exclude_link=exclude_link, include_relayed=include_relayed
        )
        return [
            evolve(each.news, age_ms=round(now_ms - each.at_ms))
            for each in fresh
            if now_ms - each.at_ms <= RETENTION_MS
        ], number

    def is_suspected(
        self, key: ServerKey, *, expected_per_s: float, now_ms: float
    ) -> bool:
        """Return whether the reports are enough to leave a server out.

        Parameters
        ----------
        key : tuple of (str, int)
            The incarnation.
        expected_per_s : float
            Requests a second that the server probably gets from all routers.
        now_ms : float
            Present time in milliseconds.
        """
        reports = self._reports.get(short_server_id(key), deque())
        while reports and now_ms - reports[0].at_ms > RETENTION_MS:
            reports.popleft()
        if len({each.news.data_centre for each in reports}) > 1:
            return _is_sufficient(reports, expected_per_s, now_ms)
        near = [each for each in reports if each.news.data_centre == self._data_centre]
        return _is_sufficient(near, expected_per_s, now_ms)

    def discard(self, key: ServerKey) -> None:
        """Forget what was told of a server, which is left out now and tried later."""
        self._reports.pop(short_server_id(key), None)

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Forget what was told of servers that are gone."""
        known = {short_server_id(key) for key in keys}
        for server in list(self._reports):
            if server not in known:
                del self._reports[server]

    def _add_report(self, report: _TimedReport, source: str) -> None:
        news = report.news
        self._seen[news.router, news.number] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        reports = self._reports.setdefault(news.server, deque(maxlen=MAX_REPORTS))
        reports.append(report)
        self._news.add(report, source=source)


def _is_sufficient(
    reports: Iterable[_TimedReport], expected_per_s: float, now_ms: float
) -> bool:
    in_order = sorted(reports, key=lambda each: each.at_ms)
    unreached_by = {each.news.router for each in in_order if each.news.n_unreachable}
    if len(unreached_by) >= MIN_REPORTERS:
        return True
    if len({each.news.router for each in in_order}) < MIN_REPORTERS:
        return False
    # A sum of evidence that starts anew when it falls to nothing finds the moment at
    # which a server turned bad (cumulative sum control chart).
    evidence, at_ms = 0.0, now_ms
    good_per_ms = expected_per_s / 1_000 * GOOD_EVIDENCE
    for each in in_order:
        evidence = max(0.0, evidence + good_per_ms * max(0.0, each.at_ms - at_ms))
        evidence += each.news.n_failed * (FAILED_EVIDENCE - GOOD_EVIDENCE)
        at_ms = each.at_ms
    return evidence + good_per_ms * max(0.0, now_ms - at_ms) >= MIN_EVIDENCE
