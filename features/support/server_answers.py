"""In-memory connections to servers, and sinks that record answers."""

from attrs import define, field
from twisted.internet.testing import StringTransport

from damaskrill.http1 import AnswerSink, OutgoingRequest, ServerConnection


class InertSocket:
    """Socket whose options can be set without effect."""

    def setsockopt(self, *args):
        pass


class ServerTransport(StringTransport):
    """Transport that records whether it was aborted."""

    is_aborted = False

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return InertSocket()

    def abortConnection(self):
        self.is_aborted = True


@define
class RecordingSink(AnswerSink):
    """Sink that keeps an answer."""

    head: object = None
    body: bytes = b""
    is_complete: bool = False
    failures: list = field(factory=list)

    def handle_head(self, head):
        self.head = head

    def handle_data(self, data):
        self.body += data

    def handle_end(self):
        self.is_complete = True

    def handle_failure(self, failure):
        self.failures.append(failure)


def open_exchange():
    """Return a connection whose request was sent, its transport and its sink."""
    connection, sink, transport = ServerConnection(), RecordingSink(), ServerTransport()
    transport.connected = True
    transport.dataBuffer, transport._tempDataBuffer = b"", []
    transport.writeSomeData = lambda data: len(data)
    connection.makeConnection(transport)
    request = OutgoingRequest(
        method=b"GET", target=b"/read/1", headers=((b"Host", b"desk.example"),)
    )
    connection.start(request, sink)
    return connection, transport, sink
