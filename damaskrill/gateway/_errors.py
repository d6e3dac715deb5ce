"""Errors of the gateway process."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["UnreadableSettingsError"]


class UnreadableSettingsError(DamaskrillError):
    """The settings file of the process cannot be used."""

    code = "settings_unreadable"
    template = "the settings file {path} cannot be used: {reason}"
