"""HTTP client for the demonstration and the tests."""

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
    """Answer of a router as received by the client.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers by lower-case name.
    content : bytes
        Bytes of the backend server; for streams, without the outcome event at the end.
    outcome : dict
        Content of the outcome event of a stream, or of the body of an error. Empty for
        a completed answer that is not a stream, whose outcome is in the headers.
    """

    status: int
    headers: dict[str, str]
    content: bytes
    outcome: dict[str, Any]

    @property
    def request_id(self) -> str:
        """ID that the router assigned to the request."""
        return self.headers.get("damaskrill-request-id", "")

    @property
    def outcome_name(self) -> str:
        """Name of the outcome."""
        name = self.outcome.get("outcome")
        return str(name or self.headers.get("damaskrill-outcome", ""))

    @property
    def sentence(self) -> str:
        """Sentence that describes the outcome."""
        sentence = self.outcome.get("sentence")
        return str(sentence or self.headers.get("damaskrill-sentence", ""))


async def call_router(
    port: int,
    path: str,
    content: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request to a router on loopback, in a separate thread.

    Parameters
    ----------
    port : int
        Port of the caller interface.
    path : str
        Path and query.
    content : dict, default=None
        Content to send as JSON by POST. If None, a GET request is sent.
    headers : dict of str to str, default=None
        Additional headers.

    Returns
    -------
    Reply
        Answer of the router.
    """
    body = None if content is None else json.dumps(content).encode()
    return await asyncio.to_thread(send_request, port, path, body, headers or {})


def send_request(
    port: int, path: str, body: bytes | None, headers: dict[str, str]
) -> Reply:
    """Send one request and block until its complete answer is read."""
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
