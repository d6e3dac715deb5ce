"""Detection of requests and prompt parts that crash servers, from all reports."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from attrs import evolve, frozen

from damaskrill.steering._crash_cover import BlockedPart, find_crashing_parts
from damaskrill.steering._crash_reports import (
    NO_REQUEST,
    UNKNOWN_WAIT_MS,
    CrashReport,
    ServedReport,
    ServerCrash,
    SoundnessReport,
    refutes_crash,
)
from damaskrill.steering._gossip import GossipLog, short_id, short_server_id
from damaskrill.steering._served_parts import SOUND_MS, ServedParts

__all__ = ["NEW_LINK", "BlockChanges", "CrashDetector"]

ServerKey = tuple[str, int]
Report = CrashReport | ServedReport | SoundnessReport
# Time after a crash in which requests that crash another server and have a suspect in
# common are not retried. Later it counts only against what was not served since.
RECENT_MS = 30_000
# A blocked part is forgotten after this time without a crash or a rejected request, and
# a crash that no blocked part explains after the same time. In a large fleet a router
# gets one of two requests a second within some minutes.
RETENTION_MS = 1_800_000
# Many times the crashes that a decision needs; more servers end only at once.
MAX_CRASHES = 256
N_EVICTED = 64
# The parts nearest to the prompt's end are retained: others are shared by more prompts.
MAX_PARTS_PER_REPORT = 64
MAX_SEEN = 8_192
MAX_LOGGED_REPORTS = 512
# A served part is forwarded if it is served so much later than known before.
MIN_SERVED_GAP_MS = 500
# Interval at which blocked parts are evaluated without new reports.
EVALUATION_INTERVAL_MS = 1_000
ID_MASK = 0xFFFF_FFFF
NEVER_MS = float("-inf")
# Number of a link over which no report has been sent.
NEW_LINK = -1


@frozen
class BlockChanges:
    """What was blocked and released since the last call.

    Parameters
    ----------
    blocked, released : frozenset of int
        Short hashes of prompt parts, and fingerprints of requests.
    requests : frozenset of int
        Those of them that are requests.
    """

    blocked: frozenset[int] = frozenset()
    released: frozenset[int] = frozenset()
    requests: frozenset[int] = frozenset()


@frozen
class _Timed:
    """Report with the local time of its event in milliseconds."""

    report: Report
    at_ms: float


class CrashDetector:
    """Collects reports of crashes and decides what caused them.

    Parameters
    ----------
    router : str
        This router's address.
    first_number : int
        Sequence number of its first report. It must be larger than all numbers that
        earlier processes of this router used.

    Notes
    -----
    Handles requests that crash each server that begins to run them, behind so many
    routers that none of them sees two of the crashes. Either a request comes again, or
    requests that all differ share a prompt part. Parts are short hashes of prompt parts
    (never of the last one of a prompt) and fingerprints of requests.
    """

    def __init__(self, *, router: str, first_number: int = 1) -> None:
        self._router = short_id(router)
        self._number = first_number & ID_MASK
        # By short hash of the server's incarnation, in order of arrival.
        self._crashes: dict[int, ServerCrash] = {}
        self._served = ServedParts()
        self._blocked: dict[int, BlockedPart] = {}
        self._reported: dict[int, BlockedPart] = {}
        self._rejected_ms: dict[int, float] = {}
        self._trials: set[int] = set()
        self._evaluated_ms = NEVER_MS
        self._seen: OrderedDict[tuple[int, int], None] = OrderedDict()
        self._log: GossipLog[_Timed] = GossipLog(max_reports=MAX_LOGGED_REPORTS)

    @property
    def n_crashes(self) -> int:
        """Number of retained crashes."""
        return len(self._crashes)

    def record_crash(
        self,
        key: ServerKey,
        parts: Sequence[int],
        now_ms: float,
        *,
        request: int = NO_REQUEST,
        waited_ms: float = UNKNOWN_WAIT_MS,
    ) -> None:
        """Record that a server broke off a request that it had just begun to run.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        parts : sequence of int
            Parts of the prompt, without the last one; empty if no answer had begun.
        now_ms : float
            Current time in milliseconds.
        request : int
            Fingerprint of the request.
        waited_ms : float
            Time since it was sent, in milliseconds.
        """
        if not parts and request == NO_REQUEST:
            return
        kept = tuple(parts)[-MAX_PARTS_PER_REPORT:]
        server, number = short_server_id(key), self._next_number()
        self._purge(now_ms)
        report = CrashReport(
            server, self._router, number, 0, round(waited_ms), request, kept
        )
        self._add_crash(report, now_ms, "", now_ms)

    def record_answer(self, key: ServerKey, sent_at_ms: float) -> bool:
        """Record that a server answered a request; return whether to tell others.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        sent_at_ms : float
            When the request was sent, in milliseconds.

        Notes
        -----
        If the server seemed to have crashed before, it had only closed a connection.
        """
        server = short_server_id(key)
        if not self._remove_refuted(server, sent_at_ms):
            return False
        report = ServedReport(server, self._router, self._next_number(), 0)
        self._remember(report)
        self._log.add(_Timed(report, sent_at_ms), source="")
        return True

    def record_served(self, parts: Iterable[int], now_ms: float) -> bool:
        """Record a served request; return whether other routers must be told."""
        n_before = self._log.n_reports
        for part in parts:
            self._served.record(part, now_ms, is_told=False)
            self._tell_served(part)
        return self._log.n_reports != n_before

    def apply_reports(
        self,
        reports: Iterable[Report],
        *,
        now_ms: float,
        source: str,
    ) -> bool:
        """Apply the reports of other routers; return whether any has to be forwarded.

        Parameters
        ----------
        reports : iterable of CrashReport, ServedReport or SoundnessReport
            The received reports. Those that an earlier process of this router made
            count as well.
        now_ms : float
            Current time in milliseconds.
        source : str
            Link over which the reports arrived; they are not sent back over it.
        """
        is_news = False
        self._purge(now_ms)
        for each in reports:
            if isinstance(each, SoundnessReport):
                is_news |= self._add_soundness(each, source)
                continue
            at_ms = now_ms - each.age_ms
            if (each.router, each.number) in self._seen:
                self._correct_time(each, at_ms)
                continue
            match each:
                case CrashReport():
                    self._add_crash(each, at_ms, source, now_ms)
                    is_news = True
                case ServedReport():
                    is_news |= self._add_served(each, at_ms, source)
        return is_news

    def find_unserved(self, parts: Iterable[int]) -> list[int]:
        """Return the parts with which no request is known to have been served."""
        return [part for part in parts if not self._served.count(part)]

    def find_blocked(
        self, parts: Iterable[int], now_ms: float
    ) -> tuple[BlockedPart, ...]:
        """Return those of the parts that are blocked."""
        if not self._crashes:
            return ()
        self._evaluate(now_ms)
        return tuple(self._blocked[part] for part in parts if part in self._blocked)

    def record_rejected(self, part: int, now_ms: float) -> None:
        """Record that a request was rejected for a blocked part."""
        self._rejected_ms[part] = now_ms

    def is_suspected(
        self, parts: Iterable[int], *, besides: ServerKey, now_ms: float
    ) -> bool:
        """Return whether another crash may have been caused by one of the parts.

        Parameters
        ----------
        parts : iterable of int
            Parts of the prompt, without the last one.
        besides : tuple of (str, int)
            Incarnation of the server whose crash does not count.
        now_ms : float
            Current time in milliseconds.
        """
        wanted, server = set(parts), short_server_id(besides)
        return any(
            part in wanted and not self._served.is_sound(part, crash.at_ms)
            for each, crash in self._crashes.items()
            if each != server and now_ms - crash.at_ms <= RECENT_MS
            for part in crash.suspects
        )

    def try_begin_trial(self, part: int) -> bool:
        """Reserve the trial of a part; return False if this router is trying it.

        Notes
        -----
        The trial must be ended when its request has ended.
        """
        if part in self._trials:
            return False
        self._trials.add(part)
        return True

    def end_trial(self, part: int) -> None:
        """End the trial of a part."""
        self._trials.discard(part)

    def take_changes(self, now_ms: float) -> BlockChanges:
        """Return which parts were blocked and released since the last call."""
        self._evaluate(now_ms)
        before, current = self._reported, dict(self._blocked)
        self._reported = current
        return BlockChanges(
            frozenset(current.keys() - before.keys()),
            frozenset(before.keys() - current.keys()),
            frozenset(
                part for part, each in {**before, **current}.items() if each.is_request
            ),
        )

    def reports_after(
        self,
        number: int,
        *,
        now_ms: float,
        exclude_link: str = "",
        include_relayed: bool = True,
    ) -> tuple[list[Report], int]:
        """Return the reports to send over a link.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; `NEW_LINK` for a new one,
            which gets all retained reports of crashes.
        now_ms : float
            Current time in milliseconds.
        exclude_link : str, default=""
            The outgoing link. Reports that arrived over it are omitted.
        include_relayed : bool, default=True
            Whether reports received from other routers are sent as well.

        Returns
        -------
        reports : list of CrashReport, ServedReport and SoundnessReport
            Oldest first.
        number : int
            Number for the next call.
        """
        # A router that has started again needs its own former reports as well.
        is_new = number == NEW_LINK
        newest, number = self._log.reports_after(
            number,
            exclude_link="" if is_new else exclude_link,
            include_relayed=include_relayed or is_new,
        )
        if is_new:
            self._evaluate(now_ms)
            newest = [
                *(
                    _Timed(report, crash.at_ms)
                    for crash in self._crashes.values()
                    for report in crash.reports
                ),
                *(each for each in newest if not isinstance(each.report, CrashReport)),
            ]
        return [_with_age(each, now_ms) for each in newest], number

    def _add_crash(
        self, report: CrashReport, at_ms: float, source: str, now_ms: float
    ) -> None:
        self._remember(report)
        self._log.add(_Timed(report, at_ms), source=source)
        crash = self._crashes.setdefault(report.server, ServerCrash(at_ms))
        if not crash.includes(report, at_ms):
            return
        crash.add(report, at_ms)
        if len(self._crashes) > MAX_CRASHES:
            self._evict(now_ms)
        for part in report.suspects:
            self._tell_served(part)
        self._evaluated_ms = NEVER_MS

    def _add_served(self, report: ServedReport, at_ms: float, source: str) -> bool:
        self._remember(report)
        if self._remove_refuted(report.part, at_ms):
            self._log.add(_Timed(report, at_ms), source=source)
            return True
        told_ms = self._served.told_ms(report.part)
        self._served.record(report.part, at_ms, is_told=True)
        self._evaluated_ms = NEVER_MS
        is_news = at_ms >= told_ms + MIN_SERVED_GAP_MS or any(
            told_ms + SOUND_MS < crash.at_ms <= at_ms + SOUND_MS
            for crash in self._crashes.values()
            if report.part in crash.suspects
        )
        if is_news:
            self._log.add(_Timed(report, at_ms), source=source)
        return is_news

    def _tell_served(self, part: int) -> None:
        # Only for parts in crash reports, which keeps the traffic small.
        crashes = [each for each in self._crashes.values() if part in each.suspects]
        if any(part in each.parts for each in crashes):
            self._tell_soundness(part)
        for crash in crashes:
            at_ms = self._served.find_untold(part, crash.at_ms)
            if at_ms is not None:
                served = ServedReport(part, self._router, self._next_number(), 0)
                self._add_served(served, at_ms, "")

    def _tell_soundness(self, part: int) -> None:
        n_served = self._served.take_untold_count(part)
        if n_served:
            self._log_soundness(SoundnessReport(part, n_served), "")

    def _add_soundness(self, report: SoundnessReport, source: str) -> bool:
        if not self._served.record_told_count(report.part, report.n_served):
            return False
        self._evaluated_ms = NEVER_MS
        self._log_soundness(report, source)
        return True

    def _log_soundness(self, report: SoundnessReport, source: str) -> None:
        # Such a report is sent without an age.
        self._log.add(_Timed(report, NEVER_MS), source=source)

    def _correct_time(self, report: CrashReport | ServedReport, at_ms: float) -> None:
        # An age does not include the time on the links: the fastest way tells best.
        if not isinstance(report, CrashReport):
            return
        crash = self._crashes.get(report.server)
        if crash is None or at_ms >= crash.at_ms:
            return
        if crash.includes(report, at_ms):
            crash.at_ms = at_ms
            self._evaluated_ms = NEVER_MS

    def _remove_refuted(self, server: int, sent_at_ms: float) -> bool:
        crash = self._crashes.get(server)
        if crash is None or not refutes_crash(sent_at_ms, at_ms=crash.at_ms):
            return False
        del self._crashes[server]
        self._evaluated_ms = NEVER_MS
        return True

    def _evict(self, now_ms: float) -> None:
        # Several at once, since the evaluation takes time in proportion to them.
        self._evaluate(now_ms)
        by_use = sorted(
            self._crashes,
            key=lambda each: self._blocked.keys().isdisjoint(
                self._crashes[each].suspects
            ),
            reverse=True,
        )
        for server in by_use[:N_EVICTED]:
            del self._crashes[server]

    def _purge(self, now_ms: float) -> None:
        for server, crash in list(self._crashes.items()):
            is_old = now_ms - crash.at_ms > RETENTION_MS
            if is_old and self._blocked.keys().isdisjoint(crash.suspects):
                del self._crashes[server]

    def _discard_sound(self, now_ms: float) -> None:
        # The table of served parts forgets them sooner than the crashes.
        for server, crash in list(self._crashes.items()):
            is_recent = now_ms - crash.at_ms <= RECENT_MS
            if is_recent or not self._blocked.keys().isdisjoint(crash.suspects):
                continue
            crash.discard_sound(self._served.is_sound)
            if not crash.suspects:
                del self._crashes[server]

    def _evaluate(self, now_ms: float) -> None:
        if now_ms - self._evaluated_ms < EVALUATION_INTERVAL_MS:
            return
        self._evaluated_ms = now_ms
        found = find_crashing_parts(
            self._crashes.values(), self._served.is_sound, self._served.count
        )
        self._blocked = {
            part: each
            for part, each in found.items()
            if now_ms - max(each.last_crash_ms, self._rejected_ms.get(part, NEVER_MS))
            <= RETENTION_MS
        }
        self._purge(now_ms)
        self._discard_sound(now_ms)
        for part in self._rejected_ms.keys() - self._blocked.keys():
            del self._rejected_ms[part]

    def _next_number(self) -> int:
        self._number = (self._number + 1) & ID_MASK
        return self._number

    def _remember(self, report: CrashReport | ServedReport) -> None:
        self._seen[report.router, report.number] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)


def _with_age(timed: _Timed, now_ms: float) -> Report:
    if isinstance(timed.report, SoundnessReport):
        return timed.report
    return evolve(timed.report, age_ms=max(0, round(now_ms - timed.at_ms)))
