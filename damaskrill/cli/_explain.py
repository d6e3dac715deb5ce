"""The command ``damaskrill explain``."""

from damaskrill.explain import explain_request

__all__ = ["run"]


def run(request_id: str, *, log: tuple[str, ...]) -> int:
    """Print the cause chain of one request.

    Parameters
    ----------
    request_id : str
        The request.
    log : tuple of str
        Log files of one or several routers.

    Returns
    -------
    int
        0 if it was told, 1 if the logs do not hold it, 2 if a log cannot be read.
    """
    return explain_request(request_id, log)
