"""Permits, forwarded requests and recorded outcomes of actions."""

from attrs import frozen

from damaskrill.messages._base import InternalMessage, Message, PeerPayload
from damaskrill.messages._outcomes import Outcome
from damaskrill.messages._requests import Request

__all__ = [
    "ForwardRequest",
    "ForwardedAnswer",
    "OutcomeAsked",
    "PermitIssued",
    "PermitRequested",
    "RequestEnded",
]


@frozen(kw_only=True)
class PermitRequested(Message):
    """A caller asks for a permit to run one action."""

    request_id: str
    service: str
    team: str


@frozen(kw_only=True)
class PermitIssued(Message):
    """Effect: answer the caller with a permit; empty where none can be issued."""

    request_id: str
    permit: str
    expires_in_ms: int = 0


@frozen(kw_only=True)
class OutcomeAsked(Message):
    """A caller asks for the recorded outcome of an action.

    Parameters
    ----------
    request : Request
        Names the service and the permit or the idempotency key.
    """

    request: Request


@frozen(kw_only=True)
class RequestEnded(InternalMessage):
    """Routing has found a request's outcome."""

    request_id: str
    outcome: Outcome


@frozen(kw_only=True)
class ForwardRequest(PeerPayload):
    """Hands a whole request to another router, which becomes its entry.

    Parameters
    ----------
    hop_id : str
        Correlation ID of this hop; names the stream of the answer's bytes.
    request : Request
        The request; ``deadline_ms`` has no meaning on another process's clock.
    remaining_ms : int
        Time until the deadline when sent, in milliseconds.
    only_outcome : bool
        Whether only the recorded outcome is asked for and nothing may be run.
    """

    hop_id: str
    request: Request
    remaining_ms: int
    only_outcome: bool = False


@frozen(kw_only=True)
class ForwardedAnswer(PeerPayload):
    """Outcome of a forwarded request; its answer's bytes went ahead of it."""

    hop_id: str
    outcome: Outcome
