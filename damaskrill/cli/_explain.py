"""The command ``damaskrill explain``."""

from damaskrill.explain import explain_request

__all__ = ["run"]


def run(request_id: str, *, log: tuple[str, ...]) -> int:
    """Print the cause chain of one request.

    Parameters
    ----------
    request_id : str
        ID of the request.
    log : tuple of str
        Log files of one or several routers.

    Returns
    -------
    int
        Exit status: 0 if the request was explained, 1 if the logs do not contain it,
        2 if a log cannot be read.
    """
    return explain_request(request_id, log)
