"""The command ``damaskrill replay``."""

from damaskrill.traces import replay_files

__all__ = ["run"]


def run(*traces: str) -> int:
    """Replay recorded traces and compare the outcomes with the expected ones.

    Parameters
    ----------
    *traces : str
        Trace files.

    Returns
    -------
    int
        Exit status: 0 if all outcomes are as expected, 1 if one differs, 2 if a trace
        cannot be read.
    """
    return replay_files(traces)
