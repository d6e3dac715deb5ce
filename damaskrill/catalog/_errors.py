"""Errors of published items."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["UnusableConfigurationError", "UnusableServerError"]


class UnusableConfigurationError(DamaskrillError):
    """A published configuration is invalid; the previous one stays active."""

    code = "unusable_configuration"
    template = "the published configuration cannot be used: {reason}"


class UnusableServerError(DamaskrillError):
    """A published entry of a backend server is invalid."""

    code = "unusable_server"
    template = "the entry of backend server {server_id!r} cannot be used: {reason}"
