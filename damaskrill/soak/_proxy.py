"""Loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio
import socket
import struct
from enum import Enum

__all__ = ["FaultyProxy", "LinkMode"]

DELAY_S = 0.12
READ_BYTES = 65_536


class LinkMode(Enum):
    """How the proxy treats connections."""

    GOOD = "good"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"


class FaultyProxy:
    """Forwards connections from its own address to another.

    Parameters
    ----------
    target : tuple of (str, int)
        Where connections go.
    """

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.mode = LinkMode.GOOD
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return (host, port)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)

    def set_target(self, target: tuple[str, int]) -> None:
        """Take another server behind the same address."""
        self._target = target

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    def silence_all(self) -> None:
        """Let open connections carry nothing for good; new ones work."""
        self._silenced.update(self._writers)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            # The server behind is down; the caller sees a reset as it would there.
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
                    continue
                writer.write(data)
                await writer.drain()
            if writer not in self._silenced:
                writer.close()
        except ConnectionError:
            # One side was reset; so is the other.
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    # Without a time to linger the close is a reset, not an orderly end.
    found = writer.get_extra_info("socket")
    if found is not None and found.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
