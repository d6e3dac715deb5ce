"""Who waits for the outcome of an action: a caller here or another router."""

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
    """A caller of this process.

    Parameters
    ----------
    request_id : str
        Its request.
    deadline_ms : int
        When it gives up, in milliseconds.
    """

    request_id: str
    deadline_ms: int


@frozen(kw_only=True)
class PeerWaiter(Waiter):
    """Another router, which has passed a request on.

    Parameters
    ----------
    address, incarnation : str
        That router's process.
    hop_id : str
        Correlation ID of its hop.
    """

    address: str
    incarnation: str
    hop_id: str


def build_answer(
    waiter: Waiter, outcome: Outcome, recorded_request_id: str = ""
) -> Message:
    """Return the message that tells a waiter the outcome.

    Parameters
    ----------
    waiter : Waiter
        Who is to be told.
    outcome : Outcome
        How the action ended.
    recorded_request_id : str
        Request whose answer's bytes were kept; ignored if it is the waiter's own.
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
