"""Calls of an ordinary HTTP client, with the parts of the answer that matter."""

import asyncio
import http.client
import json
from typing import Any

from attrs import frozen

__all__ = ["Reply", "call_router"]

OUTCOME_EVENT_PREFIX = b"event: damaskrill.outcome\ndata: "
CLIENT_TIMEOUT_S = 60


@frozen(kw_only=True)
class Reply:
    """An answer as the client got it.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers, by name in lower case.
    content : bytes
        The backend server's bytes; for streams without the last event.
    outcome : dict
        Content of a stream's last event, or of an error's body; empty for a whole
        answer, whose outcome stands in the headers.
    """

    status: int
    headers: dict[str, str]
    content: bytes
    outcome: dict[str, Any]

    @property
    def request_id(self) -> str:
        """ID that the router gave the request."""
        return self.headers.get("damaskrill-request-id", "")

    @property
    def outcome_name(self) -> str:
        """Name of the outcome."""
        name = self.outcome.get("outcome")
        return str(name or self.headers.get("damaskrill-outcome", ""))

    @property
    def sentence(self) -> str:
        """The outcome in plain words."""
        sentence = self.outcome.get("sentence")
        return str(sentence or self.headers.get("damaskrill-sentence", ""))


async def call_router(
    port: int,
    path: str,
    content: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request to a router on loopback, in a thread of its own.

    Parameters
    ----------
    port : int
        Port of the caller interface.
    path : str
        Path and query.
    content : dict, default=None
        Sent as JSON by POST; GET if None.
    headers : dict of str to str, default=None
        Further headers.

    Returns
    -------
    Reply
        The answer.
    """
    body = None if content is None else json.dumps(content).encode()
    return await asyncio.to_thread(send_request, port, path, body, headers or {})


def send_request(
    port: int, path: str, body: bytes | None, headers: dict[str, str]
) -> Reply:
    """Send one request and read its answer whole; blocks."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=CLIENT_TIMEOUT_S)
    try:
        method = "GET" if body is None else "POST"
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        received = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return _build_reply(response.status, fields, received)
    finally:
        connection.close()


def _build_reply(status: int, headers: dict[str, str], received: bytes) -> Reply:
    content_type = headers.get("content-type", "")
    outcome: dict[str, Any] = {}
    if content_type.startswith("text/event-stream"):
        received, separator, event = received.rpartition(OUTCOME_EVENT_PREFIX)
        outcome = json.loads(event) if separator else {}
    elif headers.get("damaskrill-outcome") not in (None, "completed"):
        outcome = json.loads(received)
    return Reply(status=status, headers=headers, content=received, outcome=outcome)
