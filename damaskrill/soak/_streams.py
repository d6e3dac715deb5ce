"""Check of the events of streams, over all tries of a caller."""

import re
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from damaskrill.soak._callers import Exchange
from damaskrill.soak._checks import STREAM_PREFIXES, ServerRecord, Violation

__all__ = ["StreamEvent", "check_streams", "read_events"]

STATUS_OK = 200
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: token-(\d+)(?: (\S+))?")


class StreamEvent(NamedTuple):
    """Number of an event, and the ID of the server that wrote it, if it says so."""

    number: int
    author: str


def read_events(body: bytes) -> list[StreamEvent] | None:
    """Return the whole events of a body; None if it holds something else."""
    *whole, rest = body.split(b"\n\n")
    events = []
    for each in whole:
        match = EVENT_PATTERN.fullmatch(each)
        if match is None or match[1] != match[2]:
            return None
        author = (match[3] or b"").decode()
        events.append(StreamEvent(number=int(match[1]), author=author))
    if rest and b"\n" in rest and not re.match(rb"id: \d+\nd?a?t?a?:? ?", rest):
        return None
    return events


def check_streams(
    exchanges: Sequence[Exchange], servers: Sequence[ServerRecord], n_events: int
) -> list[Violation]:
    """Return the streams with missing, doubled or mixed events.

    Returns
    -------
    list of Violation
        ``stream_order`` for answers, broken ones too, whose events don't go on where
        the caller's last try ended, or which end as complete too early.
        ``mixed_versions`` for streams with events of two software versions of a
        service, in an answer or over the tries.
    """
    writers = {each.server_id: (each.service, each.version) for each in servers}
    violations = []
    versions_of: dict[str, dict[str, set[str]]] = defaultdict(lambda: defaultdict(set))
    for each in exchanges:
        if not each.path.startswith(STREAM_PREFIXES) or each.status != STATUS_OK:
            continue
        events = read_events(each.body)
        numbers = [event.number for event in events or ()]
        first = each.last_event + 1
        is_whole = not each.is_complete or each.last_event + len(numbers) == n_events
        is_ordered = numbers == list(range(first, first + len(numbers)))
        if events is None or not is_whole or not is_ordered:
            detail = f"after event {each.last_event}: {each.body[:200]!r}"
            violations.append(
                Violation(
                    promise="stream_order", request_id=each.request_id, detail=detail
                )
            )
        for event in events or ():
            if event.author in writers:
                service, version = writers[event.author]
                stream = each.resumes or each.request_id
                versions_of[stream][service].add(version)
    for stream, services in versions_of.items():
        for service, versions in services.items():
            if len(versions) > 1:
                detail = f"events of {', '.join(sorted(versions))} of {service}"
                violations.append(
                    Violation(
                        promise="mixed_versions", request_id=stream, detail=detail
                    )
                )
    return violations
