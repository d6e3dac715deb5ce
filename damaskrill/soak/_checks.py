"""Promises that a soak checks from what callers and servers saw."""

from collections.abc import Sequence

from attrs import frozen

from damaskrill.fakes.platform import NOT_RUN_STATUSES
from damaskrill.soak._callers import Exchange

__all__ = [
    "ServerRecord",
    "Violation",
    "check_exchanges",
    "check_leaving",
    "check_planned_work",
]

REPEATABLE_PATHS = ("/check/", "/read/")
STATUS_OK = 200


@frozen(kw_only=True)
class Violation:
    """A promise that was broken."""

    promise: str
    request_id: str
    detail: str


@frozen(kw_only=True)
class ServerRecord:
    """What a server saw.

    Parameters
    ----------
    server_id : str
        The server.
    runs : dict of str to int
        Runs by request ID.
    arrivals : tuple of (float, str)
        When requests came, on the steady clock, and their IDs.
    """

    server_id: str
    runs: dict[str, int]
    arrivals: tuple[tuple[float, str], ...]


def check_exchanges(
    exchanges: Sequence[Exchange], servers: Sequence[ServerRecord], n_events: int
) -> list[Violation]:
    """Return what was broken for single requests."""
    breaches = []
    sent_ids = {each.request_id for each in exchanges}
    for exchange in exchanges:
        n_runs = sum(each.runs.get(exchange.request_id, 0) for each in servers)
        breaches += _check_one(exchange, n_runs, n_events)
    for server in servers:
        breaches += [
            Violation(promise="unasked", request_id=each, detail=server.server_id)
            for each in server.runs
            if each not in sent_ids
        ]
    return breaches


def _check_one(exchange: Exchange, n_runs: int, n_events: int) -> list[Violation]:
    def violation(promise: str, detail: str) -> Violation:
        return Violation(promise=promise, request_id=exchange.request_id, detail=detail)

    found = []
    is_repeatable = exchange.path.startswith(REPEATABLE_PATHS)
    if n_runs > 1 and not is_repeatable:
        found.append(violation("at_most_once", f"{exchange.path} ran {n_runs} times"))
    if exchange.status in NOT_RUN_STATUSES and n_runs and not is_repeatable:
        found.append(
            violation("not_run", f"status {exchange.status}, ran {n_runs} times")
        )
    if exchange.status != STATUS_OK or not exchange.is_complete:
        return found
    if exchange.path.startswith(("/chat/", "/check/")):
        expected = b"".join(
            b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, n_events + 1)
        )
        if exchange.body != expected:
            found.append(violation("whole_stream", repr(exchange.body[:200])))
    elif exchange.request_id.encode() not in exchange.body:
        found.append(violation("own_answer", repr(exchange.body[:200])))
    return found


def check_planned_work(
    exchanges: Sequence[Exchange],
    servers: Sequence[ServerRecord],
    fault_windows: Sequence[tuple[float, float]],
) -> list[Violation]:
    """Return requests that planned work alone cut off.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        What the servers saw.
    fault_windows : sequence of (float, float)
        Begin and end of all faults that are no planned work, on the steady clock.
    """
    arrived = {each for server in servers for _, each in server.arrivals}
    found = []
    for each in exchanges:
        if each.is_complete or not each.ended_at or each.request_id not in arrived:
            continue
        if any(a <= each.ended_at and b >= each.sent_at for a, b in fault_windows):
            continue
        detail = f"{each.path} at router {each.router}, status {each.status}"
        found.append(
            Violation(promise="planned_work", request_id=each.request_id, detail=detail)
        )
    return found


def check_leaving(
    server: ServerRecord,
    notice_at: float,
    bound_s: float,
    unaffected_ids: Sequence[str],
) -> list[Violation]:
    """Return requests that a leaving server got too late.

    Parameters
    ----------
    server : ServerRecord
        The server.
    notice_at : float
        When the store took its notice, on the steady clock.
    bound_s : float
        Time within which nothing new may come, in seconds.
    unaffected_ids : sequence of str
        Requests whose router was neither killed nor paused around that time.
    """
    return [
        Violation(
            promise="leaving",
            request_id=request_id,
            detail=f"{server.server_id} got it {at - notice_at:.2f} s after its notice",
        )
        for at, request_id in server.arrivals
        if at > notice_at + bound_s and request_id in unaffected_ids
    ]
