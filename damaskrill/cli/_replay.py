"""The command ``damaskrill replay``."""

from damaskrill.traces import replay_files

__all__ = ["run"]


def run(*traces: str) -> int:
    """Hold recorded traces against the outcomes that they state.

    Parameters
    ----------
    *traces : str
        Trace files.

    Returns
    -------
    int
        0 if all outcomes came about, 1 if one differs, 2 if a trace cannot be read.
    """
    return replay_files(traces)
