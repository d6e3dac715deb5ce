"""Callers outside the limits, and a router process that they meet."""

import asyncio
import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from damaskrill.fakes.platform import build_settings
from damaskrill.platform import SETTINGS_VARIABLE
from features.support.gateways import Caller, build_request, free_addresses

MB = 1_000_000
# Limits of the configuration that the crowds meet.
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MB,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
SAMPLE_S = 0.02
# How long a crowd sends at most, and how long its connections stay open.
CROWD_S = 6
ANSWER_S = 60


class LimitedRouter:
    """One router process, whose settings state its host's memory and descriptors."""

    def __init__(self, *, store, memory_mb, max_descriptors):
        host, ports = "127.0.0.1", [port for _, port in free_addresses("127.0.0.1", 3)]
        self.address = (host, ports[0])
        text = build_settings(
            name="limited",
            data_centre="bole",
            host=host,
            ports=tuple(ports),
            seeds="",
            store=store,
            grace_s=4,
        )
        text += f"limits.memoryMb={memory_mb}\nlimits.maxFds={max_descriptors}\n"
        self.folder = Path(tempfile.mkdtemp(prefix="damaskrill-limits-"))
        settings = self.folder / "settings.conf"
        settings.write_text(text, encoding="utf-8")
        with open(self.folder / "log", "wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "damaskrill.platform"],
                env={**os.environ, SETTINGS_VARIABLE: str(settings)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.max_sockets = 0
        self._sampler = threading.Thread(target=self._sample, daemon=True)
        self._sampler.start()

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process.poll() is None

    @property
    def peak_mb(self):
        """Largest resident memory of the process so far."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition("VmHWM:")[2].split()[0]) * 1_024 / MB

    def read_log(self):
        """Return the lines that it has written."""
        return (self.folder / "log").read_text()

    def _sample(self):
        folder = f"/proc/{self.process.pid}/fd"
        while self.is_running:
            n_sockets = 0
            try:
                for name in os.listdir(folder):
                    n_sockets += _is_socket(f"{folder}/{name}")
            except OSError:
                continue
            self.max_sockets = max(self.max_sockets, n_sockets)
            time.sleep(SAMPLE_S)

    def ask(self, path="/read/1", *, body=b"hello", timeout_s=ANSWER_S):
        """Send one ordinary request on a connection of its own; return the reply."""
        return self.send(build_request(path, body=body)[0], timeout_s=timeout_s)

    def send(self, data, *, timeout_s=ANSWER_S):
        """Send the bytes of a request; return the reply."""

        async def run():
            async with asyncio.timeout(timeout_s):
                caller = await Caller.open(self.address)
                caller.send(data)
                reply = await caller.read_reply()
                caller.close()
                return reply

        return asyncio.run(run())

    def close(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def _is_socket(path):
    try:
        return os.readlink(path).startswith("socket:")
    except OSError:
        return False


def _build_head(framing):
    data, _ = build_request("/read/1")
    head = data.partition(b"Content-Length")[0]
    return head + framing + b"\r\n\r\n"


def send_announced(n_bytes, *, announced=4_000_000_000):
    """Return the bytes of a request that announces more than it sends."""
    return _build_head(b"Content-Length: %d" % announced) + b"x" * n_bytes


def send_chunked(n_bytes, *, chunk_bytes):
    """Return the bytes of a chunked request without its end."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    head = _build_head(b"Transfer-Encoding: chunked")
    return head + chunk * (n_bytes // chunk_bytes)


def send_ahead(n_requests):
    """Return the bytes of requests that are sent one after another."""
    return b"".join(build_request("/read/1", body=b"")[0] for _ in range(n_requests))


class Crowd:
    """Connections that send the same bytes, read nothing and stay open.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the router.
    data : bytes
        What each sends.
    n_connections : int
        Number of connections.
    hold_s : float
        Time until they are closed.
    """

    def __init__(self, *, address, data, n_connections, hold_s=CROWD_S):
        self._address = address
        self._data = data
        self._n_connections = n_connections
        self._hold_s = hold_s
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))

    def start(self):
        """Open the connections in a thread."""
        self._thread.start()

    def wait(self):
        """Wait until all are closed."""
        self._thread.join()

    async def _run(self):
        ends_at = time.monotonic() + self._hold_s
        await asyncio.gather(*(self._send(ends_at) for _ in range(self._n_connections)))

    async def _send(self, ends_at):
        loop = asyncio.get_running_loop()
        done = loop.create_future()
        try:
            transport, _ = await loop.create_connection(
                lambda: _Silent(self._data, done), *self._address
            )
        except OSError:
            return
        await asyncio.wait([done], timeout=ends_at - time.monotonic())
        transport.abort()


class _Silent(asyncio.Protocol):
    """Connection that sends and never reads."""

    def __init__(self, data, done):
        self._data = data
        self._done = done

    def connection_made(self, transport):
        transport.pause_reading()
        transport.write(self._data)

    def connection_lost(self, error):
        if not self._done.done():
            self._done.set_result(None)
