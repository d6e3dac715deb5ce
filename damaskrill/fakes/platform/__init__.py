"""Stand-ins of the users' platform on loopback: its store and its servers."""

from damaskrill.fakes.platform._server import FakeServer, Misbehaviour
from damaskrill.fakes.platform._store import FakeStore, StoreMode
from damaskrill.fakes.platform._texts import build_configuration, build_entry

__all__ = [
    "FakeServer",
    "FakeStore",
    "Misbehaviour",
    "StoreMode",
    "build_configuration",
    "build_entry",
]
