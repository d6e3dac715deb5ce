"""The connections of one process to other routers."""

import asyncio
import logging
from collections.abc import Awaitable
from typing import Any, Protocol

import attrs
from loguru import logger
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from damaskrill.configuration._peer_limits import PeerLimits
from damaskrill.exceptions import (
    DamaskrillError,
    PeerMessageTooLargeError,
    PeerRefusedError,
    PeerUnreachableError,
)
from damaskrill.messages import Member, PeerPayload
from damaskrill.peers._counters import ByteCounters
from damaskrill.peers._frames import Chunk, Payload, encode_frame, frame_name
from damaskrill.peers._handshake import handshake_as_dialler, handshake_as_listener
from damaskrill.peers._link import PeerLink
from damaskrill.peers._outbox import Outbox, QueuedFrame
from damaskrill.utils import Clock

__all__ = ["PeerHandler", "PeerNetwork"]

CLOSE_POLICY = 1008
CHECK_INTERVAL_S = 0.25
CLOSE_TIMEOUT_S = 1.0
GRACEFUL_CLOSE_TIMEOUT_S = 2.0
UNREACHABLE_LOG_INTERVAL_MS = 60_000
MAX_CLOSE_REASON_CHARACTERS = 100
# A check that runs this long after the previous one shows that this process was
# paused, so that the silence of its peers is no evidence of their failure.
PAUSE_THRESHOLD_MS = 1_500

# The library logs peer errors with a traceback; this module logs them itself.
_null_logger = logging.getLogger("damaskrill.peers.websockets")
_null_logger.addHandler(logging.NullHandler())
_null_logger.propagate = False


class PeerHandler(Protocol):
    """Callbacks for the events of a ``PeerNetwork``.

    Notes
    -----
    All methods are called in the thread of the event loop and must not block. The
    first two may return an awaitable; the next frame from that peer is read only
    after it is done.
    """

    def payload_received(
        self, sender: Member, payload: PeerPayload, body: bytes
    ) -> Awaitable[None] | None:
        """Handle a payload and its body."""

    def chunk_received(
        self, sender: Member, stream_id: str, offset: int, data: bytes
    ) -> Awaitable[None] | None:
        """Handle a chunk of a stream."""

    def peer_connected(self, member: Member) -> None:
        """Handle a new connection to a process."""

    def peer_lost(self, member: Member) -> None:
        """Handle a failed connection; its sent frames may or may not have arrived."""

    def peer_unreachable(self, address: str, payload: PeerPayload) -> None:
        """Handle a queued payload that was not sent, not even partially."""


