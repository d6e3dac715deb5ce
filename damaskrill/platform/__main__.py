"""Entry point of ``python -m damaskrill.platform``, which runs one router.

The command line is not imported, because that would delay the start.
"""

import os
import sys

from damaskrill.platform._fields import SETTINGS_VARIABLE
from damaskrill.platform._listen import open_caller_socket


def main() -> int:
    """Open the socket for callers, then import and run the router."""
    listeners = open_caller_socket(os.environ.get(SETTINGS_VARIABLE, ""))
    from damaskrill.platform._serve import serve

    return serve(listeners=listeners)


if __name__ == "__main__":
    sys.exit(main())
