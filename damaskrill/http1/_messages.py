"""Requests and answers as the connections hand them on."""

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

# Headers that concern one connection only; framing is made anew on each one.
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
    """A whole request of a caller.

    Parameters
    ----------
    method, target : bytes
        As the caller sent them.
    headers : tuple
        Names as they were sent, and values.
    body : bytes
        The whole body.
    arrived_at_ms : float
        When its head had been read, in milliseconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at_ms: float

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its name in lower case."""
        return _find_header(self.headers, name)


@frozen(kw_only=True)
class OutgoingRequest:
    """A request to a server, without the headers that frame its body."""

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
        """Return the first value of a header, by its name in lower case."""
        return _find_header(self.headers, name)


class FailureKind(Enum):
    """How an exchange with a server failed."""

    CLOSED = "closed"
    RESET = "reset"
    SILENT = "silent"
    MALFORMED = "malformed"


@frozen(kw_only=True)
class ExchangeFailure:
    """An exchange that ended without a whole answer.

    Parameters
    ----------
    kind : FailureKind
        How it failed.
    reason : str
        In words, for the log.
    was_reused : bool
        Whether the connection had carried an exchange before.
    has_answer : bool
        Whether any byte of an answer came.
    """

    kind: FailureKind
    reason: str
    was_reused: bool = False
    has_answer: bool = False


class AnswerSink(ABC):
    """Takes one answer of a server as it arrives."""

    @abstractmethod
    def handle_head(self, head: AnswerHead) -> None:
        """Take status and headers."""

    @abstractmethod
    def handle_data(self, data: bytes) -> None:
        """Take a part of the body."""

    @abstractmethod
    def handle_end(self) -> None:
        """Take the proper end of the answer."""

    @abstractmethod
    def handle_failure(self, failure: ExchangeFailure) -> None:
        """Take the failure of the exchange; nothing follows."""


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that pass from one connection to the next."""
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
