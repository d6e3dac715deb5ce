"""Rules on requests and streams, judged by what callers and servers saw."""

from collections import defaultdict

from attrs import define

from features.support.piece_callers import find_last_number
from features.support.piece_servers import build_body, build_piece

# Time without disruption after which a router is in touch.
CONTACT_S = 4.0
# Time after the last byte of a request in which its connection may still close unread.
LOSS_SLACK_S = 0.5
# Requests sent later than this after a SIGTERM must end before the process does.
LATE_S = 3.0
# Answers that are that close to the deadline may be cut by it.
DEADLINE_SLACK_S = 0.1
NOT_RUN = (408, 421, 429, 503)


@define(kw_only=True)
class Violation:
    """A broken rule and the request that shows it."""

    rule: str
    detail: str
    exchange: object


class Judge:
    """Finds violations among the exchanges of a play.

    Parameters
    ----------
    exchanges : list of Exchange
        All requests.
    runs : list of Run
        All runs.
    routers : list of RouterRecord
        The routers, and what was done to them.
    grace_s : float
        Time from SIGTERM until a process is killed, in seconds.
    """

    def __init__(self, *, exchanges, runs, routers, grace_s):
        self._exchanges = exchanges
        self._routers = routers
        self._grace_s = grace_s
        self._runs = defaultdict(list)
        for run in runs:
            self._runs[run.request_id].append(run)

    def find_violations(self):
        """Return all violations."""
        checks = (
            self._check_lost,
            self._check_order,
            self._check_body,
            self._check_repeated,
        )
        found = []
        for exchange in self._exchanges:
            for check in checks:
                rule, detail = check(exchange) or ("", "")
                if rule:
                    found.append(Violation(rule=rule, detail=detail, exchange=exchange))
        return [*found, *self._find_joins()]

    def runs_of(self, exchange):
        """Return the runs of a request."""
        return self._runs[exchange.request_id]

    def _is_disrupted(self, exchange):
        since = exchange.begun_at - CONTACT_S
        router = self._routers[exchange.router]
        return router.is_paused or any(
            since <= at <= exchange.ended_at + DEADLINE_SLACK_S
            for at in router.disruptions
        )

    def _check_lost(self, exchange):
        if exchange.end not in ("closed", "reset") or self._is_disrupted(exchange):
            return None
        elapsed_s = exchange.ended_at - exchange.begun_at
        limit_s = exchange.kind.deadline_ms / 1_000
        runs = self.runs_of(exchange)
        if elapsed_s >= limit_s - DEADLINE_SLACK_S:
            return None
        if not runs:
            if exchange.ended_at - exchange.sent_at <= LOSS_SLACK_S:
                return None
            return "LOST", "it was not passed on and closed late"
        if any(run.end == "broken" for run in runs):
            return None
        router = self._routers[exchange.router]
        stops = [at for at in router.stops if at <= exchange.ended_at]
        detail = "no planned work"
        if stops and exchange.ended_at - stops[-1] <= self._grace_s + 1:
            was_at_work = runs[-1].ended_at >= stops[-1] + self._grace_s * 5 / 6
            if was_at_work and exchange.sent_at <= stops[-1] + LATE_S:
                return None
            detail = (
                f"sent {exchange.sent_at - stops[-1]:.2f} s and ended"
                f" {exchange.ended_at - stops[-1]:.2f} s after SIGTERM"
            )
        return "LOST", detail

    def _check_order(self, exchange):
        if not exchange.kind.is_stream or exchange.status != 200:
            return None
        versions = {run.version for run in self.runs_of(exchange)}
        body, number = exchange.body, exchange.resumed_after
        events = body.split(b"\n\n")
        for event in events[:-1]:
            number += 1
            wanted = {
                build_piece(exchange.stream, each, number)[:-2] for each in versions
            }
            if event not in wanted:
                return "ORDER", f"piece {number} is {event!r}"
        if exchange.end == "complete" and events[-1]:
            return "ORDER", "it ends inside a piece"
        if exchange.end == "complete" and number != exchange.n_pieces:
            return "ORDER", f"complete after {number} of {exchange.n_pieces} pieces"
        return None

    def _check_body(self, exchange):
        if exchange.end == "invalid":
            return "MIXED", "it is no answer"
        if exchange.status != 200:
            return None
        if exchange.headers.get("damaskrill-response-seal") != "seal":
            return "MIXED", "a success without seal"
        is_plain = not exchange.kind.is_stream and exchange.end == "complete"
        if is_plain and exchange.body != build_body(exchange.request_id):
            return "MIXED", "the body is not the server's"
        return None

    def _check_repeated(self, exchange):
        n_runs = len(self.runs_of(exchange))
        if exchange.kind.is_repeatable:
            return None
        if n_runs > 1:
            return "TWICE", f"{n_runs} runs"
        if n_runs and exchange.end == "complete" and exchange.status in NOT_RUN:
            return "REFUSED", f"{exchange.status}, and it has run"
        return None

    def _find_joins(self):
        """Return streams that hold pieces of two versions, over all tries."""
        streams = defaultdict(list)
        for exchange in self._exchanges:
            if exchange.kind.is_stream and find_last_number(exchange.body):
                streams[exchange.stream].append(exchange)
        found = []
        for tries in streams.values():
            text = b"".join(each.body for each in tries)
            versions = {each for each in (b" v1 ", b" v2 ") if each in text}
            if len(versions) > 1:
                found.append(
                    Violation(rule="ORDER", detail="two versions", exchange=tries[-1])
                )
        return found

    def summarize(self):
        """Return figures of the play."""
        ends, refusals = defaultdict(int), defaultdict(int)
        for each in self._exchanges:
            ends[each.end] += 1
            if each.end == "complete" and each.status != 200:
                refusals[each.status] += 1
        again = [each for each in self._exchanges if each.resumes]
        return {
            "n_requests": len(self._exchanges),
            "n_on_kept": sum(each.n_before > 0 for each in self._exchanges),
            "n_taken_up": len(again),
            "n_gone_on": sum(each.status == 200 for each in again),
            "ends": dict(ends),
            "refusals": dict(refusals),
        }
