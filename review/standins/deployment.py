"""Routers as the deploy file starts them, before stand-ins, and the record of a run."""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from standins.http import call, find_port

__all__ = [
    "BROKEN",
    "HELD",
    "HOST",
    "KEY",
    "MEMORY_MB",
    "NOT_RUN",
    "Record",
    "Router",
    "build_configuration",
    "main",
    "start_routers",
]

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "desk.example"
# Memory of a machine of the small sites.
MEMORY_MB = 300
ZONES = ("bole", "kality", "sululta")


class Record:
    """File of lines with the time in seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def __call__(self, event, subject="", **fields):
        """Write a line."""
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        at = time.monotonic() - self._started
        self._file.write(f"{at:8.3f} {event} {subject} {rest}".rstrip() + "\n")
        self._file.flush()


def build_configuration(version=1, **changes):
    """Return a configuration like that of the small sites."""
    route = {"host": HOST, "priority": 1, "public": False, "maxAttempts": 2}
    stream = {**route, "kind": "streaming", "service": "pool", "stickySessions": True}
    stream |= {"timeoutMs": 15_000, "targetLatencyMs": 400, "targetGapMs": 300}
    plain = {**route, "service": "app", "timeoutMs": 1_500, "targetLatencyMs": 400}
    stream |= {"name": "r-check", "prefix": "/check/", "streamResume": True}
    issue = {**plain, "name": "r-issue", "prefix": "/issue/", "kind": "non_idempotent"}
    read = {**plain, "name": "r-read", "prefix": "/read/", "kind": "idempotent"}
    service = {"healthPath": "/health", "protocol": "h1", "tlsMode": False}
    engine = {"slotCount": 64, "kvTokens": 342_415, "models": [{"name": "m"}]}
    pool = {"name": "pool", "maxConnections": 360, "coldS": 3.0, "coldPerS": 13.0}
    app = {"name": "app", "maxConnections": 100, "coldS": 0.0, "coldPerS": 0.0}
    limits = {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304}
    limits |= {"headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000}
    return {
        "version": version,
        "routes": [stream, issue, read],
        "services": [{**service, **pool, "engineName": engine}, {**service, **app}],
        "limits": limits,
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
        **changes,
    }


class Router:
    """Process of a router on a loopback address of its own."""

    def __init__(self, number, folder, store):
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f"127.0.0.{20 + number}"
        self.ports = [find_port(self.ip) for _ in range(3)]
        self._folder, self._store = folder, store
        self.process = None

    @property
    def callers(self):
        """Address for callers."""
        return self.ip, self.ports[0]

    @property
    def control(self):
        """Address for other routers."""
        return f"{self.ip}:{self.ports[2]}"

    def start(self, seeds):
        """Start the command of the deploy file."""
        settings = self._folder / f"{self.name}.conf"
        settings.write_text(self._build_settings(seeds), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"]["router"]["run"].split()
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        variables = {"PYTHONPATH": "target/deps", "DAMASKRILL_BOOT": str(settings)}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [shutil.which(program) or program, *arguments],
                cwd=ROOT,
                env={**kept, **variables},
                stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        """Return whether it says that it is ready."""
        address, target = (self.ip, self.ports[1]), "/damaskrill/readiness"
        answer = await call(address, "GET", target, [("Host", "ready")], limit_s=1)
        return answer["status"] == 200

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def _build_settings(self, seeds):
        fields = {
            "node": self.name,
            "role": "router",
            "machineClass": "front",
            "serves": "front,control",
            "bindIp": self.ip,
            "zone": self.zone,
            "region": "addis",
            **{f"zones.{each}": "addis" for each in ZONES},
            "listen.front": "{}:{}".format(*self.callers),
            "listen.ready": f"{self.ip}:{self.ports[1]}",
            "listen.control": self.control,
            "seedAddrs": ",".join(seeds),
            "bootstrap": "true",
            "limits.memoryMb": MEMORY_MB,
            "limits.maxFds": 4100,
            "beatIntervalMs": 1200,
            "bounds.contactMs": 3000,
            "bounds.drainTimeoutMs": 2000,
            "bounds.gracePeriodS": 8,
            "bounds.configApplyMs": 2000,
            "bounds.budgetRatio": 0.2,
            "bounds.budgetWindowS": 10,
            "bounds.retrySlack": 54,
            "bounds.coldFactor": 1.5,
            "bounds.coldSlack": 5,
            "platform.address": "{}:{}".format(*self._store),
            "platform.form": "read",
            "platform.historyTtlS": 20,
        }
        return "".join(f"{name}={value}\n" for name, value in fields.items())


async def start_routers(routers, record, limit_s=15):
    """Start routers and wait until all are ready."""
    seeds = [each.control for each in routers[:3]]
    for each in routers:
        each.start(seeds)
    async with asyncio.timeout(limit_s):
        for each in routers:
            while not await each.is_ready():
                await asyncio.sleep(0.1)
    await asyncio.sleep(3)
    record("ready", f"{len(routers)} routers")


def main(record_path, n_routers, play, *, has_trouble):
    """Play a case and exit with its result.

    Parameters
    ----------
    record_path : pathlib.Path
        File for what was sent, answered and run.
    n_routers : int
        Number of routers.
    play : callable
        Called with the store, the routers, the record and `has_trouble`; returns `HELD`
        or `BROKEN`.
    has_trouble : bool
        Whether there is a disruption.
    """
    from standins.store import Store

    record = Record(record_path)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    routers = []

    async def run():
        store = Store()
        await store.start("127.0.0.1")
        routers.extend(
            Router(number, temporary, store.address) for number in range(n_routers)
        )
        return await play(store, routers, record, has_trouble)

    result = NOT_RUN
    try:
        result = asyncio.run(asyncio.wait_for(run(), 110))
    except Exception as error:
        record("could_not_run", type(error).__name__, reason=error)
    finally:
        for each in routers:
            each.signal(signal.SIGKILL)
            if each.process is not None:
                each.process.wait()
        if os.environ.get("KEEP"):
            record("kept", temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record("result", result)
    sys.exit(result)
