"""Causes and outcomes of a request, in a form that people can read."""

from enum import Enum

from attrs import frozen

__all__ = ["Cause", "CauseCode", "Completed", "NotRun", "Outcome", "Unknown"]


class CauseCode(Enum):
    """Stable codes of the links in a chain of causes.

    The value is the code in logs and answers; ``CAUSE_TEMPLATES`` has its sentence.
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
        "{subject} has just started and bears only part of its load{detail}"
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
    CauseCode.HOP_LIMIT: "the request was passed on too often{detail}",
    CauseCode.DEPENDENCY_OUT: (
        "service '{subject}', which it depends on, is out{detail}"
    ),
    CauseCode.RETRY_BUDGET: "the retry budget is spent{detail}",
    CauseCode.CALLER_GONE: "the caller closed the connection{detail}",
    CauseCode.STOPPING: "router {subject} is stopping{detail}",
    CauseCode.PAUSED: "router {subject} was paused and is reading its view again",
    CauseCode.PARTITIONED: "router {subject} reaches only part of the fleet{detail}",
    CauseCode.PERMIT_DEAD: "the router that issued the permit is gone{detail}",
    CauseCode.PERMIT_SPENT: "the permit has been used already{detail}",
    CauseCode.KEY_NOT_PROVABLY_NEW: (
        "router {subject} cannot prove that the idempotency key is new{detail}"
    ),
    CauseCode.REPLY_LOST: "the reply of {subject} was lost{detail}",
    CauseCode.ANSWER_DAMAGED: "the answer of {subject} was incomplete{detail}",
    CauseCode.SURGE: "team '{subject}' sends more than its share{detail}",
    CauseCode.TAKEN_OVER: (
        "{subject} has just been taken over and its load is not known yet{detail}"
    ),
    CauseCode.CIRCUIT_OPEN: "{subject} failed repeatedly and is being rested{detail}",
}


@frozen(kw_only=True)
class Cause:
    """One link in the chain from an outcome to its root.

    Parameters
    ----------
    code : CauseCode
        What kind of cause.
    subject : str, default=""
        What the cause is about: a service, a backend server, a team, a router.
    detail : str, default=""
        Further words, appended to the sentence.
    text_version : int, default=0
        Version of the operators' text that brought it about; 0 if none.
    at_ms : int, default=0
        When it came about, in milliseconds; 0 if unknown.
    """

    code: CauseCode
    subject: str = ""
    detail: str = ""
    text_version: int = 0
    at_ms: int = 0

    @property
    def sentence(self) -> str:
        """The cause in plain words, without a full stop."""
        detail = f", {self.detail}" if self.detail else ""
        template = CAUSE_TEMPLATES[self.code]
        return template.format(
            subject=self.subject, detail=detail, text_version=self.text_version
        )


@frozen(kw_only=True)
class Outcome:
    """How a request ended.

    Parameters
    ----------
    causes : tuple of Cause
        From the nearest cause to the root.
    """

    causes: tuple[Cause, ...] = ()

    @property
    def name(self) -> str:
        """Stable name of the outcome."""
        return "outcome"

    @property
    def headline(self) -> str:
        """First words of the sentence."""
        return "The request ended"

    @property
    def sentence(self) -> str:
        """The outcome and its causes as one plain sentence."""
        if not self.causes:
            return f"{self.headline}."
        chain = ", because ".join(cause.sentence for cause in self.causes)
        return f"{self.headline}: {chain}."


@frozen(kw_only=True)
class Completed(Outcome):
    """The whole answer was received.

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
        """First words of the sentence."""
        return "Completed"


@frozen(kw_only=True)
class NotRun(Outcome):
    """No backend server has run the request, and none will.

    Parameters
    ----------
    retry_after_ms : int
        When the caller may try again, in milliseconds; 0 if that would not help.
    """

    retry_after_ms: int = 0

    @property
    def name(self) -> str:
        """Stable name of the outcome."""
        return "not_run"

    @property
    def headline(self) -> str:
        """First words of the sentence."""
        return "Refused, not run"


@frozen(kw_only=True)
class Unknown(Outcome):
    """It cannot be known whether a backend server has run the request."""

    @property
    def name(self) -> str:
        """Stable name of the outcome."""
        return "unknown"

    @property
    def headline(self) -> str:
        """First words of the sentence."""
        return "Unknown whether it ran"
