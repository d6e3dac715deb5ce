"""Requests of callers and the answers to them."""

from attrs import frozen

from damaskrill.messages._base import InternalMessage, Message
from damaskrill.messages._outcomes import Outcome

__all__ = [
    "AnswerCaller",
    "CallerGone",
    "Request",
    "RequestArrived",
    "RouteRequest",
]


@frozen(kw_only=True)
class Request:
    """What the kernel knows of a request; never its body.

    Parameters
    ----------
    request_id : str
        Unique within the fleet.
    service : str
        Service that is asked for.
    team : str
        Who asks.
    priority : int
        0 is the most urgent, 9 the least; -1 leaves it to the operators' text.
    deadline_ms : int
        Latest end, on this process's clock, in milliseconds.
    chat : str
        Chat that it belongs to; empty if none.
    dossier : str
        Shared prefix that it belongs to; empty if none.
    prefix_blocks : tuple of int
        Rolling hashes of the prompt's successive blocks, the first one first.
    n_prompt_tokens : int
        Estimated length of the prompt.
    repeatable : bool
        Whether it may be sent to a backend server more than once.
    idempotency_key : str
        Key of an action that may not be repeated; empty if none.
    permit : str
        Permit of such an action; empty if none.
    n_hops : int
        How often it has been passed on between routers.
    """

    request_id: str
    service: str
    team: str = ""
    priority: int = -1
    deadline_ms: int = 0
    chat: str = ""
    dossier: str = ""
    prefix_blocks: tuple[int, ...] = ()
    n_prompt_tokens: int = 0
    repeatable: bool = True
    idempotency_key: str = ""
    permit: str = ""
    n_hops: int = 0

    @property
    def affinity_key(self) -> str:
        """What requests that share a cached prefix have in common."""
        return self.dossier or self.chat or self.request_id


@frozen(kw_only=True)
class RequestArrived(Message):
    """A caller's request has been read whole."""

    request: Request


@frozen(kw_only=True)
class RouteRequest(InternalMessage):
    """A request has passed the checks on actions and may be routed."""

    request: Request


@frozen(kw_only=True)
class CallerGone(Message):
    """The caller has closed the connection before the answer's end."""

    request_id: str


@frozen(kw_only=True)
class AnswerCaller(Message):
    """Effect: the request's one outcome; its answer's bytes went ahead of it.

    Parameters
    ----------
    request_id : str
        The request.
    outcome : Outcome
        How it ended.
    recorded_request_id : str
        If not empty, the answer's bytes are those that this process kept of that
        earlier request, an action that was asked for again.
    """

    request_id: str
    outcome: Outcome
    recorded_request_id: str = ""
