"""Headers of requests and answers."""

from damaskrill.catalog import BackendServer, Team
from damaskrill.http1 import AnswerHead, CallerRequest, Headers, forwarded_headers
from damaskrill.steering import AnswerMetadata, PromptPart, RequestMetadata

__all__ = ["READINESS_PATH", "read_answer", "read_request", "server_headers"]

READINESS_PATH = b"/damaskrill/readiness"

REQUEST_ID = b"Damaskrill-Request-Id"
DEADLINE = b"Damaskrill-Request-Deadline"
# Name of the caller's team.
TENANT = b"Damaskrill-Tenant"
EXPECTED_SERVER = b"Damaskrill-Expect-Instance"
LAST_EVENT_ID = b"Last-Event-Id"
# Address of the engine from which a prompt's cached prefix is copied.
CACHE_SOURCE = b"Kv-Fetch"
# Headers that only routers may set; what a caller sends in them is dropped.
ROUTER_HEADERS = frozenset(
    {
        b"authorization",
        b"damaskrill-expect-instance",
        b"damaskrill-expect-version",
        b"damaskrill-hold",
        b"damaskrill-kv-backup",
        b"damaskrill-pin-ms",
        b"damaskrill-request-deadline",
        b"damaskrill-request-priority",
        b"damaskrill-tenant",
        b"kv-fetch",
        b"kv-from",
    }
)
BEARER = b"bearer "
STATUS_MISDIRECTED = 421


def read_request(request: CallerRequest) -> RequestMetadata:
    """Return what the headers of a caller's request say."""
    headers = {name.lower(): value for name, value in reversed(request.headers)}
    usage = _read_numbers(headers.get(b"damaskrill-token-usage", b""))
    path, _, _ = request.target.partition(b"?")
    host, _, _ = headers.get(b"host", b"").partition(b":")
    return RequestMetadata(
        request_id=headers.get(b"damaskrill-request-id", b"").decode("latin-1"),
        host=host.decode("latin-1").lower(),
        path=path.decode("latin-1"),
        key=_read_key(headers.get(b"authorization", b"")),
        deadline_ms=_read_number(headers.get(b"damaskrill-request-deadline", b"")),
        prompt=_read_prompt(headers.get(b"damaskrill-prompt-prefix", b"")),
        n_prompt_tokens=usage[0] if usage else 0,
        n_output_tokens=usage[1] if len(usage) > 1 else 0,
        last_event_id=_read_number(headers.get(b"last-event-id", b"")),
    )


def server_headers(
    request: CallerRequest,
    *,
    server: BackendServer,
    team: Team | None,
    remaining_ms: int,
    resume_after: int | None,
    cache_source: BackendServer | None,
) -> Headers:
    """Return the headers of a request as a backend server gets them.

    Parameters
    ----------
    request : CallerRequest
        The caller's request.
    server : BackendServer
        The only incarnation that may run it.
    team : Team or None
        The caller's team.
    remaining_ms : int
        How long an answer is waited for, in milliseconds.
    resume_after : int or None
        Last event that the caller already has; None leaves the caller's own.
    cache_source : BackendServer or None
        Engine to copy the prompt's prefix from.
    """
    dropped = ROUTER_HEADERS
    if resume_after is not None:
        dropped = dropped | {b"last-event-id"}
    headers_out = [
        (name, value)
        for name, value in forwarded_headers(request.headers)
        if name.lower() not in dropped
    ]
    headers_out.append((DEADLINE, b"%d" % remaining_ms))
    headers_out.append((EXPECTED_SERVER, server.server_id.encode()))
    if team is not None:
        headers_out.append((TENANT, team.name.encode()))
    if resume_after is not None:
        headers_out.append((LAST_EVENT_ID, b"%d" % resume_after))
    if cache_source is not None:
        host, port = cache_source.address
        headers_out.append((CACHE_SOURCE, f"{host}:{port}".encode()))
    return tuple(headers_out)


def read_answer(head: AnswerHead) -> AnswerMetadata:
    """Return what the headers of a backend server's answer say."""
    headers = {name.lower(): value for name, value in head.headers}
    request_id = headers.get(b"damaskrill-request-id")
    load = _read_numbers(headers.get(b"damaskrill-server-load", b""))
    is_other_server = head.status == STATUS_MISDIRECTED
    return AnswerMetadata(
        request_id=None if request_id is None else request_id.decode("latin-1"),
        is_not_run=is_other_server or b"damaskrill-not-executed" in headers,
        is_other_server=is_other_server,
        is_sealed=b"damaskrill-response-seal" in headers,
        is_encoded=b"content-encoding" in headers,
        # Running, waiting, slots.
        load=(load[0], load[1]) if len(load) >= 2 else None,
    )


def _read_key(value: bytes) -> str | None:
    if not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def _read_number(value: bytes) -> int | None:
    stripped = value.strip()
    return int(stripped) if stripped.isdigit() and len(stripped) < 16 else None


def _read_numbers(value: bytes) -> list[int]:
    numbers = [_read_number(each) for each in value.split(b",")]
    return [each for each in numbers if each is not None]


def _read_prompt(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for each in value.split(b","):
        part_id, _, n_tokens = each.strip().partition(b":")
        number = _read_number(n_tokens)
        if part_id and number is not None:
            parts.append(PromptPart(part_id=part_id.decode("latin-1"), n_tokens=number))
    return tuple(parts)
