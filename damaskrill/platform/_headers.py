"""Headers of the platform's requests and answers."""

import math
import re

from attrs import evolve

from damaskrill.catalog import BackendServer, Team
from damaskrill.http1 import AnswerHead, CallerRequest, Headers, forwarded_headers
from damaskrill.steering import (
    NOT_RUN_STATUSES,
    AnswerMetadata,
    Hop,
    PromptPart,
    RequestMetadata,
    ServerGrant,
    ServerLoad,
)
from damaskrill.utils import hash_fields

__all__ = [
    "READINESS_PATH",
    "echo_headers",
    "grant_event",
    "grant_headers",
    "is_server_answer",
    "peer_headers",
    "read_answer",
    "read_peer_answer",
    "read_peer_events",
    "read_request",
    "server_headers",
]

READINESS_PATH = b"/damaskrill/readiness"

REQUEST_ID = b"Damaskrill-Request-Id"
DEADLINE = b"Damaskrill-Request-Deadline"
# Name of the caller's team.
TENANT = b"Damaskrill-Tenant"
EXPECTED_SERVER = b"Damaskrill-Expect-Instance"
LAST_EVENT_ID = b"Last-Event-Id"
# ID of the caller's attempt that brought the first event of a stream it takes up.
RESUMED_REQUEST = b"resumes"
# Address of the engine to copy a prompt's cached prefix from.
CACHE_SOURCE = b"Kv-Fetch"
URGENCY = b"Damaskrill-Request-Priority"
# Marks a request that a router sends through another one. The value is the version of
# the sender's configuration.
RELAYED = b"damaskrill-router-hop"
# Between routers: the number of servers that a request may still reach, and the hashes
# of those that it has reached. Named in Connection, so that no router passes it on.
SERVER_GRANT = b"damaskrill-router-servers"
# Proves to a router that another one sends the request: a number that it has told its
# peers. Routers of earlier builds neither tell nor check it.
HOP_PROOF = b"damaskrill-router-proof"
CONNECTION = b"Connection"
# The same within a stream: a comment, which is no event for callers.
GRANT_COMMENT = b": " + SERVER_GRANT
GRANT_COMMENTS = re.compile(
    rb"(?:\A|(?<=\n\n)|(?<=\r\n\r\n))" + re.escape(GRANT_COMMENT) + rb"([0-9 ]*)\n\n"
)
# Headers that only backend servers send.
SERVER_MARKS = frozenset(
    {
        b"damaskrill-instance-id",
        b"damaskrill-not-executed",
        b"damaskrill-response-seal",
    }
)
# Headers that only routers may set; they are dropped from callers' requests.
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
        HOP_PROOF,
        RELAYED,
        SERVER_GRANT,
        b"damaskrill-tenant",
        b"kv-fetch",
        b"kv-from",
    }
)
BEARER = b"bearer "
LEAVING = b"server-leaving"
IS_LEAVING = b"1"
RETRY_AFTER = b"retry-after"
# Requests per second that a server takes from all routers together.
RATE_LIMIT = b"server-limit"
# Rejections per second beyond which a server falls over.
BRITTLE = b"server-brittle"
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
MS_PER_S = 1_000
# Running and waiting requests; the figures after them may be missing.
MIN_LOAD_FIGURES = 2
# Largest number of requests or slots that a server can have.
MAX_LOAD = 1_000_000
# A server that states more has stopped rather than slowed down.
MAX_SLOWNESS_PERCENT = 100_000
# Longest pause that a server may ask for: a day.
MAX_PAUSE_S = 86_400.0
# Highest rate that a server may state; higher ones limit nothing.
MAX_PER_S = 1_000_000.0


def read_request(request: CallerRequest) -> RequestMetadata:
    """Return the metadata of a caller's request from its headers."""
    headers = {name.lower(): value for name, value in reversed(request.headers)}
    usage = _read_numbers(headers.get(b"damaskrill-token-usage", b""))
    path, _, _ = request.target.partition(b"?")
    host_name, _, _ = headers.get(b"host", b"").partition(b":")
    host = host_name.decode("latin-1").lower()
    return RequestMetadata(
        request_id=headers.get(b"damaskrill-request-id", b"").decode("latin-1"),
        host=host,
        path=path.decode("latin-1"),
        key=_read_key(headers.get(b"authorization", b"")),
        deadline_ms=_read_number(headers.get(b"damaskrill-request-deadline", b"")),
        content_hash=hash_fields(host.encode(), request.target, request.body),
        prompt=_read_prompt(headers.get(b"damaskrill-prompt-prefix", b"")),
        n_prompt_tokens=usage[0] if usage else 0,
        n_output_tokens=usage[1] if len(usage) > 1 else 0,
        length_hint=_read_number(headers.get(b"damaskrill-length-hint", b"")),
        last_event_id=_read_number(headers.get(b"last-event-id", b"")),
        resumed_request_id=headers.get(RESUMED_REQUEST, b"").decode("latin-1"),
        hop=_read_hop(headers),
    )


