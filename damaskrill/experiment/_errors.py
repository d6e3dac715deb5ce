"""Errors of experiments."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["UnreadableExperimentError"]


class UnreadableExperimentError(DamaskrillError):
    """The file of an experiment cannot be used."""

    code = "experiment_unreadable"
    template = "the experiment {path} cannot be used: {reason}"
