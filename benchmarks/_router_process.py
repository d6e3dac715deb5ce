"""Router in a subprocess whose processor time and memory are measured."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

from damaskrill.demo import call_router

__all__ = ["MeasuredRouter", "find_free_address"]

KIB_PER_MB = 1_024
FLEET_KEY = "a key for measures only"
POLL_S = 0.1
START_TIMEOUT_S = 60
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def find_free_address() -> str:
    """Return a loopback address that is free at the time of the call."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class MeasuredRouter:
    """Subprocess of ``damaskrill serve``.

    Parameters
    ----------
    data_centre : str
        Data centre of the router.
    text_url, host_list_url : str
        URLs of the platform.
    """

    def __init__(self, *, data_centre: str, text_url: str, host_list_url: str) -> None:
        self._data_centre = data_centre
        self._text_url = text_url
        self._host_list_url = host_list_url
        self._process: Any = None
        self._folder = tempfile.TemporaryDirectory()
        self._log_path = Path(self._folder.name, "log")
        self.peer_address = find_free_address()
        self.caller_port = int(find_free_address().rpartition(":")[2])

    async def start(self) -> None:
        """Start the process."""
        settings = Path(self._folder.name, "settings.ini")
        settings.write_text(
            f"[process]\ndata_centre = {self._data_centre}\nlog_level = WARNING\n"
            f"[callers]\ncaller_address = 127.0.0.1:{self.caller_port}\n"
            f"[peers]\npeer_address = {self.peer_address}\nfleet_key = {FLEET_KEY}\n"
            f"[platform]\nconfiguration_service_url = {self._text_url}\n"
            f"host_list_url = {self._host_list_url}\n",
            encoding="utf-8",
        )
        argv = [sys.executable, "-m", "damaskrill", "serve"]
        with open(self._log_path, "wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *argv, "--settings", str(settings), stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait until the router accepts new requests."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Stop the process without a graceful shutdown, by sending SIGTERM twice."""
        self._process.send_signal(signal.SIGTERM)
        self._process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), START_TIMEOUT_S)
        finally:
            self._folder.cleanup()

    def processor_time_s(self) -> float:
        """Return the processor time used by the process, in seconds."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory of the process, in MB."""
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KIB_PER_MB
        return 0.0

    async def read_metric(self, name: str) -> int:
        """Return the value of a ``damaskrill_state`` metric; 0 if it is absent."""
        reply = await call_router(self.caller_port, "/metrics")
        prefix = f'damaskrill_state{{name="{name}"}} '
        for line in reply.content.decode().splitlines():
            if line.startswith(prefix):
                return int(float(line.removeprefix(prefix)))
        return 0

    async def _is_ready(self) -> bool:
        try:
            reply = await call_router(self.caller_port, "/readyz")
        except OSError:
            return False
        return bool(json.loads(reply.content)["ready"])
