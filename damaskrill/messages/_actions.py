"""Messages about actions: permits, forwarded requests and recorded outcomes."""

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
    """A caller requests a permit to run one action."""

    request_id: str
    service: str
    team: str


@frozen(kw_only=True)
class PermitIssued(Message):
    """Effect: answer the caller with a permit, empty if none can be issued."""

    request_id: str
    permit: str
    expires_in_ms: int = 0


@frozen(kw_only=True)
class OutcomeAsked(Message):
    """A caller requests the recorded outcome of an action.

    Parameters
    ----------
    request : Request
        Request with the service and the permit or the idempotency key.
    """

    request: Request


@frozen(kw_only=True)
class RequestEnded(InternalMessage):
    """Routing has determined the outcome of a request."""

    request_id: str
    outcome: Outcome


@frozen(kw_only=True)
class ForwardRequest(PeerPayload):
    """Forwards a complete request to another router, which becomes its entry.

    Parameters
    ----------
    hop_id : str
        Correlation ID of this hop and ID of the stream that carries the answer.
    request : Request
        The request; its ``deadline_ms`` is not valid on the receiver's clock.
    remaining_ms : int
        Time until the deadline when sent, in milliseconds.
    only_outcome : bool
        Whether only the recorded outcome is requested and nothing may be run.
    """

    hop_id: str
    request: Request
    remaining_ms: int
    only_outcome: bool = False


@frozen(kw_only=True)
class ForwardedAnswer(PeerPayload):
    """Outcome of a forwarded request; the answer's bytes were sent before it.

    Parameters
    ----------
    hop_id : str
        Correlation ID of the hop.
    outcome : Outcome
        How the request ended.
    recorded_request_id : str
        If not empty, the bytes are the answer to that earlier request, which the
        sender has stored.
    """

    hop_id: str
    outcome: Outcome
    recorded_request_id: str = ""


@frozen(kw_only=True)
class ActionRecord:
    """Record that one process holds of one action.

    Parameters
    ----------
    record_key : str
        The permit, or service, team and idempotency key.
    request_id : str
        Request that used the permit or the key.
    age_ms : int
        Time since then, in milliseconds.
    outcome : Outcome or None
        Outcome; None while the action is running.
    """

    record_key: str
    request_id: str
    age_ms: int
    outcome: Outcome | None = None


@frozen(kw_only=True)
class RecordsHandedOver(PeerPayload):
    """A stopping router releases all its keys and sends its records to a new owner.

    Parameters
    ----------
    records : tuple of ActionRecord
        Records that the receiver owns from now on.
    complete_for_ms : int
        How far back the sender's records of its keys are complete, in milliseconds;
        0 if this hand-over does not complete them.
    n_records : int
        Records that the receiver gets in total, in this and other messages.
    listed_digest : int
        Hash of the routers that are listed according to the sender, without itself.
    """

    records: tuple[ActionRecord, ...] = ()
    complete_for_ms: int = 0
    n_records: int = 0
    listed_digest: int = 0