def _read_hop(headers: dict[bytes, bytes]) -> Hop | None:
    if RELAYED not in headers:
        return None
    return Hop(
        proof=headers.get(HOP_PROOF, b"").strip().decode("latin-1"),
        text_version=_read_number(headers[RELAYED]) or 0,
        grant=_read_grant(headers.get(SERVER_GRANT, b"")),
    )


def server_headers(
    request: CallerRequest,
    *,
    server: BackendServer,
    team: Team | None,
    remaining_ms: int,
    resume_after: int | None,
    cache_source: BackendServer | None,
    urgency: int | None = None,
) -> Headers:
    """Return the headers of a request to a backend server.

    Parameters
    ----------
    request : CallerRequest
        Caller's request.
    server : BackendServer
        Only incarnation that may run the request.
    team : Team or None
        Team of the caller.
    remaining_ms : int
        Timeout of the answer, in milliseconds.
    resume_after : int or None
        Last event that the caller has received; None forwards the caller's header.
    cache_source : BackendServer or None
        Engine to copy the prompt's cached prefix from.
    urgency : int or None, default=None
        How urgent it is for an engine, from 0 (first) to 9; None to state none.
    """
    dropped = ROUTER_HEADERS
    if resume_after is not None:
        dropped = dropped | {b"last-event-id"}
    forwarded = [
        (name, value)
        for name, value in forwarded_headers(request.headers)
        if name.lower() not in dropped
    ]
    forwarded.append((DEADLINE, b"%d" % remaining_ms))
    forwarded.append((EXPECTED_SERVER, server.server_id.encode()))
    if team is not None:
        forwarded.append((TENANT, team.name.encode()))
    if resume_after is not None:
        forwarded.append((LAST_EVENT_ID, b"%d" % resume_after))
    if cache_source is not None:
        host, port = cache_source.address
        forwarded.append((CACHE_SOURCE, f"{host}:{port}".encode()))
    if urgency is not None:
        forwarded.append((URGENCY, b"%d" % urgency))
    return tuple(forwarded)


def peer_headers(
    request: CallerRequest,
    *,
    remaining_ms: int,
    resume_after: int | None,
    stream_id: str,
    text_version: int,
    grant: ServerGrant,
    proof: str = "",
) -> Headers:
    """Return the headers of a request that goes through another router.

    Parameters
    ----------
    request : CallerRequest
        Caller's request.
    remaining_ms : int
        Timeout of the answer, in milliseconds.
    resume_after : int or None
        Last event that the caller has received; None forwards the caller's headers.
    stream_id : str
        Attempt that began the stream.
    text_version : int
        Version of the configuration that this router has in force.
    grant : ServerGrant
        Servers that the request has reached and may still reach.
    proof : str, default=""
        What the other router has told its peers; empty if it is not known.

    Notes
    -----
    The other router needs the caller's key, which it does not pass to servers.
    """
    dropped = {DEADLINE.lower(), RELAYED, SERVER_GRANT, HOP_PROOF}
    if resume_after is not None:
        dropped |= {b"last-event-id", RESUMED_REQUEST}
    headers = [
        (name, value)
        for name, value in forwarded_headers(request.headers)
        if name.lower() not in dropped
    ]
    headers.append((DEADLINE, b"%d" % remaining_ms))
    headers.append((RELAYED, b"%d" % text_version))
    headers.extend(grant_headers(grant))
    if proof:
        headers.append((HOP_PROOF, proof.encode()))
        headers.append((CONNECTION, HOP_PROOF))
    if resume_after is not None:
        headers.append((LAST_EVENT_ID, b"%d" % resume_after))
        headers.append((RESUMED_REQUEST, stream_id.encode("latin-1")))
    return tuple(headers)


def echo_headers(request_id: str) -> Headers:
    """Return the headers that name the request which an answer belongs to."""
    return ((REQUEST_ID, request_id.encode("latin-1")),)


def grant_headers(grant: ServerGrant) -> Headers:
    """Return the headers that tell another router about the servers of a request."""
    return ((SERVER_GRANT, _write_grant(grant)), (CONNECTION, SERVER_GRANT))


def grant_event(grant: ServerGrant) -> bytes:
    """Return what tells another router the same within a stream."""
    return b"%b %b\n\n" % (GRANT_COMMENT, _write_grant(grant))


def read_peer_events(events: bytes) -> tuple[bytes, ServerGrant | None]:
    """Return the events for the caller, and what the peer has told last.

    Parameters
    ----------
    events : bytes
        Complete events.
    """
    if GRANT_COMMENT not in events:
        return events, None
    values = GRANT_COMMENTS.findall(events)
    grant = _read_grant(values[-1]) if values else None
    return GRANT_COMMENTS.sub(b"", events), grant


