"""Fakes of the users' platform on loopback: its store and its servers."""

from damaskrill.fakes.platform._builders import (
    MAX_SERVERS,
    NOT_RUN_STATUSES,
    build_caller_headers,
    build_configuration,
    build_entry,
    build_settings,
)
from damaskrill.fakes.platform._misbehaviour import (
    EndlessPart,
    Misbehaviour,
    UnframedHead,
)
from damaskrill.fakes.platform._raw_answers import build_endless_answer
from damaskrill.fakes.platform._server import FakeServer
from damaskrill.fakes.platform._slots import ServerSlots
from damaskrill.fakes.platform._store import FakeStore, StoreCopy, StoreMode

__all__ = [
    "MAX_SERVERS",
    "NOT_RUN_STATUSES",
    "EndlessPart",
    "FakeServer",
    "FakeStore",
    "Misbehaviour",
    "ServerSlots",
    "StoreCopy",
    "StoreMode",
    "UnframedHead",
    "build_caller_headers",
    "build_configuration",
    "build_endless_answer",
    "build_entry",
    "build_settings",
]
