"""Says in plain words why a backend server was chosen."""

from damaskrill.routing._open_request import OpenRequest

__all__ = ["describe_choice"]

MAX_NAMED_SERVERS = 4


def describe_choice(state: OpenRequest, backend_server: str) -> str:
    """Return why a request is offered to a backend server.

    Parameters
    ----------
    state : OpenRequest
        The request, before the offer's reply.
    backend_server : str
        The server that was chosen.

    Returns
    -------
    str
        Part of a sentence.
    """
    if backend_server == state.first_choice:
        return f"the first choice for {_describe_affinity(state)}"
    passed_over = sorted(state.failed | set(state.refused))
    if not passed_over:
        return f"a further choice for {_describe_affinity(state)}"
    named = ", ".join(passed_over[:MAX_NAMED_SERVERS])
    return f"the next choice, as {named} had refused or failed"


def _describe_affinity(state: OpenRequest) -> str:
    request = state.request
    if request.dossier:
        return f"dossier '{request.dossier}'"
    if request.chat:
        return f"chat '{request.chat}'"
    return "a request that belongs to no chat"
