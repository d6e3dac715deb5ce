"""Errors of the gateway process."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["CacheAnswerError", "StatementError", "UnreadableSettingsError"]


class UnreadableSettingsError(DamaskrillError):
    """The settings file of the process cannot be used."""

    code = "settings_unreadable"
    template = "the settings file {path} cannot be used: {reason}"


class CacheAnswerError(DamaskrillError):
    """An engine's list of its cached prompt parts cannot be used."""

    code = "cache_answer_unreadable"
    template = "the engine's list of cached prompt parts cannot be used: {reason}"


class StatementError(DamaskrillError):
    """What a server states about its own process cannot be used."""

    code = "statement_unreadable"
    template = "the server's statement about itself cannot be used: {reason}"
