"""Adapter to the users' platform: translates names, formats and calls.

It decides nothing. No other package knows a name of the platform.
"""

from damaskrill.platform._binding import build_platform_binding
from damaskrill.platform._settings import SETTINGS_VARIABLE, read_platform_settings

__all__ = ["SETTINGS_VARIABLE", "build_platform_binding", "read_platform_settings"]
