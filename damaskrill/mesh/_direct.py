"""Links to single routers for messages that concern no other router."""

import asyncio
from collections.abc import Callable
from typing import Any

import websockets.asyncio.client
from attrs import define, field
from websockets.exceptions import WebSocketException

from damaskrill.exceptions import PeerFrameError
from damaskrill.mesh._frames import DirectHello, decode, encode
from damaskrill.mesh._messages import Message, StreamNotice, StreamQuery, StreamReply
from damaskrill.mesh._slot_messages import SlotBatch
from damaskrill.utils import monotonic_now_ms

__all__ = ["DIAL_OPTIONS", "DirectLinks"]

# Options of all links that are dialled. The time is many times the network latency
# between data centres.
DIAL_OPTIONS: dict[str, Any] = {
    "compression": None,
    "ping_interval": None,
    "proxy": None,
    "open_timeout": 0.5,
    "close_timeout": 0.2,
}
# A link without messages is closed; a caller resumes a stream within some seconds.
IDLE_MS = 10_000
# Messages that wait for a link to open; later ones are dropped.
MAX_QUEUED_MESSAGES = 200
# Messages are short; a batch of those about slots has long names at times.
MAX_MESSAGE_BYTES = 131_072


@define(kw_only=True, eq=False)
class _DirectLink:
    used_at_ms: float = field(factory=monotonic_now_ms)
    queue: "asyncio.Queue[bytes]" = field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )

    def put(self, message: Message) -> None:
        # A message that is lost is a stream whose version other routers do not know.
        self.used_at_ms = monotonic_now_ms()
        if not self.queue.full():
            self.queue.put_nowait(encode(message))


class DirectLinks:
    """Links that are opened for messages to one router, and closed when idle.

    Parameters
    ----------
    own_address : str
        Address at which other routers reach this one.
    handle : callable
        Handles a message, given the address of its sender.
    report : callable
        Logs an event, given its name and fields.
    """

    def __init__(
        self,
        *,
        own_address: str,
        handle: Callable[[str, Message], None],
        report: Callable[..., None],
    ) -> None:
        self._own_address = own_address
        self._handle = handle
        self._report = report
        self._links: dict[str, _DirectLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def n_links(self) -> int:
        """Number of links that are open or being opened."""
        return len(self._links)

    def send(self, address: str, message: Message) -> None:
        """Send a message, over a new link if there is none."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _DirectLink()
            task = asyncio.get_running_loop().create_task(self._dial(address, link))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        link.put(message)

    def close(self) -> None:
        """Close all links."""
        for task in self._tasks:
            task.cancel()

    async def serve(self, socket: Any, address: str) -> None:
        """Serve a link that another router has opened, until it ends."""
        link = _DirectLink()
        self._links.setdefault(address, link)
        await self._run(socket, address, link)

    async def _dial(self, address: str, link: _DirectLink) -> None:
        try:
            socket = await websockets.asyncio.client.connect(
                f"ws://{address}/", max_size=MAX_MESSAGE_BYTES, **DIAL_OPTIONS
            )
        except (OSError, TimeoutError, WebSocketException):
            self._discard(address, link)
            return
        try:
            await socket.send(encode(DirectHello(address=self._own_address)))
            await self._run(socket, address, link)
        except (OSError, WebSocketException):
            self._discard(address, link)
        finally:
            socket.transport.abort()

    async def _run(self, socket: Any, address: str, link: _DirectLink) -> None:
        sender = asyncio.get_running_loop().create_task(_send_queued(socket, link))
        try:
            while (data := await _receive(socket, link)) is not None:
                match decode(data):
                    case (
                        StreamNotice() | StreamQuery() | StreamReply() | SlotBatch()
                    ) as message:
                        self._handle(address, message)
                    case _:
                        # The router that is dialled sends its greeting first.
                        pass
        except (OSError, TimeoutError, WebSocketException):
            # Messages are not repeated; the next one opens a link again.
            pass
        except PeerFrameError as error:
            self._report("router_frame_refused", sentence=error.sentence)
        finally:
            sender.cancel()
            self._discard(address, link)

    def _discard(self, address: str, link: _DirectLink) -> None:
        if self._links.get(address) is link:
            del self._links[address]


async def _receive(socket: Any, link: _DirectLink) -> Any:
    """Return the next frame; None if the link is idle."""
    while True:
        try:
            async with asyncio.timeout(IDLE_MS / 1_000):
                data = await socket.recv()
        except TimeoutError:
            if monotonic_now_ms() - link.used_at_ms >= IDLE_MS:
                return None
        else:
            link.used_at_ms = monotonic_now_ms()
            return data


async def _send_queued(socket: Any, link: _DirectLink) -> None:
    try:
        while True:
            await socket.send(await link.queue.get())
    except (OSError, WebSocketException):
        # The receiving side of the link ends as well.
        return
