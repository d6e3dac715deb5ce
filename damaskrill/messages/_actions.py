"""Permits, forwarded requests and recorded outcomes of actions."""

from attrs import frozen

from damaskrill.messages._base import InternalMessage, Message, PeerPayload
from damaskrill.messages._outcomes import Outcome
from damaskrill.messages._requests import Request

__all__ = [
    "ActionRecord",
    "ForwardRequest",
    "ForwardedAnswer",
    "OutcomeAsked",
    "PermitIssued",
    "PermitRequested",
    "RecordsHandedOver",
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
    """Outcome of a forwarded request; its answer's bytes went ahead of it.

    Parameters
    ----------
    hop_id : str
        Correlation ID of the hop that it answers.
    outcome : Outcome
        How the request ended.
    recorded_request_id : str
        If not empty, the bytes are those that the sender kept of that earlier
        request.
    """

    hop_id: str
    outcome: Outcome
    recorded_request_id: str = ""


@frozen(kw_only=True)
class ActionRecord:
    """What one process knows of one action.

    Parameters
    ----------
    record_key : str
        The permit, or service, team and idempotency key.
    request_id : str
        Request that spent the permit or the key.
    age_ms : int
        Time since then, in milliseconds.
    outcome : Outcome or None
        How it ended; None while it is running.
    """

    record_key: str
    request_id: str
    age_ms: int
    outcome: Outcome | None = None


@frozen(kw_only=True)
class RecordsHandedOver(PeerPayload):
    """A stopping router renounces all keys and hands its records to a new owner.

    Parameters
    ----------
    records : tuple of ActionRecord
        Records whose new owner the receiver is.
    complete_for_ms : int
        How far back the sender's records of its keys are complete, in milliseconds;
        0 if they are not to be completed by this hand-over.
    n_records : int
        Records that the receiver gets altogether, in this and other messages.
    listed_digest : int
        Hash of the routers that the sender takes for listed, itself left out.
    """

    records: tuple[ActionRecord, ...] = ()
    complete_for_ms: int = 0
    n_records: int = 0
    listed_digest: int = 0
