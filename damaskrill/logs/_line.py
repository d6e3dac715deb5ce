"""Data classes of a log line, and their validation."""

from typing import Any

from attrs import frozen

__all__ = ["LogLine", "LoggedCause", "line_from_map"]

# End of the year 9999, the latest time that ``datetime`` can represent.
MAX_AT_MS = 253_402_300_799_000


@frozen(kw_only=True)
class LoggedCause:
    """One link of a logged chain of causes.

    Parameters
    ----------
    code, sentence, subject : str
        As in ``Cause``.
    text_version : int
        Version of the operators' text that led to the cause; 0 if none.
    """

    code: str
    sentence: str = ""
    subject: str = ""
    text_version: int = 0


@frozen(kw_only=True)
class LogLine:
    """One line of a router's log; the fields are those of ``LoggedEvent``.

    Parameters
    ----------
    n_servers, n_servers_in_all, max_servers : int
        Backend servers to which the router has sent the request, those that it has
        reached in all as far as the router knows, and how many it might reach; 0 if
        unknown.
    priority, n_ahead : int
        Priority with which it asked for a slot, and the requests of higher rank that
        waited then.
    retry_after_ms : int
        Time after which a refused caller may come back, in milliseconds.
    """

    event: str
    at_ms: int
    router: str = ""
    request_id: str = ""
    attempt_id: str = ""
    service: str = ""
    team: str = ""
    backend_server: str = ""
    data_centre: str = ""
    peer: str = ""
    outcome: str = ""
    causes: tuple[LoggedCause, ...] = ()
    load: int = 0
    load_bound: int = 0
    wait_ms: int = 0
    latency_ms: int = 0
    between_tokens_ms: int = 0
    n_bytes: int = 0
    n_attempts: int = 0
    n_servers: int = 0
    n_servers_in_all: int = 0
    max_servers: int = 0
    text_version: int = 0
    priority: int = 0
    n_ahead: int = 0
    retry_after_ms: int = 0
    detail: str = ""


TEXT_FIELDS = (
    "router",
    "request_id",
    "attempt_id",
    "service",
    "team",
    "backend_server",
    "data_centre",
    "peer",
    "outcome",
    "detail",
)
NUMBER_FIELDS = (
    "load",
    "load_bound",
    "wait_ms",
    "latency_ms",
    "between_tokens_ms",
    "n_bytes",
    "n_attempts",
    "n_servers",
    "n_servers_in_all",
    "max_servers",
    "text_version",
    "priority",
    "n_ahead",
    "retry_after_ms",
)


def line_from_map(content: Any) -> LogLine | None:
    """Convert a decoded JSON value to a log line.

    Parameters
    ----------
    content : object
        Decoded JSON value of the line.

    Returns
    -------
    LogLine or None
        The line, or None if it is damaged. Unknown fields are ignored.
    """
    if not isinstance(content, dict):
        return None
    event, at_ms = content.get("event"), content.get("at_ms")
    if not isinstance(event, str) or type(at_ms) is not int:
        return None
    if not 0 <= at_ms <= MAX_AT_MS:
        return None
    fields: dict[str, Any] = {}
    for name in TEXT_FIELDS:
        if name in content:
            if not isinstance(content[name], str):
                return None
            fields[name] = content[name]
    for name in NUMBER_FIELDS:
        if name in content:
            if type(content[name]) is not int:
                return None
            fields[name] = content[name]
    if "causes" in content:
        causes = _causes_from_list(content["causes"])
        if causes is None:
            return None
        fields["causes"] = causes
    return LogLine(event=event, at_ms=at_ms, **fields)


def _causes_from_list(content: Any) -> tuple[LoggedCause, ...] | None:
    if not isinstance(content, list):
        return None
    causes = []
    for each in content:
        if not isinstance(each, dict) or not isinstance(each.get("code"), str):
            return None
        text_version = each.get("text_version", 0)
        cause = LoggedCause(
            code=each["code"],
            sentence=str(each.get("sentence", "")),
            subject=str(each.get("subject", "")),
            text_version=text_version if type(text_version) is int else 0,
        )
        causes.append(cause)
    return tuple(causes)
