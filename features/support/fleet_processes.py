"""Router processes with a record of what was done to each of them."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from attrs import define, field

from damaskrill.fakes.platform import build_settings
from damaskrill.platform import SETTINGS_VARIABLE

RESTART_S = 0.3
ZONES = ("bole", "kality", "sululta")


@define(kw_only=True)
class RouterRecord:
    """One router, and the times of its signals, starts and ends in seconds."""

    host: str
    settings: Path
    log: Path
    process: "subprocess.Popen[bytes] | None" = None
    starts_at: float = 0.0
    is_paused: bool = False
    stopping_since: float = 0.0
    # Starts and ends of what excuses a router: kills, pauses and starts.
    disruptions: list = field(factory=list)
    stops: list = field(factory=list)
    ends: list = field(factory=list)


class FleetProcesses:
    """Supervisor of router processes with a grace period of its own choice."""

    def __init__(self, *, hosts, ports, store, grace_s):
        self.folder = Path(tempfile.mkdtemp(prefix="damaskrill-fleet-"))
        self.grace_s = grace_s
        self.addresses = [(host, ports[0]) for host in hosts]
        seeds = ",".join(f"{host}:{ports[2]}" for host in hosts[:3])
        self.routers = []
        for number, host in enumerate(hosts):
            settings = self.folder / f"router-{number}.conf"
            settings.write_text(
                build_settings(
                    name=f"router-{number}",
                    data_centre=ZONES[number % len(ZONES)],
                    host=host,
                    ports=ports,
                    seeds=seeds,
                    store=store,
                    grace_s=grace_s,
                ),
                encoding="utf-8",
            )
            log = self.folder / f"router-{number}.log"
            self.routers.append(RouterRecord(host=host, settings=settings, log=log))

    def supervise(self):
        """Start processes that are due, and kill those whose grace is over."""
        now = time.monotonic()
        for router in self.routers:
            if router.process is not None and router.process.poll() is not None:
                is_planned = bool(router.stopping_since)
                router.ends.append((now, router.process.returncode, is_planned))
                router.process = None
                router.stopping_since = 0.0
                router.starts_at = now + RESTART_S
            if router.process is None and now >= router.starts_at:
                self._start(router, now)
            if router.stopping_since and now - router.stopping_since > self.grace_s:
                self._signal(router, signal.SIGKILL)

    def stop(self, number):
        """Send SIGTERM, also to a process that has got one."""
        router = self._pick(number)
        if router.process is None:
            return
        if not router.stopping_since:
            router.stopping_since = time.monotonic()
            router.stops.append(router.stopping_since)
        self._signal(router, signal.SIGTERM)

    def kill(self, number):
        """Send SIGKILL."""
        router = self._pick(number)
        router.disruptions.append(time.monotonic())
        self._signal(router, signal.SIGKILL)

    def pause(self, number):
        """Send SIGSTOP."""
        router = self._pick(number)
        router.is_paused = True
        router.disruptions.append(time.monotonic())
        self._signal(router, signal.SIGSTOP)

    def resume(self, number):
        """Send SIGCONT."""
        router = self._pick(number)
        router.is_paused = False
        router.disruptions.append(time.monotonic())
        self._signal(router, signal.SIGCONT)

    def reload(self, number):
        """Send SIGHUP."""
        self._signal(self._pick(number), signal.SIGHUP)

    def close(self):
        """Kill and reap all processes that were started here."""
        for router in self.routers:
            if router.process is not None:
                router.process.kill()
                router.process.wait()

    def discard_logs(self):
        """Remove settings and logs."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def _pick(self, number):
        return self.routers[number % len(self.routers)]

    def _signal(self, router, number):
        if router.process is not None and router.process.poll() is None:
            router.process.send_signal(number)

    def _start(self, router, now):
        router.disruptions.append(now)
        with router.log.open("ab") as log:
            router.process = subprocess.Popen(
                [sys.executable, "-m", "damaskrill.platform"],
                env={**os.environ, SETTINGS_VARIABLE: str(router.settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
