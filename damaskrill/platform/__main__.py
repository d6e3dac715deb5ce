"""Entry point of ``python -m damaskrill.platform``, which runs one router.

The other commands are not imported, because that would delay the start.
"""

import sys

from damaskrill.cli._gateway import run

if __name__ == "__main__":
    sys.exit(run())
