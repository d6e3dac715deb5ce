"""Receivers of the outcome of an action: local callers and other routers."""

from attrs import frozen

from damaskrill.messages import (
    AnswerCaller,
    ForwardedAnswer,
    Message,
    Outcome,
    SendToPeer,
)

__all__ = ["PeerWaiter", "Waiter", "build_answer"]


@frozen(kw_only=True)
class Waiter:
    """Caller of this process that waits for an outcome.

    Parameters
    ----------
    request_id : str
        Request of the caller.
    deadline_ms : int
        Deadline of the request, in milliseconds.
    """

    request_id: str
    deadline_ms: int


@frozen(kw_only=True)
class PeerWaiter(Waiter):
    """Router that forwarded a request and waits for its outcome.

    Parameters
    ----------
    address, incarnation : str
        Process that forwarded the request.
    hop_id : str
        Correlation ID of the hop.
    """

    address: str
    incarnation: str
    hop_id: str


def build_answer(
    waiter: Waiter, outcome: Outcome, recorded_request_id: str = ""
) -> Message:
    """Build the message that reports an outcome to a waiter.

    Parameters
    ----------
    waiter : Waiter
        Receiver of the outcome.
    outcome : Outcome
        Outcome of the action.
    recorded_request_id : str
        Request whose answer bytes are stored; ignored if it is the waiter's own.
    """
    if recorded_request_id == waiter.request_id:
        recorded_request_id = ""
    if isinstance(waiter, PeerWaiter):
        answer = ForwardedAnswer(
            hop_id=waiter.hop_id,
            outcome=outcome,
            recorded_request_id=recorded_request_id,
        )
        return SendToPeer(
            address=waiter.address, incarnation=waiter.incarnation, payload=answer
        )
    return AnswerCaller(
        request_id=waiter.request_id,
        outcome=outcome,
        recorded_request_id=recorded_request_id,
    )
