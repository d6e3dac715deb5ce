"""Passes every request on to routing."""

from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.kernel._registry import registry
from damaskrill.messages import (
    AnswerCaller,
    Member,
    Message,
    RequestArrived,
    RequestEnded,
    RouteRequest,
)

__all__ = ["PassThroughActions"]


@registry.register("decider", "actions")
class PassThroughActions(BaseDecider):
    """Stands where actions that may not repeat are checked.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Not used.
    """

    handles = (RequestArrived, RequestEnded)

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Pass a request on to routing, and its outcome to the caller."""
        match message:
            case RequestArrived(request=request):
                return (RouteRequest(request=request),)
            case RequestEnded(request_id=request_id, outcome=outcome):
                return (AnswerCaller(request_id=request_id, outcome=outcome),)
        return ()
