"""Recording of the inputs of a router's kernel."""

from typing import Any, Protocol

from damaskrill.codec import message_to_map
from damaskrill.messages import (
    HostListRead,
    LoadReported,
    Member,
    Message,
    PeerConnected,
    PeerDelivered,
    PeerLost,
    TextRead,
)
from damaskrill.traces._format import (
    TraceHeader,
    TraceRouter,
    dump_line,
    header_to_map,
)
from damaskrill.utils import hash_to_int

__all__ = ["TraceRecorder", "TraceSink", "request_id_of"]

PERMILLE = 1_000


class TraceSink(Protocol):
    """Destination of the lines of a recorder."""

    def rotate_if_full(self, n_bytes: int) -> bool:
        """Start a new file if a line does not fit; return whether one was started."""

    def write(self, line: bytes) -> None:
        """Write a line."""

    def close(self) -> None:
        """Flush buffered lines and close the file."""


class TraceRecorder:
    """Writer of the inputs of a kernel as lines of a trace.

    Parameters
    ----------
    own : Member
        Process whose inputs are recorded.
    random_state : int
        Seed of the kernel.
    sink : TraceSink
        Destination of the lines.
    sample_permille : int, default=1000
        Fraction of the requests that are recorded, in thousandths. All routers sample
        the same requests, by a hash of the request's ID.

    Notes
    -----
    Messages contain no bodies, so no body can be recorded. Inputs that belong to no
    request are always recorded. Each new file starts with the header and a snapshot of
    the latest text, host list, connections and load reports, so that it can be replayed
    on its own.
    """

    def __init__(
        self,
        *,
        own: Member,
        random_state: int,
        sink: TraceSink,
        sample_permille: int = PERMILLE,
    ) -> None:
        self._router = own.member_id
        self._sink = sink
        self._sample_permille = sample_permille
        self._snapshot: dict[tuple[str, str], Message] = {}
        self._n_inputs = 0
        router = TraceRouter(
            name=self._router,
            address=own.address,
            data_centre=own.data_centre,
            incarnation=own.incarnation,
        )
        header = TraceHeader(
            seed=random_state, routers=(router,), sample_permille=sample_permille
        )
        self._header_line = dump_line(header_to_map(header))
        self._sink.write(self._header_line)

    @property
    def n_inputs(self) -> int:
        """Number of recorded inputs."""
        return self._n_inputs

    def record_input(self, message: Message, at_ms: int) -> None:
        """Record an input.

        Parameters
        ----------
        message : Message
            Message that is passed to the kernel.
        at_ms : int
            Time that is passed to the kernel, in milliseconds.
        """
        if not self._is_sampled(message):
            return
        line = self._input_line(message, at_ms)
        if self._sink.rotate_if_full(len(line)):
            self._write_snapshot(at_ms)
        self._sink.write(line)
        self._update_snapshot(message)
        self._n_inputs += 1

    def close(self) -> None:
        """Flush buffered lines and close the file."""
        self._sink.close()

    def _is_sampled(self, message: Message) -> bool:
        if self._sample_permille >= PERMILLE:
            return True
        request_id = request_id_of(message)
        if not request_id:
            return True
        return hash_to_int(request_id) % PERMILLE < self._sample_permille

    def _input_line(self, message: Message, at_ms: int) -> bytes:
        return dump_line(
            {
                "at_ms": at_ms,
                "router": self._router,
                "message": message_to_map(message),
            }
        )

    def _update_snapshot(self, message: Message) -> None:
        match message:
            case TextRead() | HostListRead():
                self._snapshot[type(message).__name__, ""] = message
            case PeerConnected(peer=peer):
                self._snapshot["PeerConnected", peer.address] = message
            case PeerLost(peer=peer):
                self._snapshot.pop(("PeerConnected", peer.address), None)
            case LoadReported(backend_server=backend_server):
                self._snapshot["LoadReported", backend_server] = message

    def _write_snapshot(self, at_ms: int) -> None:
        self._sink.write(self._header_line)
        for message in self._snapshot.values():
            self._sink.write(self._input_line(message, at_ms))


def request_id_of(message: Message) -> str:
    """Return the ID of the request to which a message belongs.

    Parameters
    ----------
    message : Message
        Input of a kernel.

    Returns
    -------
    str
        The request's ID; empty if the message belongs to none.

    Notes
    -----
    The ID of an attempt or a hop is the ID of its request followed by a dot and a
    suffix; the ID of a request contains no dot.
    """
    content: Any = message.payload if isinstance(message, PeerDelivered) else message
    request = getattr(content, "request", None)
    if request is not None:
        return request.request_id
    request_id = getattr(content, "request_id", "")
    if request_id:
        return request_id
    attempt_id = getattr(content, "attempt_id", "") or getattr(content, "hop_id", "")
    return attempt_id.partition(".")[0]
