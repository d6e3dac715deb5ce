"""Errors of the experiment package."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["UnreadableExperimentError"]


class UnreadableExperimentError(DamaskrillError):
    """The experiment file cannot be read or is not valid."""

    code = "experiment_unreadable"
    template = "the experiment {path} cannot be used: {reason}"
