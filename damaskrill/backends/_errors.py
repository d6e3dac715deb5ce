"""Errors of calls to backend servers."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["BackendUnreachableError"]


class BackendUnreachableError(DamaskrillError):
    """The connection could not be opened, so no bytes were sent."""

    code = "backend_unreachable"
    template = "cannot connect to {address}: {reason}"
