"""Adapter to the users' platform, which maps its names, formats and calls.

The adapter makes no decisions. No other package uses a name of the platform.

Its modules are imported when they are used, because a router opens its socket for
callers before it imports its libraries.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from damaskrill.platform._binding import build_platform_binding
    from damaskrill.platform._fields import SETTINGS_VARIABLE
    from damaskrill.platform._serve import serve
    from damaskrill.platform._settings import read_platform_settings

__all__ = [
    "SETTINGS_VARIABLE",
    "build_platform_binding",
    "read_platform_settings",
    "serve",
]

MODULES = {
    "SETTINGS_VARIABLE": "_fields",
    "build_platform_binding": "_binding",
    "read_platform_settings": "_settings",
    "serve": "_serve",
}


def __getattr__(name: str) -> Any:
    if name not in MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{MODULES[name]}"), name)
