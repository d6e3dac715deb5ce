"""What servers state about their own process."""

from typing import Any

import orjson

from damaskrill.catalog import BackendServer
from damaskrill.gateway import StatementError
from damaskrill.http1 import AnswerHead, OutgoingRequest
from damaskrill.platform._items import INVALID_VALUE
from damaskrill.platform._values import read_number

__all__ = [
    "build_question",
    "health_request",
    "read_cold_ms",
    "read_start",
    "read_statement",
    "statement_request",
]

REPORT_PATH = b"/damaskrill/report"
# Start time of the process, which each statement of a server about itself has.
STARTED_AT = "born"
# Name of the server that answers a question for its health, and for how many
# milliseconds more it is cold.
INSTANCE_ID = b"damaskrill-instance-id"
COLD_MS = b"damaskrill-cold-ms"
# Digits of the longest time that is read; a longer number states nothing.
MAX_COLD_DIGITS = 7
STATUS_OK = 200


def build_question(server: BackendServer, target: bytes) -> OutgoingRequest:
    """Return a request for something that only this server may answer."""
    host, port = server.address
    return OutgoingRequest(
        method=b"GET",
        target=target,
        headers=(
            (b"Host", f"{host}:{port}".encode()),
            (b"Damaskrill-Expect-Instance", server.server_id.encode()),
        ),
    )


def read_start(content: dict[str, Any]) -> int:
    """Return the start time that a statement has, in Unix milliseconds.

    Raises
    ------
    KeyError
        If it has none.
    TypeError, ValueError
        If it is no integer, or out of range.
    """
    started_at_ms = read_number(content, STARTED_AT)
    if type(started_at_ms) is not int:
        raise TypeError("the start time is not an integer")
    return started_at_ms


def health_request(server: BackendServer, path: str) -> OutgoingRequest:
    """Return the request for the health of a server."""
    return build_question(server, path.encode())


def read_cold_ms(head: AnswerHead, server: BackendServer) -> int | None:
    """Return how long a server stays cold, in milliseconds.

    Parameters
    ----------
    head : AnswerHead
        Status and headers of an answer on its health.
    server : BackendServer
        The server that was asked.

    Returns
    -------
    int or None
        0 if it is not cold; None if the answer does not say so, or is not its own.
    """
    instance = head.find_header(INSTANCE_ID)
    if head.status != STATUS_OK or instance != server.server_id.encode():
        return None
    value = (head.find_header(COLD_MS) or b"0").strip()
    is_number = value.isdigit() and len(value) <= MAX_COLD_DIGITS
    return int(value) if is_number else None


def statement_request(server: BackendServer) -> OutgoingRequest:
    """Return the request for what a server states about itself."""
    return build_question(server, REPORT_PATH)


def read_statement(head: AnswerHead, body: bytes) -> int:
    """Return the start time of a server's process, in Unix milliseconds.

    Raises
    ------
    StatementError
        If the answer states none.
    """
    if head.status != STATUS_OK:
        raise StatementError(reason=f"its status is {head.status}")
    try:
        content = orjson.loads(body)
        if not isinstance(content, dict):
            raise TypeError("it is not an object")
        return read_start(content)
    except INVALID_VALUE as error:
        reason = f"{type(error).__name__}: {error}"
        raise StatementError(reason=reason) from error
