"""The command ``damaskrill gateway``."""

from damaskrill.platform import serve

__all__ = ["run"]


def run(*, settings: str = "") -> int:
    """Run one router on the users' platform until SIGTERM.

    Parameters
    ----------
    settings : str, default=""
        Settings file of the platform. If empty, its path is read from the environment
        variable of the platform.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 2 if the settings cannot be used.
    """
    return serve(settings)
