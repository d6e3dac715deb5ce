"""HTTP server for callers with in-memory connections and a fake clock."""

import json

from attrs import frozen
from twisted.internet import task
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python import log
from twisted.python.failure import Failure

from damaskrill.callers import CallerLimits, CallerServer
from damaskrill.messages import Completed, PermitIssued
from damaskrill.relay import AnswerTotals
from damaskrill.utils import FakeClock

LIMITS = CallerLimits(
    max_body_bytes=2_000,
    max_header_bytes=2_000,
    max_headers=20,
    max_connections=4,
    header_timeout_ms=5_000,
    body_timeout_ms=10_000,
    idle_timeout_ms=20_000,
)


class EchoHandler:
    """Answers each request immediately."""

    def __init__(self):
        self.n_requests = 0

    def next_request_id(self):
        self.n_requests += 1
        return f"memory-{self.n_requests}"

    def open_request(self, call, answer):
        answer.begin(200, "application/json")
        answer.write(b"{}")
        answer.finish(Completed(n_bytes=2), AnswerTotals(n_bytes=2, digest="ab"))

    def query_outcome(self, request, answer):
        answer.finish(Completed(), AnswerTotals())

    def request_permit(self, service, team, answer):
        answer.finish_permit(PermitIssued(request_id=answer.request_id, permit="p"))

    def handle_disconnect(self, request_id):
        pass

    def readiness(self):
        return True, "ready"

    def status_text(self):
        return "status"

    def metrics_text(self):
        return b"metrics"


class MemoryTransport(StringTransport):
    """Transport that records whether it was closed or aborted."""

    def loseConnection(self):
        self.disconnecting = True

    def abortConnection(self):
        self.disconnecting = True


class MemoryCallers:
    """Passes bytes to the HTTP server over in-memory connections."""

    def __init__(self):
        self.clock = task.Clock()
        self.errors = []
        handler = EchoHandler()
        self.server = CallerServer(
            handler=handler,
            pages=handler,
            clock=FakeClock(),
            limits=LIMITS,
            reactor=self.clock,
            report_error=self.errors.append,
        )
        log.addObserver(self._observe)

    def close(self):
        log.removeObserver(self._observe)

    def _observe(self, event):
        if event.get("isError"):
            self.errors.append(event)

    def connect(self):
        """Return a channel and its transport, or None twice if refused."""
        channel = self.server._site.buildProtocol(None)
        if channel is None:
            return None, None
        transport = MemoryTransport()
        channel.makeConnection(transport)
        return channel, transport

    def send(self, data):
        """Send bytes over a new connection, wait for all timeouts, and close it."""
        channel, transport = self.connect()
        channel.dataReceived(data)
        for _ in range(6):
            self.clock.advance(8)
        channel.connectionLost(Failure(ConnectionDone()))
        return transport.value(), transport.disconnecting


@frozen(kw_only=True)
class Answer:
    """One answer; its body is empty for HEAD."""

    status: int
    code: str
    body: bytes

    @property
    def refusal(self):
        """Parsed body of a refusal."""
        return json.loads(self.body)


def split_answers(received):
    """Return the answers in the bytes received over a connection."""
    answers = []
    while received:
        head, separator, rest = received.partition(b"\r\n\r\n")
        if not separator:
            raise AssertionError(f"not an answer: {received!r}")
        lines = head.split(b"\r\n")
        status = int(lines[0].split()[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            headers[name.lower()] = value.strip()
        if status == 100:
            received = rest
            continue
        n_bytes = int(headers.get(b"content-length", b"0"))
        if not rest or rest.startswith(b"HTTP/"):
            # An answer to HEAD declares the length of a body that it does not have.
            n_bytes = 0
        code = headers.get(b"damaskrill-code", b"").decode()
        answers.append(Answer(status=status, code=code, body=rest[:n_bytes]))
        received = rest[n_bytes:]
    return answers
