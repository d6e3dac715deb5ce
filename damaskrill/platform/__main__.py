"""Entry point of ``python -m damaskrill.platform``, which runs one router.

The command line is not imported, because that would delay the start.
"""

import sys

from damaskrill.platform._serve import serve

if __name__ == "__main__":
    sys.exit(serve())
