"""State of one request at its entry router."""

from enum import Enum

from attrs import define, field

from damaskrill.messages import Cause, Member, Request

__all__ = ["Candidate", "OpenAttempt", "OpenRequest", "Stage"]


class Stage(Enum):
    """Progress of an attempt as reported to the entry router."""

    OFFERED = "offered"
    QUEUED = "queued"
    STARTED = "started"


@define(kw_only=True)
class Candidate:
    """Backend server to which a request may be offered.

    Parameters
    ----------
    backend_server : str
        Name of the server.
    max_wait_ms : int
        Maximum wait in its owner's queue, in milliseconds.
    follows_spill : bool
        Whether its owner may refer the request to another server.
    """

    backend_server: str
    max_wait_ms: int = 0
    follows_spill: bool = False


@define(kw_only=True)
class OpenAttempt:
    """Current attempt of a request."""

    attempt_id: str
    backend_server: str
    owner: Member
    offered_at_ms: int
    resume_offset: int
    stage: Stage = Stage.OFFERED
    n_bytes: int = 0


@define(kw_only=True)
class OpenRequest:
    """Request that has no outcome yet.

    Parameters
    ----------
    request : Request
        The request.
    arrived_at_ms : int
        Time at which routing received the request, in milliseconds.
    """

    request: Request
    arrived_at_ms: int
    plan: list[Candidate] = field(factory=list)
    first_choice: str = ""
    attempt: OpenAttempt | None = None
    next_offer_at_ms: int = 0
    n_offers: int = 0
    n_attempts: int = 0
    n_rounds: int = 0
    was_queued: bool = False
    n_bytes: int = 0
    may_have_run: bool = False
    wait_ms: int = 0
    causes: tuple[Cause, ...] = ()
    retry_after_ms: int = 0
    is_transient: bool = False
    refused: dict[str, int] = field(factory=dict)
    failed: set[str] = field(factory=set)
