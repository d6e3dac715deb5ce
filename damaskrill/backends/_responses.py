"""Evaluation of the status and headers of backend servers' answers."""

from typing import Any

from twisted.internet.protocol import Protocol

from damaskrill.messages import DispatchAttempt

__all__ = ["DiscardingProtocol", "declares_not_run", "read_header", "refusal_reason"]

# Header with which a backend server states that it has not run a refused request.
NOT_RUN_HEADER = "Not-Run"
STATUS_TOO_MANY_REQUESTS = 429
# Statuses of answers that are not failures; the HTTP client takes any integer.
ANSWER_STATUSES = range(200, 500)
# Those of them by which callers take a request for not run.
DENYING_STATUSES = (408, 421)


class DiscardingProtocol(Protocol):
    """Read and discard a body, so that the connection can be reused."""

    def dataReceived(self, data: bytes) -> None:
        """Discard the bytes."""


def read_header(response: Any, name: str) -> str:
    """Return the value of a header, or an empty string if it is missing."""
    # The name must be bytes: with a str name the library decodes values as UTF-8
    # without catching invalid bytes.
    values = response.headers.getRawHeaders(name.encode("ascii"))
    return values[0].decode("latin-1").strip() if values else ""


def declares_not_run(response: Any) -> bool:
    """Return whether the server states that it has not run the request."""
    if response.code == STATUS_TOO_MANY_REQUESTS:
        return True
    return read_header(response, NOT_RUN_HEADER).lower() in ("true", "1", "yes")


def refusal_reason(response: Any, effect: DispatchAttempt) -> str | None:
    """Return why status and headers rule out the answer, or None."""
    if declares_not_run(response):
        return f"status {response.code}, the request was not run"
    if response.code not in ANSWER_STATUSES or response.code in DENYING_STATUSES:
        return f"status {response.code}"
    if effect.resume_offset:
        confirmed = read_header(response, "Resume-Offset")
        if confirmed != str(effect.resume_offset):
            return "the resume offset was not confirmed"
    return None
