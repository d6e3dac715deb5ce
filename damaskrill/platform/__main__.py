"""Entry point of ``python -m damaskrill.platform``, which runs one router.

The command line is not imported, because that would delay the start.
"""

import logging
import os
import signal
import sys
import time

from damaskrill.platform._fields import SETTINGS_VARIABLE
from damaskrill.platform._listen import open_caller_socket

MS_PER_S = 1_000


def main() -> int:
    """Open the socket for callers, then import and run the router.

    Notes
    -----
    A signal that arrives during the imports takes effect when the router runs: by
    default it would end the process, with the callers that are connected by then.
    """
    received: dict[int, float] = {}

    def record(number: int, frame: object) -> None:
        received.setdefault(number, time.monotonic() * MS_PER_S)

    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, record)
    listeners = open_caller_socket(os.environ.get(SETTINGS_VARIABLE, ""))
    from damaskrill.platform._serve import serve

    return serve(listeners=listeners, signals=received)


def _exit(status: int) -> None:
    # The interpreter's teardown takes 100 ms and more of processor time, during which a
    # slow host reaches the end of the grace period.
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    _exit(main())
