"""Binding of a request's stream to the software version that begins it."""

from attrs import frozen

from damaskrill.catalog import BackendServer
from damaskrill.gateway._incarnation_checks import IncarnationChecks
from damaskrill.gateway._stream_versions import StreamVersions
from damaskrill.http1 import ServerConnection

__all__ = ["StreamBinding", "StreamStart"]


@frozen(kw_only=True, eq=False)
class StreamStart:
    """Where a stream begins if an attempt brings its first event.

    Parameters
    ----------
    server : BackendServer
        The server, as it was listed when the request was sent.
    opened_at_ms : float
        When the connection to it was opened, in milliseconds.
    origin : int
        Origin of the stream there.
    is_resumed : bool
        Whether the stream has begun earlier, at a server of the same origin.
    """

    server: BackendServer
    opened_at_ms: float
    origin: int
    is_resumed: bool


class StreamBinding:
    """Records at which version the stream of one request begins.

    Parameters
    ----------
    streams : StreamVersions
        Records of all routers.
    incarnations : IncarnationChecks
        Whether connections lead to the listed processes of servers.
    stream_id : str
        Attempt of the caller that begins the stream.

    Notes
    -----
    Load pattern: servers of a version are withdrawn, or their IDs get other processes,
    while they read the prompts of streams that were sent to them before. What the list
    says when the first event arrives does not concern these: the origin is that of the
    server to which the request was sent.

    It is recorded at once, so that other routers know it before a caller has the first
    event and can take the stream up there, and if this router ends with that event.
    """

    def __init__(
        self,
        *,
        streams: StreamVersions,
        incarnations: IncarnationChecks,
        stream_id: str,
    ) -> None:
        self._streams = streams
        self._incarnations = incarnations
        self._stream_id = stream_id
        # The start that was recorded last, and one whose process may not be the listed
        # one.
        self._recorded: StreamStart | None = None
        self._uncertain: StreamStart | None = None

    def start(
        self, server: BackendServer, connection: ServerConnection, origin: int | None
    ) -> StreamStart:
        """Return where the stream begins if a request that is being sent brings it.

        It is recorded unless the stream has begun before.

        Parameters
        ----------
        server : BackendServer
            Server that gets the request.
        connection : ServerConnection
            Connection over which it is sent.
        origin : int or None
            Origin of a stream that goes on; None if none has begun.
        """
        start = StreamStart(
            server=server,
            opened_at_ms=connection.opened_at_ms,
            origin=self._streams.origin_of(server) if origin is None else origin,
            is_resumed=origin is not None,
        )
        if not start.is_resumed:
            self._record(start)
        return start

    def record_begun(self, start: StreamStart) -> None:
        """Record that the stream has begun, or goes on."""
        # Another attempt may have been recorded since, and what is known of the process
        # may have changed.
        if start is not self._recorded or start is self._uncertain:
            self._record(start)

    async def confirm(self) -> bool:
        """Return whether the origin of the begun stream is certain."""
        start = self._uncertain
        if start is None:
            return True
        if not await self.has_origin(start.server, start.opened_at_ms, start.origin):
            return False
        self._uncertain = None
        return True

    async def has_origin(
        self, server: BackendServer, opened_at_ms: float, origin: int
    ) -> bool:
        """Return whether a connection leads to a listed process of an origin.

        Parameters
        ----------
        server : BackendServer
            The server.
        opened_at_ms : float
            Time at which the connection was opened, in milliseconds.
        origin : int
            The origin.
        """
        if not await self._incarnations.is_known_process(server, opened_at_ms):
            return False
        # The process may have become known meanwhile.
        origins = self._streams.origins_of(server.service)
        return origins.get(server.key) == origin

    def _record(self, start: StreamStart) -> None:
        is_certain = start.is_resumed or self._incarnations.watch(
            start.server, start.opened_at_ms, lambda: self._record_known(start)
        )
        self._uncertain = None if is_certain else start
        is_recorded = self._streams.record_start(
            self._stream_id, start.server, start.origin, is_certain=is_certain
        )
        self._recorded = start if is_recorded else None

    def _record_known(self, start: StreamStart) -> None:
        if start is self._uncertain:
            known = self._streams.origin_of(start.server)
            self._streams.record_start(self._stream_id, start.server, known)
