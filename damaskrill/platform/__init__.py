"""Adapter to the users' platform, which maps its names, formats and calls.

The adapter makes no decisions. No other package uses a name of the platform.
"""

from damaskrill.platform._binding import build_platform_binding
from damaskrill.platform._serve import serve
from damaskrill.platform._settings import SETTINGS_VARIABLE, read_platform_settings

__all__ = [
    "SETTINGS_VARIABLE",
    "build_platform_binding",
    "read_platform_settings",
    "serve",
]
