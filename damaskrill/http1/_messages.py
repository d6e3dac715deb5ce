"""Requests, answers and failures, as caller and server connections represent them."""

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen

__all__ = [
    "AnswerHead",
    "AnswerSink",
    "CallerRequest",
    "ExchangeFailure",
    "FailureKind",
    "Headers",
    "OutgoingRequest",
    "forwarded_headers",
]

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to one connection only; each connection sets its own framing.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@frozen(kw_only=True)
class CallerRequest:
    """Complete request of a caller.

    Parameters
    ----------
    method, target : bytes
        Method and target as sent by the caller.
    headers : tuple
        Header names as sent by the caller, and values.
    body : bytes
        Complete body.
    arrived_at_ms : float
        Time at which its head had been read, in milliseconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at_ms: float

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its name in lower case."""
        return _find_header(self.headers, name)


@frozen(kw_only=True)
class OutgoingRequest:
    """Request to a server, without the headers that frame its body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@frozen(kw_only=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its name in lower case."""
        return _find_header(self.headers, name)


class FailureKind(Enum):
    """How an exchange with a server failed."""

    CLOSED = "closed"
    RESET = "reset"
    SILENT = "silent"
    MALFORMED = "malformed"
    STALLED = "stalled"


@frozen(kw_only=True)
class ExchangeFailure:
    """An exchange that ended without a complete answer.

    Parameters
    ----------
    kind : FailureKind
        Kind of the failure.
    reason : str
        Description for the log.
    was_reused : bool
        Whether the connection had been used for an earlier exchange.
    has_answer : bool
        Whether any byte of an answer was received.
    """

    kind: FailureKind
    reason: str
    was_reused: bool = False
    has_answer: bool = False


class AnswerSink(ABC):
    """Receiver of one answer of a server as it arrives."""

    @abstractmethod
    def handle_head(self, head: AnswerHead) -> None:
        """Handle status and headers."""

    @abstractmethod
    def handle_data(self, data: bytes) -> None:
        """Handle a chunk of the body."""

    @abstractmethod
    def handle_end(self) -> None:
        """Handle the end of a complete answer."""

    @abstractmethod
    def handle_failure(self, failure: ExchangeFailure) -> None:
        """Handle the failure of the exchange, which is the last call."""


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers without those that apply to one connection only."""
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(each.strip().lower() for each in value.split(b","))
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP and key.lower() not in named
    )


def _find_header(headers: Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key.lower() == name), None)
