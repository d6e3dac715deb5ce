"""Check for requests that a router ended although nothing but planned work happened."""

from collections.abc import Sequence

from damaskrill.fakes.platform import NOT_RUN_STATUSES
from damaskrill.soak._callers import DEADLINE_MS, Exchange
from damaskrill.soak._checks import ServerRecord, Violation
from damaskrill.soak._disruptions import Disruptions
from damaskrill.soak._routers import GRACE_PERIOD_S

__all__ = ["check_interruptions"]

STATUS_OK = 200
# A request that has used this fraction of its time may have been ended for lack of it.
MAX_TIME_FRACTION = 0.9
# A stopping router may end a request that came until this time after its signal, in
# seconds, if the server still works in the last part of the grace period.
MAX_SENT_AFTER_STOP_S = 3.0
GRACE_FRACTION = 5 / 6


def check_interruptions(
    exchanges: Sequence[Exchange],
    servers: Sequence[ServerRecord],
    disruptions: Disruptions,
) -> list[Violation]:
    """Return the requests that ended without a complete answer or a refusal.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        Records of all servers.
    disruptions : Disruptions
        Times of faults and of planned work.

    Returns
    -------
    list of Violation
        Requests that reached a server, whose router had no unplanned fault in their
        time nor the servers that ran them, and that ended early: ``silent_server`` if
        one of the servers was silent for a while, else ``planned_work`` if a stop or a
        change of the configuration came in their time, else ``interrupted``. A server
        that refused a request is no reason to end it at the one that runs it.
    """
    servers_of: dict[str, set[str]] = {}
    ran_at: dict[str, set[str]] = {}
    silent_at: dict[str, str] = {}
    silent_until: dict[str, float] = {}
    for server in servers:
        for _, request_id in server.arrivals:
            servers_of.setdefault(request_id, set()).add(server.server_id)
        for request_id in server.runs:
            ran_at.setdefault(request_id, set()).add(server.server_id)
        for _, ends_at, request_id in server.silences:
            silent_at[request_id] = server.server_id
            silent_until[request_id] = ends_at
    violations = []
    for each in exchanges:
        reached = servers_of.get(each.request_id, set())
        if not reached or not _ended_early(each):
            continue
        begin, end = each.sent_at, each.ended_at
        if disruptions.hit_router(each.router, begin, end) or any(
            disruptions.hit_server(server_id, begin, end)
            for server_id in ran_at.get(each.request_id, reached)
        ):
            continue
        if _outlasts_grace(each, silent_until.get(each.request_id, 0.0), disruptions):
            continue
        work = disruptions.find_planned(each.router, begin, end)
        promise = "planned_work" if work else "interrupted"
        if each.request_id in silent_at:
            promise = "silent_server"
        detail = (
            f"{each.path} at router {each.router}, status {each.status}, "
            f"{'complete' if each.is_complete else 'cut'} after {end - begin:.2f} s, "
            f"servers {', '.join(sorted(reached))}, "
            f"silent {silent_at.get(each.request_id, 'none')}, "
            f"planned work {', '.join(work) or 'none'}"
        )
        violations.append(
            Violation(promise=promise, request_id=each.request_id, detail=detail)
        )
    return violations


def _ended_early(exchange: Exchange) -> bool:
    if not exchange.ended_at:
        return False
    duration_ms = (exchange.ended_at - exchange.sent_at) * 1_000
    if duration_ms >= MAX_TIME_FRACTION * DEADLINE_MS:
        return False
    is_answer = exchange.status in (STATUS_OK, *NOT_RUN_STATUSES)
    return not (exchange.is_complete and is_answer)


def _outlasts_grace(
    exchange: Exchange, works_until: float, disruptions: Disruptions
) -> bool:
    return any(
        exchange.sent_at <= stopped_at + MAX_SENT_AFTER_STOP_S
        and exchange.ended_at <= stopped_at + GRACE_PERIOD_S + 1
        and works_until >= stopped_at + GRACE_FRACTION * GRACE_PERIOD_S
        for stopped_at in disruptions.stops_before(exchange.router, exchange.ended_at)
    )
