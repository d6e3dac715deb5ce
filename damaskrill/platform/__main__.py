"""Entry point of ``python -m damaskrill.platform``, which runs one router.

The command line is not imported, because that would delay the start.
"""

import os
import signal
import sys

from damaskrill.platform._fields import SETTINGS_VARIABLE
from damaskrill.platform._listen import open_caller_socket


def main() -> int:
    """Open the socket for callers, then import and run the router.

    Notes
    -----
    A signal that arrives during the imports takes effect when the router runs: by
    default it would end the process, with the callers that are connected by then.
    """
    received: list[int] = []
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda number, frame: received.append(number))
    listeners = open_caller_socket(os.environ.get(SETTINGS_VARIABLE, ""))
    from damaskrill.platform._serve import serve

    return serve(listeners=listeners, signals=received)


if __name__ == "__main__":
    sys.exit(main())
