"""Requests of callers and their answers."""

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
    """Metadata of a request, without its body.

    Parameters
    ----------
    request_id : str
        Unique within the fleet.
    service : str
        Requested service.
    team : str
        Team of the caller.
    priority : int
        0 is the most urgent, 9 the least; -1 uses that of the operators' text.
    deadline_ms : int
        Deadline on this process's clock, in milliseconds.
    chat : str
        Chat that the request belongs to; empty if none.
    dossier : str
        Shared prefix that the request belongs to; empty if none.
    prefix_blocks : tuple of int
        Rolling hashes of the prompt's blocks, in order.
    n_prompt_tokens : int
        Estimated length of the prompt.
    repeatable : bool
        Whether it may be sent to a backend server more than once.
    idempotency_key : str
        Key of an action that must not be retried; empty if none.
    permit : str
        Permit of such an action; empty if none.
    n_hops : int
        Number of times that it was forwarded between routers.
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
        """Key that requests with a shared cached prefix have in common."""
        return self.dossier or self.chat or self.request_id


@frozen(kw_only=True)
class RequestArrived(Message):
    """A caller's request has been read completely."""

    request: Request


@frozen(kw_only=True)
class RouteRequest(InternalMessage):
    """A request has passed the checks of actions and may be routed."""

    request: Request


@frozen(kw_only=True)
class CallerGone(Message):
    """The caller closed the connection before the end of the answer."""

    request_id: str


@frozen(kw_only=True)
class AnswerCaller(Message):
    """Effect: the outcome of a request; the answer's bytes were sent before it.

    Parameters
    ----------
    request_id : str
        The request.
    outcome : Outcome
        Outcome of the request; there is exactly one.
    recorded_request_id : str
        If not empty, the answer's bytes are those of that earlier request: it ran
        the same action, and this process has stored its answer.
    """

    request_id: str
    outcome: Outcome
    recorded_request_id: str = ""
