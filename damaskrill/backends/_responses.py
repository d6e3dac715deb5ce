"""Reads the heads of backend servers' answers."""

from typing import Any

from twisted.internet.protocol import Protocol

from damaskrill.messages import DispatchAttempt

__all__ = ["DiscardingProtocol", "declares_not_run", "read_header", "refusal_reason"]

# A backend server says with this header that it has not run what it refuses.
NOT_RUN_HEADER = "Not-Run"
STATUS_TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR_STATUS = 500


class DiscardingProtocol(Protocol):
    """Reads an answer that nobody wants, so that its connection can be reused."""

    def dataReceived(self, data: bytes) -> None:
        """Drop the bytes."""


def read_header(response: Any, name: str) -> str:
    """Return a header's value; an empty string if there is none."""
    # By a name in bytes, since the library decodes others as UTF-8 unchecked.
    values = response.headers.getRawHeaders(name.encode("ascii"))
    return values[0].decode("latin-1").strip() if values else ""


def declares_not_run(response: Any) -> bool:
    """Return whether the server itself says that it has not run the request."""
    if response.code == STATUS_TOO_MANY_REQUESTS:
        return True
    return read_header(response, NOT_RUN_HEADER).lower() in ("true", "1", "yes")


def refusal_reason(response: Any, effect: DispatchAttempt) -> str | None:
    """Return why an answer's head rules the answer out; None if it does not."""
    if declares_not_run(response):
        return f"it answered {response.code} and has not run the request"
    if response.code >= MIN_SERVER_ERROR_STATUS:
        return f"it answered {response.code}"
    if effect.resume_offset:
        confirmed = read_header(response, "Resume-Offset")
        if confirmed != str(effect.resume_offset):
            return "it did not confirm the offset to resume at"
    return None
