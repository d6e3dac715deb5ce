"""Errors of published items."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["UnusableConfigurationError", "UnusableServerError"]


class UnusableConfigurationError(DamaskrillError):
    """A published configuration cannot be taken; the last one stays in force."""

    code = "unusable_configuration"
    template = "the published configuration cannot be used: {reason}"


class UnusableServerError(DamaskrillError):
    """A published entry names no backend server that can be used."""

    code = "unusable_server"
    template = "the entry of backend server {server_id!r} cannot be used: {reason}"
