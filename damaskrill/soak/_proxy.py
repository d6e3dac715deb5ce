"""Loopback proxy with link faults: delay, reset, silence and one-way loss."""

import asyncio
import socket
import struct
from collections.abc import Callable, Collection
from enum import Enum

__all__ = ["FaultyProxy", "LinkMode"]

DELAY_S = 0.12
READ_BYTES = 65_536


class LinkMode(Enum):
    """How the proxy treats the data of its connections."""

    GOOD = "good"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"


class FaultyProxy:
    """Proxy that forwards connections to a target address.

    Parameters
    ----------
    target : tuple of (str, int)
        Address to which connections are forwarded.
    is_cut : callable, default=None
        Returns whether a client, given its port, is cut off; none is by default.
    """

    def __init__(
        self,
        *,
        target: tuple[str, int],
        is_cut: Callable[[int], bool] = lambda port: False,
    ) -> None:
        self.mode = LinkMode.GOOD
        self._is_cut = is_cut
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Address on which it listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return (host, port)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)

    def set_target(self, target: tuple[str, int]) -> None:
        """Forward new connections to another server."""
        self._target = target

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    def reset_clients(self, ports: Collection[int]) -> None:
        """Reset the open connections of the clients with these ports."""
        for writer in list(self._writers):
            if _client_port(writer) in ports:
                _reset(writer)

    def refuse_all(self) -> None:
        """Refuse new connections, as the host of a server that has ended does."""
        if self._server is not None:
            self._server.close()

    def silence_all(self) -> None:
        """Drop all data of the open connections from now on; new ones work."""
        self._silenced.update(self._writers)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut(_client_port(writer)):
            _reset(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            # The server is down; a reset is what its client would see without a proxy.
            _reset(writer)
            return
        self._writers.update((writer, upstream_writer))
        await asyncio.gather(
            self._relay(reader, upstream_writer, is_downstream=False),
            self._relay(upstream_reader, writer, is_downstream=True),
        )
        for each in (writer, upstream_writer):
            self._writers.discard(each)
            self._silenced.discard(each)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_downstream: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                is_dropped = self.mode is LinkMode.ONE_WAY and is_downstream
                if (
                    self.mode is LinkMode.SILENT
                    or is_dropped
                    or writer in self._silenced
                ):
                    # TCP delivers nothing after bytes that were lost.
                    self._silenced.add(writer)
                    continue
                writer.write(data)
                await writer.drain()
            if writer not in self._silenced:
                writer.close()
        except ConnectionError:
            # One side was reset: reset the other as well.
            _reset(writer)


def _client_port(writer: asyncio.StreamWriter) -> int:
    peer = writer.get_extra_info("peername")
    return peer[1] if peer else 0


def _reset(writer: asyncio.StreamWriter) -> None:
    # A linger time of 0 makes the close send RST instead of FIN.
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
