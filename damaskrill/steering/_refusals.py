"""Outcomes of requests, causes of refusals, and when a refused caller may retry."""

from enum import Enum

from attrs import frozen

__all__ = ["NOT_RUN_STATUSES", "LoggedOutcome", "Refusal", "RefusalCause"]

# Statuses that promise a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class LoggedOutcome(Enum):
    """Outcome of a request, as named in logs and reports."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CALLER_LEFT = "caller_left"


class RefusalCause(Enum):
    """Why a request was not served as requested."""

    NO_CONFIGURATION = "no_configuration"
    CONFIGURATION_OUTDATED = "configuration_outdated"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_SERVER = "no_server"
    STREAM_VERSION_GONE = "stream_version_gone"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    SERVER_FULL = "server_full"
    SERVERS_PAUSED = "servers_paused"
    SERVERS_LIMITED = "servers_limited"
    NO_SLOT_IN_TIME = "no_slot_in_time"
    TEAM_OVER_SHARE = "team_over_share"
    SERVER_REPLACED = "server_replaced"
    PEER_REFUSED = "peer_refused"
    CRASHING_PROMPT = "crashing_prompt"
    CRASHING_REQUEST = "crashing_request"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BAD_ANSWER = "bad_answer"
    SERVER_ERROR = "server_error"
    MAY_HAVE_RUN = "may_have_run"
    STREAM_BROKEN = "stream_broken"
    STOPPING = "stopping"
    TIME_LIMIT = "time_limit"
    CALLER_LEFT = "caller_left"
    INTERNAL_ERROR = "internal_error"

    @property
    def sentence(self) -> str:
        """Human-readable sentence."""
        return CAUSE_SENTENCES[self]


CAUSE_SENTENCES = {
    RefusalCause.NO_CONFIGURATION: (
        "this router has not loaded the operators' configuration yet"
    ),
    RefusalCause.CONFIGURATION_OUTDATED: (
        "this router has an older configuration than the router that sent the request"
    ),
    RefusalCause.NO_ROUTE: ("no route of the configuration matches this host and path"),
    RefusalCause.UNKNOWN_KEY: ("no team of the configuration has this key"),
    RefusalCause.NO_SERVER: (
        "no backend server of the service can receive a request at the moment"
    ),
    RefusalCause.STREAM_VERSION_GONE: (
        "no backend server of the software version that began the stream is left"
    ),
    RefusalCause.STREAM_VERSION_UNKNOWN: (
        "no router knows at which software version the stream began"
    ),
    RefusalCause.SERVER_FULL: ("the backend server has no capacity for the request"),
    RefusalCause.SERVERS_PAUSED: (
        "all backend servers that could run the request have asked for a pause"
    ),
    RefusalCause.SERVERS_LIMITED: (
        "all backend servers that could run the request get as many requests as they "
        "take at the moment"
    ),
    RefusalCause.NO_SLOT_IN_TIME: (
        "the service has no room for the request within its target, as requests of "
        "higher rank wait before it"
    ),
    RefusalCause.TEAM_OVER_SHARE: (
        "the team sends more than its share of a service that has no room for all"
    ),
    RefusalCause.SERVER_REPLACED: (
        "another backend server answered at the address of the selected one"
    ),
    RefusalCause.PEER_REFUSED: (
        "this router cannot reach the backend servers, and its peer refused the request"
    ),
    RefusalCause.CRASHING_PROMPT: (
        "backend servers have crashed under a part of the prompt"
    ),
    RefusalCause.CRASHING_REQUEST: (
        "backend servers have crashed under the same request"
    ),
    RefusalCause.OUTCOME_UNKNOWN: (
        "an attempt failed after the request had been sent to a backend server, "
        "which may have run it"
    ),
    RefusalCause.BAD_ANSWER: (
        "the backend server's answer cannot be forwarded as the answer to this request"
    ),
    RefusalCause.SERVER_ERROR: ("the backend server ran the request and failed"),
    RefusalCause.MAY_HAVE_RUN: (
        "the backend server's status says that the request has not run, but the "
        "server does not state that it has not executed it"
    ),
    RefusalCause.STREAM_BROKEN: (
        "the stream from the backend server was interrupted before its end"
    ),
    RefusalCause.STOPPING: ("this router stops before the request could be completed"),
    RefusalCause.TIME_LIMIT: ("no answer was received within the time limit"),
    RefusalCause.CALLER_LEFT: ("the caller closed the connection"),
    RefusalCause.INTERNAL_ERROR: ("an internal check failed"),
}


@frozen(kw_only=True)
class Refusal:
    """Final answer of the router itself.

    Parameters
    ----------
    status : int
        HTTP status. 503 guarantees that no server has run the request and none will.
    cause : RefusalCause
        Reason of the refusal.
    retry_after_ms : int or None
        Time after which the caller may retry, in milliseconds; None if a retry would
        not help.
    """

    status: int
    cause: RefusalCause
    retry_after_ms: int | None = None
