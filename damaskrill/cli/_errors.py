"""Errors of the command line."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["UsageError"]


class UsageError(DamaskrillError):
    """The arguments do not match the signature of a command."""

    code = "usage"
    template = "{reason}"
