"""Refusals: status, cause, and when to come back."""

from enum import Enum

from attrs import frozen

__all__ = ["Refusal", "RefusalCause"]


class RefusalCause(Enum):
    """Why a request is not served."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_SERVER = "no_server"
    SERVER_FULL = "server_full"
    SERVER_MOVED = "server_moved"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BAD_ANSWER = "bad_answer"
    STOPPING = "stopping"
    TIME_LIMIT = "time_limit"
    TOO_LATE = "too_late"
    INTERNAL_ERROR = "internal_error"


@frozen(kw_only=True)
class Refusal:
    """A final answer of the router's own.

    Parameters
    ----------
    status : int
        HTTP status. 503 states that no server has run the request and none will.
    cause : RefusalCause
        Why.
    retry_after_ms : int or None
        When the caller may come back, in milliseconds; None if that would not help.
    """

    status: int
    cause: RefusalCause
    retry_after_ms: int | None = None
