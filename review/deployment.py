"""A small deployment: routers as the deploy file starts them, and stand-ins."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.client import send
from review.server import Server

__all__ = ["HAS_TROUBLE", "Deployment", "play"]

ROOT = Path(__file__).resolve().parents[1]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_S = 110
READY_S = 15
RESTART_S = 0.5
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
PASSED_ON = ("PATH", "HOME", "LANG")
# The bounds of the site abay-spec.
BOUNDS = """bounds.contactMs=3000
bounds.drainTimeoutMs=2000
bounds.gracePeriodS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=54
bounds.coldFactor=1.5
bounds.coldSlack=5
bounds.evacuateMs=5000
bounds.recoveryS=12
platform.form=read
platform.readsPerS=2000
platform.historyTtlS=20
platform.maxValueBytes=1048576
"""


class Router:
    """One router on a loopback address of its own, restarted when it ends."""

    def __init__(self, *, host: str, zone: str, folder: Path) -> None:
        self.host, self.zone, self.folder = host, zone, folder
        self.ports = _free_ports(host, 3)
        self.address = (host, self.ports[0])
        self.settings = folder / f"{host}.conf"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, *, seeds: list[str], store: tuple[str, int]) -> None:
        """Write its settings file."""
        front, ready, control = self.ports
        zones = "zones.bole=addis\nzones.kality=addis\nzones.sululta=addis\n"
        self.settings.write_text(
            f"node=front-{self.host}\nrole=router\nmachineClass=front\n"
            f"serves=front,control\nbindIp={self.host}\nzone={self.zone}\n"
            f"region=addis\n{zones}listen.front={self.host}:{front}\n"
            f"listen.ready={self.host}:{ready}\nlisten.control={self.host}:{control}\n"
            f"seedAddrs={','.join(seeds)}\nplatform.address={store[0]}:{store[1]}\n"
            f"{BOUNDS}",
            encoding="utf-8",
        )

    def start(self) -> None:
        """Start its process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        environment = {n: os.environ[n] for n in PASSED_ON if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["DAMASKRILL_BOOT"] = str(self.settings)
        with open(self.folder / f"{self.host}.log", "ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to its process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End its process at once."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Store, servers and routers of a case, and the record of what happens.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    reactor : object
        Twisted's reactor, on which the project's stand-in of the store runs.
    """

    def __init__(self, folder: Path, reactor: Any) -> None:
        from damaskrill.fakes.platform import FakeStore

        self._record = open(folder / "record.txt", "w", encoding="utf-8")
        self._work = Path(tempfile.mkdtemp(prefix="damaskrill-review-"))
        first, second = divmod(os.getpid() % 50_000, 250)
        self._network = f"127.{first + 10}.{second + 1}"
        self._n_hosts = 0
        self.store = FakeStore(reactor=reactor)
        self.routers: list[Router] = []
        self.servers: list[Server] = []

    def note(self, text: str) -> None:
        """Write a line to the record."""
        now = asyncio.get_running_loop().time()
        self._record.write(f"{now:.3f} {text}\n")

    def next_host(self) -> str:
        """Return a loopback address that nothing else in the case uses."""
        self._n_hosts += 1
        return f"{self._network}.{self._n_hosts}"

    async def add_server(self, server: Server) -> None:
        """Start a server and register it in the store."""
        server.note = self.note
        await server.start()
        self.servers.append(server)
        self.store.put_server(server.server_id, server.entry())
        self.note(f"server {server.server_id} ({server.version}) at {server.address}")

    async def start_routers(self, zones: list[str]) -> None:
        """Start a router in each of the zones, and wait until all are ready."""
        self.routers = [
            Router(host=self.next_host(), zone=zone, folder=self._work)
            for zone in zones
        ]
        seeds = [f"{each.host}:{each.ports[2]}" for each in self.routers[:3]]
        for router in self.routers:
            router.write_settings(seeds=seeds, store=self.store.address)
            router.start()
        await self.wait_ready(self.routers)

    async def wait_ready(self, routers: list[Router]) -> None:
        """Wait until routers say that they are ready."""
        async with asyncio.timeout(READY_S):
            for router in routers:
                while not await _is_ready(router):
                    await asyncio.sleep(0.05)

    async def restart(self, routers: list[Router]) -> None:
        """Start killed routers again after the platform's short delay."""
        await asyncio.sleep(RESTART_S)
        for router in routers:
            router.start()

    def close(self, *, keeps_logs: bool) -> None:
        """End all processes and stand-ins."""
        for router in self.routers:
            router.kill()
        for server in self.servers:
            server.stop()
        self.store.close()
        self._record.close()
        if not keeps_logs:
            shutil.rmtree(self._work)


async def _is_ready(router: Router) -> bool:
    host, port = router.host, router.ports[1]
    path, headers = "/damaskrill/readiness", [("Host", host)]
    answer = await send((host, port), "GET", path, headers, timeout_s=1)
    return answer.status == 200


def _free_ports(host: str, n_ports: int) -> list[int]:
    probes = [socket.socket() for _ in range(n_ports)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def play(
    case_file: str, case: Callable[[Deployment], Awaitable[dict[str, object]]]
) -> None:
    """Play a case, print its result and exit as the issue says.

    Parameters
    ----------
    case_file : str
        Path of the case's script, beside which the record is written.
    case : callable
        Plays the case and returns its result, in which "broken" tells whether the rule
        was broken; an exception means that the case could not run.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    running: Any = reactor
    running.startRunning(installSignalHandlers=False)

    async def run() -> dict[str, object]:
        deployment = Deployment(Path(case_file).resolve().parent, reactor)
        is_broken = True
        try:
            async with asyncio.timeout(MAX_S):
                result = await case(deployment)
            deployment.note(json.dumps(result))
            is_broken = bool(result["broken"])
            return result
        finally:
            deployment.close(keeps_logs=is_broken and "LOGS" in os.environ)

    try:
        result = loop.run_until_complete(run())
    except Exception as error:
        print(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(EXIT_NOT_RUN)
    print(json.dumps({"trouble": HAS_TROUBLE, **result}))
    sys.exit(EXIT_BROKEN if result["broken"] else EXIT_HELD)
