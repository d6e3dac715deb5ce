"""Failures of calls to backend servers."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["BackendUnreachableError"]


class BackendUnreachableError(DamaskrillError):
    """No connection could be made, so that not a byte was sent."""

    code = "backend_unreachable"
    template = "no connection to {address} could be made: {reason}"
