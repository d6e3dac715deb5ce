"""Log text that explains the choice of a backend server."""

from damaskrill.routing._open_request import OpenRequest

__all__ = ["describe_choice"]

MAX_NAMED_SERVERS = 4


def describe_choice(state: OpenRequest, backend_server: str) -> str:
    """Describe why a request is offered to a backend server.

    Parameters
    ----------
    state : OpenRequest
        The request, before the reply to the offer.
    backend_server : str
        The selected server.

    Returns
    -------
    str
        Sentence fragment for the log event.
    """
    if backend_server == state.first_choice:
        return f"the first choice for {_describe_affinity(state)}"
    excluded = sorted(state.failed | set(state.refused))
    if not excluded:
        return f"a further choice for {_describe_affinity(state)}"
    named = ", ".join(excluded[:MAX_NAMED_SERVERS])
    return f"the next choice, as {named} had refused or failed"


def _describe_affinity(state: OpenRequest) -> str:
    request = state.request
    if request.dossier:
        return f"dossier '{request.dossier}'"
    if request.chat:
        return f"chat '{request.chat}'"
    return "a request that belongs to no chat"
