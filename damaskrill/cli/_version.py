"""The command ``damaskrill version``."""

from damaskrill import __version__
from damaskrill._build import BUILD

__all__ = ["run"]


def run() -> int:
    """Print the version and the build."""
    print(f"damaskrill {__version__} ({BUILD})")
    return 0
