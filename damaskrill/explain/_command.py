"""The command ``damaskrill explain``."""

import sys
from collections.abc import Sequence
from typing import TextIO

from damaskrill.exceptions import RequestNotLoggedError, UnreadableLogError
from damaskrill.explain._chain import collect_chain
from damaskrill.explain._sentences import describe_chain

__all__ = ["explain_request"]

EXIT_SUCCESS = 0
EXIT_NOT_LOGGED = 1
EXIT_UNREADABLE = 2


def explain_request(
    request_id: str,
    paths: Sequence[str],
    *,
    output: TextIO | None = None,
    errors: TextIO | None = None,
) -> int:
    """Print the events and the chain of causes of one request.

    Parameters
    ----------
    request_id : str
        ID of the request.
    paths : sequence of str
        Log files of one or several routers.
    output, errors : text stream, default=None
        Streams for the explanation and for errors; standard output and standard error
        if None.

    Returns
    -------
    int
        Exit status: 0 if the request was explained, 1 if the logs do not contain it,
        2 if a file cannot be read.
    """
    output = output if output is not None else sys.stdout
    errors = errors if errors is not None else sys.stderr
    try:
        chain = collect_chain(request_id, paths)
    except RequestNotLoggedError as error:
        print(error, file=errors)
        return EXIT_NOT_LOGGED
    except UnreadableLogError as error:
        print(error, file=errors)
        return EXIT_UNREADABLE
    for line in describe_chain(chain):
        print(line, file=output)
    return EXIT_SUCCESS
