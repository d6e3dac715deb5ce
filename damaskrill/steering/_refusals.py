"""Outcomes of requests, their causes, and when a refused caller may come back."""

from enum import Enum

from attrs import frozen

__all__ = ["LoggedOutcome", "Refusal", "RefusalCause"]


class LoggedOutcome(Enum):
    """What became of a request, as logs and reports name it."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CALLER_LEFT = "caller_left"


class RefusalCause(Enum):
    """Why a request was not served as its caller wished."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_SERVER = "no_server"
    SERVER_FULL = "server_full"
    SERVER_REPLACED = "server_replaced"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BAD_ANSWER = "bad_answer"
    SERVER_ERROR = "server_error"
    STREAM_BROKEN = "stream_broken"
    STOPPING = "stopping"
    TIME_LIMIT = "time_limit"
    CALLER_LEFT = "caller_left"
    INTERNAL_ERROR = "internal_error"

    @property
    def sentence(self) -> str:
        """One plain sentence for people."""
        return CAUSE_SENTENCES[self]


CAUSE_SENTENCES = {
    RefusalCause.NO_CONFIGURATION: (
        "this router has not read the operators' configuration yet"
    ),
    RefusalCause.NO_ROUTE: ("no route of the configuration takes this host and path"),
    RefusalCause.UNKNOWN_KEY: ("no team of the configuration holds this key"),
    RefusalCause.NO_SERVER: (
        "no backend server of the service may get a request at the moment"
    ),
    RefusalCause.SERVER_FULL: ("the backend server has no room for the request"),
    RefusalCause.SERVER_REPLACED: (
        "another backend server answered at the address of the chosen one"
    ),
    RefusalCause.OUTCOME_UNKNOWN: (
        "the backend server was lost after the request had been sent to it"
    ),
    RefusalCause.BAD_ANSWER: (
        "the backend server's answer cannot be passed on as this request's answer"
    ),
    RefusalCause.SERVER_ERROR: ("the backend server ran the request and failed"),
    RefusalCause.STREAM_BROKEN: (
        "the stream broke off at the backend server before its end"
    ),
    RefusalCause.STOPPING: ("this router stops before the request could be finished"),
    RefusalCause.TIME_LIMIT: ("no answer came within the time limit"),
    RefusalCause.CALLER_LEFT: ("the caller closed the connection"),
    RefusalCause.INTERNAL_ERROR: ("an internal check failed"),
}


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