class PeerNetwork:
    """Send payloads and chunks to other routers and receive theirs.

    Parameters
    ----------
    own : Member
        This process; port 0 in its address is replaced by the one that ``start``
        binds.
    fleet_key : str
        Secret that all routers of the fleet share; used for authentication, never
        sent.
    clock : Clock
        Time for heartbeats and time-outs.
    limits : PeerLimits
        Limits.
    handler : PeerHandler
        Receives all events.

    Notes
    -----
    Connections are opened on demand. The frames for one address use one connection
    at a time and arrive in the order in which they were sent.
    """

    def __init__(
        self,
        *,
        own: Member,
        fleet_key: str,
        clock: Clock,
        limits: PeerLimits,
        handler: PeerHandler,
    ) -> None:
        self._own = own
        self._fleet_key = fleet_key
        self._clock = clock
        self._limits = limits
        self._handler = handler
        self._counters = ByteCounters()
        self._outboxes: dict[str, list[Outbox]] = {}
        self._links: dict[PeerLink, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: Any = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._last_check_ms = clock.now_ms
        self._unreachable_logged_ms: dict[str, int] = {}
        self._is_stopping = False

    @property
    def own(self) -> Member:
        """Member of this process, with the port that was bound."""
        return self._own

    @property
    def counters(self) -> ByteCounters:
        """Counters of sent and received frames."""
        return self._counters

    @property
    def n_links(self) -> int:
        """Number of open connections that completed the handshake."""
        return len(self._links)

    async def start(self, host: str, port: int) -> int:
        """Listen for other routers.

        Parameters
        ----------
        host : str
            IP address to bind.
        port : int
            Port to bind; 0 selects a free one.

        Returns
        -------
        int
            The port that was bound.
        """
        self._loop = asyncio.get_running_loop()
        self._server = await serve(
            self._accept, host, port, logger=_null_logger, **self._connection_options()
        )
        bound_port = int(self._server.sockets[0].getsockname()[1])
        own_host, _, own_port = self._own.address.rpartition(":")
        if own_port == "0":
            self._own = attrs.evolve(self._own, address=f"{own_host}:{bound_port}")
        self._spawn(self._check_periodically())
        return bound_port

    async def stop(self) -> None:
        """Send the queued frames and close all connections gracefully."""
        self._is_stopping = True
        if self._server is not None:
            self._server.close(close_connections=False)
        for link in list(self._links):
            link.close_gracefully(is_stopping=True)
        deadline_s = asyncio.get_running_loop().time() + GRACEFUL_CLOSE_TIMEOUT_S
        while self._links and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(0.01)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def send_payload(
        self,
        address: str,
        payload: PeerPayload,
        body: bytes = b"",
        incarnation: str = "",
    ) -> bool:
        """Queue a payload without waiting.

        Parameters
        ----------
        address : str
            Peer address of another router.
        payload : PeerPayload
            Payload to send.
        body : bytes, default=b""
            Bytes delivered together with the payload.
        incarnation : str, default=""
            If not empty, incarnation of the only process that may receive it.

        Returns
        -------
        bool
            False if the payload was not queued, because the queue is full, the
            message is too large or this process is stopping; the handler is not
            called then. If True, the payload is sent, or the handler is called with
            ``peer_unreachable`` (not sent) or ``peer_lost`` (possibly sent).
        """
        frame = Payload(payload=payload, body=body)
        content = encode_frame(frame)
        if self._is_stopping or len(content) > self._limits.max_message_bytes:
            return False
        queued = QueuedFrame(
            name=frame_name(frame),
            content=content,
            payload=payload,
            incarnation=incarnation,
        )
        return self._get_outbox(address).put(queued)

    def try_send_chunk(
        self, address: str, stream_id: str, offset: int, data: bytes
    ) -> bool:
        """Queue a chunk of a stream if there is room, without waiting.

        Parameters
        ----------
        address, stream_id, offset, data
            As for ``send_chunk``.

        Returns
        -------
        bool
            Whether the chunk was queued; if not, ``send_chunk`` waits for room.
        """
        content = encode_frame(Chunk(stream_id=stream_id, offset=offset, data=data))
        if self._is_stopping or len(content) > self._limits.max_message_bytes:
            return False
        queued = QueuedFrame(name=Chunk.__name__, content=content)
        return self._get_outbox(address).put(queued)

    async def send_chunk(
        self, address: str, stream_id: str, offset: int, data: bytes
    ) -> None:
        """Queue a chunk of a stream, waiting while the queue is full.

        Parameters
        ----------
        address : str
            Peer address of another router.
        stream_id : str
            Attempt or hop that the bytes belong to.
        offset : int
            Position of the first byte in the stream.
        data : bytes
            The bytes.

        Raises
        ------
        PeerUnreachableError
            If the connection was closed before there was room.
        PeerMessageTooLargeError
            If the chunk exceeds the message size limit.
        """
        frame = Chunk(stream_id=stream_id, offset=offset, data=data)
        content = encode_frame(frame)
        limit = self._limits.max_message_bytes
        if len(content) > limit:
            raise PeerMessageTooLargeError(n_bytes=len(content), limit=limit)
        outbox = self._get_outbox(address)
        queued = QueuedFrame(name=frame_name(frame), content=content)
        if self._is_stopping or not await outbox.put_when_room(queued):
            raise PeerUnreachableError(address=address, reason="the link was closed")

    def check_links(self) -> None:
        """Send due heartbeats, and end silent and idle links; called periodically."""
        now_ms = self._clock.now_ms
        was_paused = now_ms - self._last_check_ms >= PAUSE_THRESHOLD_MS
        self._last_check_ms = now_ms
        self._purge_log_times(now_ms)
        for link in list(self._links):
            if was_paused:
                link.reset_silence_timer(now_ms)
            link.check(now_ms)

    def _purge_log_times(self, now_ms: int) -> None:
        oldest_ms = now_ms - UNREACHABLE_LOG_INTERVAL_MS
        logged = self._unreachable_logged_ms
        for address in [each for each in logged if logged[each] <= oldest_ms]:
            del logged[address]

    def _connection_options(self) -> dict[str, Any]:
        return {
            "compression": None,
            "max_size": self._limits.max_message_bytes,
            "max_queue": 16,
            "open_timeout": self._limits.greeting_timeout_ms / 1000,
            "close_timeout": CLOSE_TIMEOUT_S,
            "ping_interval": None,
        }

    def _spawn(self, coroutine: Any) -> None:
        loop = self._loop or asyncio.get_running_loop()
        task = loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_links()

    def _get_outbox(self, address: str) -> Outbox:
        for outbox in self._outboxes.get(address, ()):
            if not outbox.is_closed:
                return outbox
        outbox = Outbox(limits=self._limits)
        if self._is_stopping:
            outbox.close()
            return outbox
        self._outboxes.setdefault(address, []).append(outbox)
        self._spawn(self._dial(address, outbox))
        return outbox

    def _remove_outbox(self, address: str, outbox: Outbox) -> None:
        outboxes = self._outboxes.get(address, [])
        if outbox in outboxes:
            outboxes.remove(outbox)
        if not outboxes:
            self._outboxes.pop(address, None)

    async def _dial(self, address: str, outbox: Outbox) -> None:
        try:
            self._ensure_link_capacity()
            async with asyncio.timeout(self._limits.greeting_timeout_ms / 1000):
                connection = await connect(
                    f"ws://{address}/",
                    proxy=None,
                    logger=_null_logger,
                    **self._connection_options(),
                )
                peer = await self._handshake_dialled(connection, address)
            await self._run_link(connection, peer, outbox)
        except DamaskrillError as error:
            self._log("peer_refused", error, address)
        except (OSError, TimeoutError, WebSocketException, ValueError) as error:
            reason = str(error) or type(error).__name__
            self._log_unreachable(address, reason)
        finally:
            self._remove_outbox(address, outbox)
            for frame in outbox.close_and_drain():
                self._report_unsent(address, frame)

    def _log_unreachable(self, address: str, reason: str) -> None:
        """Log an unreachable address, at most once per interval."""
        now_ms = self._clock.now_ms
        logged_ms = self._unreachable_logged_ms.get(address)
        if logged_ms is None or now_ms - logged_ms >= UNREACHABLE_LOG_INTERVAL_MS:
            self._unreachable_logged_ms[address] = now_ms
            error = PeerUnreachableError(address=address, reason=reason)
            self._log("peer_unreachable", error, address)

    async def _handshake_dialled(self, connection: Any, address: str) -> Member:
        try:
            return await handshake_as_dialler(
                connection,
                own=self._own,
                fleet_key=self._fleet_key,
                address=address,
                counters=self._counters,
            )
        except BaseException as error:
            # The peer expects no further frames, and its close frame may never arrive.
            connection.transport.abort()
            raise error

    async def _accept(self, connection: Any) -> None:
        address = "an unknown address"
        outbox = Outbox(limits=self._limits)
        try:
            self._ensure_link_capacity()
            async with asyncio.timeout(self._limits.greeting_timeout_ms / 1000):
                peer = await handshake_as_listener(
                    connection,
                    own=self._own,
                    fleet_key=self._fleet_key,
                    counters=self._counters,
                )
            address = peer.address
            self._outboxes.setdefault(address, []).append(outbox)
            await self._run_link(connection, peer, outbox)
        except DamaskrillError as error:
            self._log("peer_refused", error, address)
            reason = error.sentence[:MAX_CLOSE_REASON_CHARACTERS]
            await connection.close(CLOSE_POLICY, reason)
        except TimeoutError:
            refusal = PeerRefusedError(
                address=address, reason="the handshake timed out"
            )
            self._log("peer_refused", refusal, address)
            await connection.close(CLOSE_POLICY, "the handshake timed out")
        finally:
            self._remove_outbox(address, outbox)
            for frame in outbox.close_and_drain():
                self._report_unsent(address, frame)

    def _ensure_link_capacity(self) -> None:
        if len(self._links) < self._limits.max_links:
            return
        open_links = [link for link in self._links if not link.outbox.is_closed]
        idle_ms = self._limits.heartbeat_interval_ms
        now_ms = self._clock.now_ms
        idle_links = [
            each for each in open_links if now_ms - each.last_used_ms > idle_ms
        ]
        if not idle_links:
            reason = f"all {self._limits.max_links} connections are in use"
            raise PeerUnreachableError(address=self._own.address, reason=reason)
        min(idle_links, key=lambda each: each.last_used_ms).close_gracefully()

    async def _run_link(self, connection: Any, peer: Member, outbox: Outbox) -> None:
        link = PeerLink(
            connection=connection,
            peer=peer,
            outbox=outbox,
            clock=self._clock,
            limits=self._limits,
            counters=self._counters,
            deliver=self._deliver,
            refuse=lambda frame: self._report_unsent(peer.address, frame),
        )
        self._links[link] = None
        self._unreachable_logged_ms.pop(peer.address, None)
        self._handler.peer_connected(peer)
        try:
            await link.run()
        finally:
            del self._links[link]
            if link.error is not None:
                self._log("peer_lost", link.error, peer.address)
                self._handler.peer_lost(peer)

    def _deliver(
        self, sender: Member, frame: Payload | Chunk
    ) -> Awaitable[None] | None:
        try:
            pending = self._call_handler(sender, frame)
        except DamaskrillError as error:
            self._log_not_handled(error, sender)
            return None
        return None if pending is None else self._await_handler(pending, sender)

    def _call_handler(
        self, sender: Member, frame: Payload | Chunk
    ) -> Awaitable[None] | None:
        if isinstance(frame, Payload):
            return self._handler.payload_received(sender, frame.payload, frame.body)
        return self._handler.chunk_received(
            sender, frame.stream_id, frame.offset, frame.data
        )

    async def _await_handler(self, pending: Awaitable[None], sender: Member) -> None:
        try:
            await pending
        except DamaskrillError as error:
            self._log_not_handled(error, sender)

    def _log_not_handled(self, error: DamaskrillError, sender: Member) -> None:
        # The error is in this process, so the connection to the peer is kept.
        self._log("peer_message_not_handled", error, sender.address)

    def _report_unsent(self, address: str, frame: QueuedFrame) -> None:
        if frame.payload is not None:
            self._handler.peer_unreachable(address, frame.payload)

    def _log(self, event: str, error: DamaskrillError, address: str) -> None:
        bound = logger.bind(event=event, code=error.code, peer=address)
        bound.warning("{}", error.sentence)
