"""Small deterministic fakes of the systems that the fleet talks to.

Notes
-----
The fakes hold state and answer calls; the caller passes the time. The ``HttpFake...``
classes serve them over HTTP on loopback; no other class opens a socket.
Tests check the fleet's guarantees against their records (runs per key, highest load,
crashes). They do not simulate a cluster.
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
