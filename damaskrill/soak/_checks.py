"""Guarantees that a soak test checks against the records of callers and servers."""

from collections.abc import Callable, Sequence

from attrs import frozen

from damaskrill.fakes.platform import MAX_SERVERS, NOT_RUN_STATUSES
from damaskrill.soak._callers import Exchange

__all__ = [
    "STREAM_PREFIXES",
    "ServerRecord",
    "Violation",
    "check_exchanges",
    "check_leaving",
    "check_pauses",
    "was_sent_after_restart",
]

STREAM_PREFIXES = ("/chat/", "/check/")
REPEATABLE_PATHS = ("/check/", "/read/", "/probe-")
STATUS_OK = 200
# Statuses of final answers (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
# The users allow two requests from a router between half a second after the refusal and
# the end of the pause.
PAUSE_SLACK_S = 0.5
MAX_IN_PAUSE = 2


@frozen(kw_only=True)
class Violation:
    """A violated guarantee.

    Parameters
    ----------
    promise : str
        Name of the guarantee.
    request_id : str
        The request; empty if the guarantee is about all requests.
    detail : str
        What was observed.
    """

    promise: str
    request_id: str
    detail: str


@frozen(kw_only=True)
class ServerRecord:
    """Requests that a backend server received and ran.

    Parameters
    ----------
    server_id : str
        ID of the server.
    runs : dict of str to int
        Number of runs by request ID.
    arrivals : tuple of (float, str)
        Arrival times, on the monotonic clock in seconds, and request IDs.
    pauses : tuple of (float, str)
        Times at which it refused a request and asked for a pause, and request IDs.
    silences : tuple of (float, float, str)
        Begin and intended end of its silences, and request IDs.
    deadlines : tuple of (float, str, int or None)
        Arrival times, request IDs and the time in milliseconds that the request states
        to be left; None if it states none.
    service, version : str
        Its service, and the version of its software.
    data_centre : str
        Its data centre.
    serving : tuple of (float, float)
        Begin and end of the time for which it was registered and not leaving.
    """

    server_id: str
    runs: dict[str, int]
    arrivals: tuple[tuple[float, str], ...]
    pauses: tuple[tuple[float, str], ...] = ()
    silences: tuple[tuple[float, float, str], ...] = ()
    deadlines: tuple[tuple[float, str, int | None], ...] = ()
    service: str = ""
    version: str = ""
    data_centre: str = ""
    serving: tuple[float, float] = (0.0, float("inf"))


def check_exchanges(
    exchanges: Sequence[Exchange], servers: Sequence[ServerRecord]
) -> list[Violation]:
    """Return the violations of the guarantees about single requests.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        Records of all servers.

    Returns
    -------
    list of Violation
        Violations of at-most-once execution, the limit of servers, truthful refusals
        and answers to the caller's own request, and runs of requests that no caller
        sent.
    """
    violations = []
    sent_ids = {each.request_id for each in exchanges}
    for exchange in exchanges:
        n_runs = sum(each.runs.get(exchange.request_id, 0) for each in servers)
        violations += _check_exchange(exchange, n_runs)
        ran_at = [
            each.server_id for each in servers if each.runs.get(exchange.request_id)
        ]
        if len(ran_at) > MAX_SERVERS:
            detail = f"{exchange.path} ran at {', '.join(ran_at)}"
            violations.append(
                Violation(
                    promise="max_servers",
                    request_id=exchange.request_id,
                    detail=detail,
                )
            )
    for server in servers:
        violations += [
            Violation(promise="unasked", request_id=each, detail=server.server_id)
            for each in server.runs
            if each not in sent_ids
        ]
    return violations


def _check_exchange(exchange: Exchange, n_runs: int) -> list[Violation]:
    def violation(promise: str, detail: str) -> Violation:
        return Violation(promise=promise, request_id=exchange.request_id, detail=detail)

    violations = []
    is_repeatable = exchange.path.startswith(REPEATABLE_PATHS)
    if n_runs > 1 and not is_repeatable:
        violations.append(
            violation("at_most_once", f"{exchange.path} ran {n_runs} times")
        )
    if exchange.status and exchange.status not in FINAL_STATUSES:
        violations.append(violation("status", f"status {exchange.status}"))
    if exchange.status in NOT_RUN_STATUSES and n_runs and not is_repeatable:
        violations.append(
            violation("not_run", f"status {exchange.status}, ran {n_runs} times")
        )
    if exchange.status != STATUS_OK or not exchange.is_complete:
        return violations
    is_stream = exchange.path.startswith(STREAM_PREFIXES)
    if not is_stream and exchange.request_id.encode() not in exchange.body:
        violations.append(violation("own_answer", repr(exchange.body[:200])))
    return violations


def check_leaving(
    server: ServerRecord,
    notice_at: float,
    bound_s: float,
    unaffected_ids: Sequence[str],
) -> list[Violation]:
    """Return the requests that a leaving server received after the drain bound.

    Parameters
    ----------
    server : ServerRecord
        Record of the leaving server.
    notice_at : float
        Time at which the store accepted its leaving notice, on the monotonic clock.
    bound_s : float
        Time after which it must not receive new requests, in seconds.
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


def was_sent_after_restart(
    exchange: Exchange, starts: Sequence[float], since: float
) -> bool:
    """Return whether its router's process started after some event.

    Parameters
    ----------
    exchange : Exchange
        The request.
    starts : sequence of float
        Times at which processes of its router started, on the monotonic clock.
    since : float
        Time of the event, of which a later process need not know.
    """
    return any(since < at <= exchange.sent_at for at in starts)


def check_pauses(
    server: ServerRecord,
    exchanges: Sequence[Exchange],
    pause_s: float,
    unaffected_ids: Sequence[str],
    starts_of: Callable[[int], Sequence[float]],
    has_fault_since: Callable[[int, float, float], bool],
) -> list[Violation]:
    """Return the pauses in which a server got more than some requests in transit.

    Parameters
    ----------
    server : ServerRecord
        Record of the server.
    exchanges : sequence of Exchange
        All requests.
    pause_s : float
        Pause that the server asks for, in seconds.
    unaffected_ids : sequence of str
        Requests whose router was neither killed nor paused around that time.
    starts_of : callable
        Returns when processes of a router, given its number, started. A process that
        has started since a refusal need not know of the pause.
    has_fault_since : callable
        Returns whether a fault of a router, given its number, began in a period. One
        that was cut off from the servers since sends through a peer, which was not
        asked for a pause.
    """
    by_id = {each.request_id: each for each in exchanges}
    unaffected = set(unaffected_ids)
    violations = []
    for paused_at, refused_id in server.pauses:
        if refused_id not in unaffected:
            continue
        router = by_id[refused_id].router
        later = [
            request_id
            for at, request_id in server.arrivals
            if paused_at + PAUSE_SLACK_S < at < paused_at + pause_s
            and request_id in by_id
            and by_id[request_id].router == router
            and not was_sent_after_restart(
                by_id[request_id], starts_of(router), paused_at
            )
            and not has_fault_since(router, paused_at, at)
        ]
        if len(later) > MAX_IN_PAUSE:
            detail = f"{server.server_id} got {len(later)} requests in a pause"
            violations.append(
                Violation(promise="pause", request_id=refused_id, detail=detail)
            )
    return violations
