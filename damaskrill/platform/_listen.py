"""Listening socket for callers, opened before the rest of the program is imported."""

import socket

from damaskrill.platform._fields import CALLER_ADDRESS, parse_address, read_fields

__all__ = ["open_caller_socket"]

# Connections that callers open during the imports wait here.
BACKLOG = 512


def open_caller_socket(path: str) -> dict[tuple[str, int], socket.socket]:
    """Return the listening socket for callers by its address.

    Parameters
    ----------
    path : str
        Path of the settings file.

    Returns
    -------
    dict
        Empty if the socket cannot be opened; the complete check of the settings, or the
        later attempt to listen, then reports the reason.

    Notes
    -----
    After the loss of all routers, callers connect while the new processes still import
    their libraries, which takes most of a second on a small host. A connection that is
    accepted waits that long; a refused one costs its caller a retry.
    """
    try:
        address = parse_address(read_fields(path)[CALLER_ADDRESS])
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except (OSError, KeyError, ValueError):
        return {}
    listener.setblocking(False)
    return {address: listener}
