"""Import of the modules whose classes register themselves as plug-ins."""

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
    """Import all plug-in modules; repeated calls have no effect."""
    for name in PLUGIN_MODULES:
        import_module(name)
