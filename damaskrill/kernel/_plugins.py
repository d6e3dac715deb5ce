"""Imports the modules whose classes register themselves."""

from importlib import import_module

__all__ = ["load_plugins"]

PLUGIN_MODULES = (
    "damaskrill.placement",
    "damaskrill.membership",
    "damaskrill.propagation",
    "damaskrill.loads",
    "damaskrill.admission",
    "damaskrill.routing",
    "damaskrill.actions",
    "damaskrill.orders",
    "damaskrill.stopping",
)


def load_plugins() -> None:
    """Import all plug-in modules; a second call changes nothing."""
    for name in PLUGIN_MODULES:
        import_module(name)
