"""Collection of the log lines of one request and of the related fleet events."""

from collections.abc import Sequence

from attrs import field, frozen

from damaskrill.exceptions import RequestNotLoggedError
from damaskrill.explain._slots import collect_rivals
from damaskrill.logs import DamagedLines, LogLine, LogReader

__all__ = ["RequestChain", "collect_chain"]

# A fleet event may still affect a request that arrives this much later.
FLEET_EVENT_WINDOW_MS = 600_000
MAX_FLEET_EVENTS = 40
FLEET_EVENTS = frozenset(
    (
        "server_cold",
        "server_leaving",
        "circuit_opened",
        "circuit_closed",
        "data_centre_out",
        "data_centre_back",
        "process_paused",
        "partition_suspected",
        "peer_lost",
        "text_refused",
    )
)


@frozen(kw_only=True)
class RequestChain:
    """Log lines of one request and the fleet events related to it.

    Parameters
    ----------
    request_id : str
        ID of the request.
    lines : tuple of LogLine
        Lines of the request, by time.
    background : tuple of LogLine
        Fleet events that concern routers, backend servers, data centres or text
        versions involved in the request, by time.
    damaged : DamagedLines
        Lines that could not be parsed.
    rivals : tuple of LogLine
        Decisions on requests that competed with it for the slots of a service.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    background: tuple[LogLine, ...] = ()
    damaged: DamagedLines = field(factory=DamagedLines)
    rivals: tuple[LogLine, ...] = ()


def collect_chain(request_id: str, paths: Sequence[str]) -> RequestChain:
    """Collect the log lines of one request.

    Parameters
    ----------
    request_id : str
        ID of the request.
    paths : sequence of str
        Log files of one or several routers.

    Returns
    -------
    RequestChain
        Lines of the request and the related fleet events.

    Raises
    ------
    RequestNotLoggedError
        If no line belongs to the request.
    UnreadableLogError
        If a file cannot be read.
    """
    reader = LogReader(paths=paths, substring=request_id.encode())
    lines = [line for line in reader if _belongs_to(line, request_id)]
    if not request_id or not lines:
        raise RequestNotLoggedError(request_id=request_id)
    lines.sort(key=lambda line: line.at_ms)
    full_reader = LogReader(paths=paths)
    background = _collect_fleet_events(lines, full_reader)
    return RequestChain(
        request_id=request_id,
        lines=tuple(lines),
        background=background,
        damaged=full_reader.damaged,
        rivals=tuple(collect_rivals(lines, paths)),
    )


def _belongs_to(line: LogLine, request_id: str) -> bool:
    if line.request_id:
        return line.request_id == request_id
    return line.attempt_id.partition(".")[0] == request_id


def _collect_fleet_events(
    lines: Sequence[LogLine], reader: LogReader
) -> tuple[LogLine, ...]:
    first_ms, last_ms = lines[0].at_ms, lines[-1].at_ms
    routers = {line.router for line in lines}
    servers = {line.backend_server for line in lines if line.backend_server}
    subjects = {cause.subject for line in lines for cause in line.causes}
    versions = {cause.text_version for line in lines for cause in line.causes}
    subjects.discard("")
    versions.discard(0)
    selected: list[LogLine] = []
    seen: set[tuple[str, str, int]] = set()
    for line in reader:
        if line.event not in FLEET_EVENTS or line.request_id:
            continue
        if not _is_related(line, routers, servers, subjects, versions):
            continue
        is_in_window = first_ms - FLEET_EVENT_WINDOW_MS <= line.at_ms <= last_ms
        is_cause = line.text_version in versions and bool(line.data_centre)
        if not is_in_window and not is_cause:
            continue
        key = (line.event, line.backend_server or line.data_centre, line.text_version)
        # Every router logs a change of the operators' text; the first line is enough.
        if line.data_centre and key in seen:
            continue
        seen.add(key)
        selected.append(line)
    return tuple(selected[-MAX_FLEET_EVENTS:])


def _is_related(
    line: LogLine,
    routers: set[str],
    servers: set[str],
    subjects: set[str],
    versions: set[int],
) -> bool:
    if line.backend_server:
        return line.backend_server in servers or line.backend_server in subjects
    if line.data_centre:
        return line.data_centre in subjects or line.text_version in versions
    return line.router in routers
