"""Decision logic of one router, without sockets, threads or wall clocks."""

from damaskrill.kernel._plugins import load_plugins
from damaskrill.kernel._registry import Registry, registry
from damaskrill.kernel._router import RouterKernel, build_kernel
from damaskrill.kernel._view import FleetViewDecider

__all__ = [
    "FleetViewDecider",
    "Registry",
    "RouterKernel",
    "build_kernel",
    "load_plugins",
    "registry",
]