def read_peer_answer(head: AnswerHead) -> AnswerMetadata:
    """Return the metadata of an answer that another router sent or passed on."""
    metadata = read_answer(head)
    headers = {name.lower(): value for name, value in head.headers}
    grant = _read_grant(headers.get(SERVER_GRANT, b""))
    if metadata.is_sealed:
        return evolve(metadata, grant=grant)
    return AnswerMetadata(
        request_id=metadata.request_id,
        is_not_run=head.status in NOT_RUN_STATUSES,
        pause_ms=_read_pause_ms(headers.get(RETRY_AFTER, b"")),
        grant=grant,
    )


def read_answer(head: AnswerHead) -> AnswerMetadata:
    """Return the metadata of a backend server's answer from its headers.

    Notes
    -----
    A server that is not the expected one rejects with 421. The seal on such an answer
    is that of a run, so that it only counts if the server states that there was none.
    """
    headers = {name.lower(): value for name, value in head.headers}
    request_id = headers.get(b"damaskrill-request-id")
    is_sealed = b"damaskrill-response-seal" in headers
    is_rejected = b"damaskrill-not-executed" in headers
    is_other_server = head.status == STATUS_MISDIRECTED and (
        is_rejected or not is_sealed
    )
    return AnswerMetadata(
        request_id=None if request_id is None else request_id.decode("latin-1"),
        is_not_run=is_other_server or is_rejected,
        is_other_server=is_other_server,
        is_sealed=is_sealed,
        is_encoded=b"content-encoding" in headers,
        load=_read_load(headers.get(b"damaskrill-server-load", b"")),
        is_leaving=headers.get(LEAVING, b"").strip() == IS_LEAVING,
        pause_ms=_read_pause_ms(headers.get(RETRY_AFTER, b""))
        if head.status == STATUS_UNAVAILABLE
        else None,
        limit_per_s=_read_limit(headers.get(RATE_LIMIT, b"")),
        rejections_per_s=_read_limit(headers.get(BRITTLE, b"")),
    )


def is_server_answer(head: AnswerHead) -> bool:
    """Return whether a backend server itself has sent an answer, not a proxy."""
    return any(name.lower() in SERVER_MARKS for name, _ in head.headers)


def _read_load(value: bytes) -> ServerLoad | None:
    # Running requests, waiting requests and slots; on shared hosts also how long work
    # takes at this moment, in percent of the usual time.
    numbers = [_read_number(each) for each in value.split(b",")]
    if len(numbers) < MIN_LOAD_FIGURES or None in numbers[:MIN_LOAD_FIGURES]:
        return None
    n_running, n_waiting, n_slots, percent, *_ = (*numbers, None, None)
    if max(n_running or 0, n_waiting or 0, n_slots or 0) > MAX_LOAD:
        return None
    is_stated = percent is not None and 0 < percent <= MAX_SLOWNESS_PERCENT
    return ServerLoad(
        n_running=n_running or 0,
        n_waiting=n_waiting or 0,
        n_slots=n_slots or 0,
        slowness=percent / 100 if is_stated and percent else None,
    )


def _read_pause_ms(value: bytes) -> float | None:
    # The platform states seconds, with fractions. A date, which HTTP also allows, would
    # depend on the clocks of both hosts.
    seconds = _read_decimal(value, most=MAX_PAUSE_S)
    return seconds * MS_PER_S if seconds is not None and seconds > 0 else None


def _read_limit(value: bytes) -> float | None:
    per_s = _read_decimal(value, most=MAX_PER_S)
    return per_s if per_s is not None and per_s >= 0 else None


def _read_decimal(value: bytes, *, most: float) -> float | None:
    # A server that states more than any server can mean has stated the most.
    try:
        number = float(value)
    except ValueError:
        return None
    return min(number, most) if math.isfinite(number) else None


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


def _write_grant(grant: ServerGrant) -> bytes:
    return b" ".join(b"%d" % each for each in (grant.n_left, *grant.reached))


def _read_grant(value: bytes) -> ServerGrant | None:
    numbers = [_read_number(each) for each in value.split()]
    known = [each for each in numbers if each is not None]
    if not known or len(known) < len(numbers):
        return None
    n_left, *reached = known
    return ServerGrant(n_left=n_left, reached=tuple(reached))


def _read_prompt(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for each in value.split(b","):
        part_id, _, n_tokens = each.strip().partition(b":")
        number = _read_number(n_tokens)
        if part_id and number is not None:
            parts.append(PromptPart(part_id=part_id.decode("latin-1"), n_tokens=number))
    return tuple(parts)
