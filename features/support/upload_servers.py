"""Servers that answer uploads in unusual ways, on raw sockets."""

import asyncio
import contextlib
import socket
import struct

BODY = b"0123456789" * 200
# Time from the orderly end of a connection to its reset.
RESET_S = 0.02
HEAD_END = b"\r\n\r\n"
READ_BYTES = 65_536
RECEIVE_BYTES = 16_384


class UploadServer:
    """Server that answers each request in one way.

    Parameters
    ----------
    status : str
        Status of its answers.
    reads_first : bool
        Whether it reads the whole request before it answers.
    has_length : bool
        Whether its answers state their length.
    share : float
        Share of the body that it sends.
    ends_in_order : bool
        Whether it ends its side of the connection after the answer.
    resets : bool
        Whether it resets the connection then, with most of the request unread.

    Attributes
    ----------
    runs : list of str
        IDs of the requests that it has begun to run.
    """

    def __init__(
        self,
        *,
        status="200",
        reads_first=False,
        has_length=False,
        share=1.0,
        ends_in_order=True,
        resets=False,
    ):
        self.runs = []
        self.address = None
        self._status = status
        self._reads_first = reads_first
        self._has_length = has_length
        self._share = share
        self._ends_in_order = ends_in_order
        self._resets = resets
        self._listener = None
        self._tasks = set()

    async def start(self):
        self._listener = socket.socket()
        # Small, so that much of an upload is still to be sent while it is not read.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.address = self._listener.getsockname()
        self._tasks = {asyncio.create_task(self._accept())}

    def close(self):
        for task in self._tasks:
            task.cancel()
        self._listener.close()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            task = asyncio.create_task(self._serve(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection):
        with contextlib.closing(connection), contextlib.suppress(ConnectionError):
            await self._answer(connection)
            if self._resets:
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _answer(self, connection):
        loop = asyncio.get_running_loop()
        head = b""
        # Nothing is read beyond the head.
        while not head.endswith(HEAD_END):
            byte = await loop.sock_recv(connection, 1)
            if not byte:
                return
            head += byte
        lines = [line.partition(b":") for line in head.split(b"\r\n")[1:] if line]
        headers = {name.strip().lower(): value.strip() for name, _, value in lines}
        request_id = headers[b"damaskrill-request-id"]
        self.runs.append(request_id.decode())
        n_left = int(headers.get(b"content-length", b"0"))
        if self._reads_first:
            n_left = await self._read(connection, n_left)
        is_stream = b"damaskrill-prompt-prefix" in headers
        content_type = b"text/event-stream" if is_stream else b"text/plain"
        length = b"Content-Length: %d\r\n" % len(BODY) if self._has_length else b""
        answer = (
            b"HTTP/1.1 %b Status\r\nDamaskrill-Request-Id: %b\r\n"
            b"Damaskrill-Response-Seal: seal\r\nContent-Type: %b\r\n%b\r\n"
            % (self._status.encode(), request_id, content_type, length)
        )
        n_sent = int(len(BODY) * self._share)
        await loop.sock_sendall(connection, answer + BODY[:n_sent])
        if self._ends_in_order:
            connection.shutdown(socket.SHUT_WR)
            await asyncio.sleep(RESET_S)
        if not self._resets:
            await self._read(connection, n_left)

    async def _read(self, connection, n_left):
        loop = asyncio.get_running_loop()
        while n_left > 0:
            data = await loop.sock_recv(connection, READ_BYTES)
            if not data:
                break
            n_left -= len(data)
        return n_left
