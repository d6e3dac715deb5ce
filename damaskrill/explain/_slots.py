"""Requests that competed with one request for the slots of a service."""

from collections import Counter
from collections.abc import Callable, Sequence

from damaskrill.logs import LogLine, LogReader

__all__ = ["collect_rivals", "describe_rivals", "describe_slot_event"]

ASSIGNED, REFUSED = "slot_assigned", "slot_refused"
# Time around the decision in which others competed: about the targets of services with
# few slots.
WINDOW_MS = 1_000
MAX_TEAMS = 5


def collect_rivals(lines: Sequence[LogLine], paths: Sequence[str]) -> list[LogLine]:
    """Return the decisions on other requests for slots around that on one request.

    Parameters
    ----------
    lines : sequence of LogLine
        Lines of the request.
    paths : sequence of str
        Log files of all routers.
    """
    own = next((each for each in lines if each.event in (ASSIGNED, REFUSED)), None)
    if own is None:
        return []
    return [
        line
        for line in LogReader(paths=paths, substring=b'"slot_')
        if line.event in (ASSIGNED, REFUSED)
        and line.service == own.service
        and line.request_id != own.request_id
        and abs(line.at_ms - own.at_ms) <= WINDOW_MS
    ]


def describe_slot_event(line: LogLine) -> str:
    """Describe a decision on a slot in a sentence; empty for other lines."""
    detail = f" ({line.detail})" if line.detail else ""
    match line.event:
        case "slot_assigned":
            return (
                f"Router {line.router} got a slot at {line.backend_server} from router "
                f"{line.peer} after {line.wait_ms} ms, with priority {line.priority}"
                f"{detail}."
            )
        case "slot_refused":
            reason = "".join(f", because {each.sentence}" for each in line.causes)
            return (
                f"Router {line.router} got no slot for it with priority {line.priority}"
                f"{reason}; it may come back after {line.retry_after_ms} ms{detail}."
            )
        case "slot_not_used":
            return (
                f"Router {line.router} did not use a slot that router {line.peer} "
                "assigned, because its server got no requests from it at that moment."
            )
    return ""


def describe_rivals(rivals: Sequence[LogLine]) -> list[str]:
    """Describe who got slots and who was refused around the request's decision."""
    if not rivals:
        return []
    lines = [
        f"Other requests for '{rivals[0].service}' that had to wait or were refused "
        f"within {WINDOW_MS / 1_000:.0f} s of that:"
    ]
    priorities = _count(rivals, lambda line: f"priority {line.priority}")
    lines += [f"  {each}" for each in sorted(priorities)]
    teams = _count([each for each in rivals if each.team], _name_team)
    return lines + [f"  {each}" for each in teams[:MAX_TEAMS]]


def _name_team(line: LogLine) -> str:
    return f"team '{line.team}'"


def _count(rivals: Sequence[LogLine], name: Callable[[LogLine], str]) -> list[str]:
    """Return a description of each group, the largest first."""
    counts = Counter((name(each), each.event) for each in rivals)
    totals = Counter(name(each) for each in rivals)
    return [
        f"{group}: {counts[group, ASSIGNED]} got a slot, "
        f"{counts[group, REFUSED]} were refused"
        for group, _ in totals.most_common()
    ]
