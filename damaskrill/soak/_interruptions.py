"""Checks of requests that a router ended although nothing excused it."""

from collections.abc import Sequence

from damaskrill.fakes.platform import NOT_RUN_STATUSES
from damaskrill.soak._callers import Exchange
from damaskrill.soak._checks import STREAM_PREFIXES, ServerRecord, Violation
from damaskrill.soak._excuses import Excuses

__all__ = ["check_closed_connections", "check_interruptions"]

STATUS_OK = 200
MAX_CLOSED = 3


def check_interruptions(
    exchanges: Sequence[Exchange],
    servers: Sequence[ServerRecord],
    excuses: Excuses,
) -> list[Violation]:
    """Return the requests that ended without a complete answer or a refusal.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        Records of all servers.
    excuses : Excuses
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
        if not reached or not _ended_early(each) or excuses.is_time_used(each):
            continue
        begin, end = each.sent_at, each.ended_at
        ran = ran_at.get(each.request_id, reached)
        # The request may have gone through a peer.
        if excuses.is_router_disrupted(each) or excuses.may_peer_have_ended(each):
            continue
        if excuses.is_server_disrupted(ran, begin, end):
            continue
        if excuses.outlasts_grace(each, silent_until.get(each.request_id, 0.0)):
            continue
        work = excuses.disruptions.find_planned(each.router, begin, end)
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
    if not exchange.ended_at or exchange.has_left:
        return False
    is_answer = exchange.status in (STATUS_OK, *NOT_RUN_STATUSES)
    return not (exchange.is_complete and is_answer)


def check_closed_connections(
    exchanges: Sequence[Exchange], servers: Sequence[ServerRecord], excuses: Excuses
) -> list[Violation]:
    """Return whether routers closed kept connections with requests passed on.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        Records of all servers.
    excuses : Excuses
        Times of faults. Trouble of the store excuses streams only.
    """
    arrived: dict[str, set[str]] = {}
    for server in servers:
        for _, request_id in server.arrivals:
            arrived.setdefault(request_id, set()).add(server.server_id)
    closed = []
    for each in exchanges:
        reached = arrived.get(each.request_id)
        if not reached or not each.is_on_kept or not each.is_closed or each.status:
            continue
        is_stream = each.path.startswith(STREAM_PREFIXES)
        if excuses.is_server_disrupted(reached, each.sent_at, each.ended_at):
            continue
        if excuses.is_in_touch(
            each.router, each.sent_at, each.ended_at, needs_store=is_stream
        ):
            closed.append(each)
    if len(closed) <= MAX_CLOSED:
        return []
    detail = f"{len(closed)} requests, the first at router {closed[0].router}"
    return [
        Violation(
            promise="closed_connections",
            request_id=closed[0].request_id,
            detail=detail,
        )
    ]
