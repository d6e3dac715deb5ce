"""The command ``damaskrill serve``."""

import sys

from damaskrill.configuration import InvalidConfigurationError, read_settings

__all__ = ["run"]

EXIT_INVALID = 2


def run(*, settings: str) -> int:
    """Run one router until SIGTERM or SIGINT; a second signal ends it immediately.

    Parameters
    ----------
    settings : str
        Settings file.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 1 after a second signal or a failure of
        the router, 2 if the settings are invalid or an address cannot be bound.
    """
    try:
        valid_settings = read_settings(settings)
    except InvalidConfigurationError as error:
        for fault in error.faults:
            print(fault.describe(settings), file=sys.stderr)
        return EXIT_INVALID
    from damaskrill.runtime import serve

    return serve(valid_settings)
