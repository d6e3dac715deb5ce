"""Outcomes of requests and their human-readable causes."""

from enum import Enum

from attrs import frozen

__all__ = ["Cause", "CauseCode", "Completed", "NotRun", "Outcome", "Unknown"]


class CauseCode(Enum):
    """Stable codes of the causes in a cause chain.

    The value is the code in logs and answers; ``CAUSE_TEMPLATES`` maps it to a
    sentence.
    """

    NO_TEXT = "no_text"
    UNKNOWN_SERVICE = "unknown_service"
    NO_BACKEND_SERVER = "no_backend_server"
    AT_LIMIT = "at_limit"
    COLD = "cold"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    DATA_CENTRE_OUT = "data_centre_out"
    BACKEND_SERVER_LEAVING = "backend_server_leaving"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    BACKEND_SERVER_REFUSED = "backend_server_refused"
    PEER_LOST = "peer_lost"
    NOT_OWNER = "not_owner"
    HOP_LIMIT = "hop_limit"
    DEPENDENCY_OUT = "dependency_out"
    RETRY_BUDGET = "retry_budget"
    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"
    PAUSED = "paused"
    PARTITIONED = "partitioned"
    PERMIT_DEAD = "permit_dead"
    PERMIT_SPENT = "permit_spent"
    KEY_NOT_PROVABLY_NEW = "key_not_provably_new"
    REPLY_LOST = "reply_lost"
    ANSWER_DAMAGED = "answer_damaged"
    SURGE = "surge"
    CIRCUIT_OPEN = "circuit_open"
    TAKEN_OVER = "taken_over"


CAUSE_TEMPLATES: dict[CauseCode, str] = {
    CauseCode.NO_TEXT: "this router has not read an operators' text yet",
    CauseCode.UNKNOWN_SERVICE: "the operators' text names no service '{subject}'",
    CauseCode.NO_BACKEND_SERVER: (
        "no backend server of '{subject}' is in service{detail}"
    ),
    CauseCode.AT_LIMIT: "{subject} is at its limit{detail}",
    CauseCode.COLD: (
        "{subject} has just started and has only its cold-start capacity{detail}"
    ),
    CauseCode.QUEUE_FULL: "the queue of {subject} is full{detail}",
    CauseCode.DEADLINE: "the request's deadline would have been missed{detail}",
    CauseCode.DATA_CENTRE_OUT: (
        "data centre '{subject}' was taken out by text version {text_version}"
    ),
    CauseCode.BACKEND_SERVER_LEAVING: "{subject} is leaving{detail}",
    CauseCode.BACKEND_SERVER_FAILED: "{subject} failed{detail}",
    CauseCode.BACKEND_SERVER_REFUSED: "{subject} refused the request{detail}",
    CauseCode.PEER_LOST: "router {subject} could not be reached{detail}",
    CauseCode.NOT_OWNER: "router {subject} does not own that backend server{detail}",
    CauseCode.HOP_LIMIT: "the request was forwarded too many times{detail}",
    CauseCode.DEPENDENCY_OUT: (
        "service '{subject}', which it depends on, is unavailable{detail}"
    ),
    CauseCode.RETRY_BUDGET: "the retry budget is exhausted{detail}",
    CauseCode.CALLER_GONE: "the caller closed the connection{detail}",
    CauseCode.STOPPING: "router {subject} is stopping{detail}",
    CauseCode.PAUSED: "router {subject} was paused and is resynchronizing its view",
    CauseCode.PARTITIONED: "router {subject} reaches only part of the fleet{detail}",
    CauseCode.PERMIT_DEAD: "the router that issued the permit no longer exists{detail}",
    CauseCode.PERMIT_SPENT: "the permit has been used already{detail}",
    CauseCode.KEY_NOT_PROVABLY_NEW: (
        "router {subject} cannot prove that the idempotency key is new{detail}"
    ),
    CauseCode.REPLY_LOST: "the reply of {subject} was lost{detail}",
    CauseCode.ANSWER_DAMAGED: "the answer of {subject} was incomplete{detail}",
    CauseCode.SURGE: "team '{subject}' exceeds its share{detail}",
    CauseCode.TAKEN_OVER: (
        "{subject} has just got a new owner, which does not know its load yet{detail}"
    ),
    CauseCode.CIRCUIT_OPEN: (
        "{subject} failed repeatedly and its circuit is open{detail}"
    ),
}


@frozen(kw_only=True)
class Cause:
    """One cause in the chain from an outcome to its root cause.

    Parameters
    ----------
    code : CauseCode
        Kind of the cause.
    subject : str, default=""
        Service, backend server, team or router that the cause is about.
    detail : str, default=""
        Details, appended to the sentence.
    text_version : int, default=0
        Version of the operators' text that led to it; 0 if none.
    at_ms : int, default=0
        Time at which it occurred, in milliseconds; 0 if unknown.
    """

    code: CauseCode
    subject: str = ""
    detail: str = ""
    text_version: int = 0
    at_ms: int = 0

    @property
    def sentence(self) -> str:
        """The cause as a sentence without a full stop."""
        detail = f", {self.detail}" if self.detail else ""
        template = CAUSE_TEMPLATES[self.code]
        return template.format(
            subject=self.subject, detail=detail, text_version=self.text_version
        )


@frozen(kw_only=True)
class Outcome:
    """Outcome of a request.

    Parameters
    ----------
    causes : tuple of Cause
        Causes, from the nearest one to the root cause.
    """

    causes: tuple[Cause, ...] = ()

    @property
    def name(self) -> str:
        """Stable name of the outcome."""
        return "outcome"

    @property
    def headline(self) -> str:
        """Start of the sentence."""
        return "The request ended"

    @property
    def sentence(self) -> str:
        """The outcome and its causes as one sentence."""
        if not self.causes:
            return f"{self.headline}."
        chain = ", because ".join(cause.sentence for cause in self.causes)
        return f"{self.headline}: {chain}."


@frozen(kw_only=True)
class Completed(Outcome):
    """The complete answer was received.

    Parameters
    ----------
    n_bytes : int
        Length of the answer.
    digest : str
        Digest of the answer, in hexadecimal.
    status : int
        HTTP status of the backend server.
    """

    n_bytes: int = 0
    digest: str = ""
    status: int = 200

    @property
    def name(self) -> str:
        """Stable name of the outcome."""
        return "completed"

    @property
    def headline(self) -> str:
        """Start of the sentence."""
        return "Completed"


@frozen(kw_only=True)
class NotRun(Outcome):
    """No backend server has run the request or will run it.

    Parameters
    ----------
    retry_after_ms : int
        Time after which the caller may retry, in milliseconds; 0 if a retry would not
        help.
    """

    retry_after_ms: int = 0

    @property
    def name(self) -> str:
        """Stable name of the outcome."""
        return "not_run"

    @property
    def headline(self) -> str:
        """Start of the sentence."""
        return "Refused, not run"


@frozen(kw_only=True)
class Unknown(Outcome):
    """It is unknown whether a backend server has run the request."""

    @property
    def name(self) -> str:
        """Stable name of the outcome."""
        return "unknown"

    @property
    def headline(self) -> str:
        """Start of the sentence."""
        return "Unknown whether it ran"
