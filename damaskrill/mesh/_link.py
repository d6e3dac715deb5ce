"""Open link to another router, with a bounded queue of frames to send."""

import asyncio
from typing import Any

from attrs import define, field
from websockets.exceptions import WebSocketException

from damaskrill.feed import START, Position
from damaskrill.mesh._frames import SentFrame, encode
from damaskrill.steering import NEW_LINK

__all__ = ["Cursors", "Link"]

# A link with more queued frames is closed, so that memory stays bounded.
MAX_QUEUED_FRAMES = 200


@define(kw_only=True)
class Cursors:
    """Numbers of the newest reports of each kind that were sent over a link."""

    n_entries: int = 0
    n_joins: int = 0
    n_suspicions: int = 0
    n_departures: int = 0
    n_loads: int = 0
    n_prefixes: int = 0
    n_failures: int = 0
    n_crashes: int = NEW_LINK
    n_limits: int = NEW_LINK
    n_brittle: int = NEW_LINK


@define(kw_only=True, eq=False)
class Link:
    """Open link to another router.

    Parameters
    ----------
    address : str
        Address of the other router.
    socket : object
        Websocket.
    has_dialled : bool
        Whether this router opened the link.
    opened_at_ms : float
        When the link was opened, in milliseconds.

    Attributes
    ----------
    last_seen_ms, last_sent_ms : float
        Times of the last frames received and sent.
    entries_sent_ms : float
        Time of the last frame with membership entries.
    peer_position : Position
        Position in the store's history up to which the other router's replica is
        complete.
    announced_position : Position
        Newest position that was announced to the other router without the changes.
    fed_at_ms : float
        When changes of the store were last sent over the link.
    contact : tuple of (int, int)
        Origin and number of the newest contact with the store that was sent or received
        over the link.
    is_released : bool
        Whether one of the routers closes the link because it is not needed.
    """

    address: str
    socket: Any
    has_dialled: bool
    opened_at_ms: float
    last_seen_ms: float = field(init=False)
    last_sent_ms: float = field(init=False)
    entries_sent_ms: float = field(default=float("-inf"), init=False)
    peer_position: Position = field(default=START, init=False)
    announced_position: Position = field(default=START, init=False)
    fed_at_ms: float = field(default=float("-inf"), init=False)
    contact: tuple[int, int] = field(default=(0, 0), init=False)
    is_released: bool = field(default=False, init=False)
    cursors: Cursors = field(factory=Cursors, init=False)
    _queue: "asyncio.Queue[bytes]" = field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_FRAMES), init=False
    )

    def __attrs_post_init__(self) -> None:
        """Start both timers when the link is opened."""
        self.last_seen_ms = self.last_sent_ms = self.opened_at_ms

    def send(self, frame: SentFrame | bytes, now_ms: float) -> bool:
        """Queue a frame or an encoded frame; return False if the queue is full."""
        self.last_sent_ms = now_ms
        data = frame if isinstance(frame, bytes) else encode(frame)
        try:
            self._queue.put_nowait(data)
        except asyncio.QueueFull:
            return False
        return True

    async def send_queued(self) -> None:
        """Send queued frames until the connection is closed."""
        try:
            while True:
                await self.socket.send(await self._queue.get())
        except (OSError, WebSocketException):
            # The receiving side of the link ends as well and closes the link.
            return

    def abort(self) -> None:
        """Close the connection without a closing handshake."""
        self.socket.transport.abort()
