"""Small deterministic stand-ins for the systems at the fleet's interfaces.

Notes
-----
They hold state and answer calls; time is handed in. The classes named ``HttpFake...``
put them behind HTTP interfaces on loopback; no other opens a socket.
Their records (runs per key, highest load, falls) are what tests check promises
against. They are not a simulator of a cluster.
"""

from damaskrill.fakes._configuration import FakeConfigurationService
from damaskrill.fakes._engine import EngineRun, FakeEngine
from damaskrill.fakes._host_list import FakeHostList
from damaskrill.fakes._http_engine import HttpFakeEngine, build_chat_answer
from damaskrill.fakes._http_plain import HttpFakePlainService
from damaskrill.fakes._http_platform import HttpFakePlatform
from damaskrill.fakes._plain import FakePlainService

__all__ = [
    "EngineRun",
    "FakeConfigurationService",
    "FakeEngine",
    "FakeHostList",
    "FakePlainService",
    "HttpFakeEngine",
    "HttpFakePlainService",
    "HttpFakePlatform",
    "build_chat_answer",
]
