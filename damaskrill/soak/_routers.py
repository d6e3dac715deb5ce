"""Router processes that a soak test starts, signals and kills."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from attrs import define, field

from damaskrill.fakes.platform import build_settings
from damaskrill.platform import SETTINGS_VARIABLE

__all__ = ["RouterProcesses"]

GRACE_PERIOD_S = 4
RESTART_DELAY_S = 0.3
DATA_CENTRES = ("bole", "kality", "sululta")


@define(kw_only=True)
class _Router:
    """One router over all its successive processes."""

    host: str
    settings: Path
    log: Path
    process: "subprocess.Popen[bytes] | None" = None
    starts_at: float = 0.0
    disrupted_at: float = 0.0
    stopping_since: float = 0.0
    is_paused: bool = False
    starts: list[float] = field(factory=list)


class RouterProcesses:
    """Supervisor that restarts routers whose process has ended.

    Parameters
    ----------
    folder : Path
        Directory of the settings files and logs.
    hosts : list of str
        Loopback address of each router.
    ports : tuple of int
        Ports for callers, readiness and other routers.
    store : tuple of (str, int)
        Address of the store.
    """

    def __init__(
        self,
        *,
        folder: Path,
        hosts: list[str],
        ports: tuple[int, int, int],
        store: tuple[str, int],
    ) -> None:
        self._ports = ports
        self._routers = []
        seeds = ",".join(f"{host}:{ports[2]}" for host in hosts[:3])
        for number, host in enumerate(hosts):
            settings = folder / f"router-{number}.conf"
            text = build_settings(
                name=f"router-{number}",
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                host=host,
                ports=ports,
                seeds=seeds,
                store=store,
                grace_s=GRACE_PERIOD_S,
            )
            settings.write_text(text, encoding="utf-8")
            log = folder / f"router-{number}.log"
            self._routers.append(_Router(host=host, settings=settings, log=log))

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Addresses of the routers for callers."""
        return [(each.host, self._ports[0]) for each in self._routers]

    def last_disrupted_at(self, number: int) -> float:
        """Return when a router was last killed or paused, on the monotonic clock."""
        router = self._routers[number]
        return time.monotonic() if router.is_paused else router.disrupted_at

    def starts_of(self, number: int) -> list[float]:
        """Return when processes of a router started, on the monotonic clock."""
        return self._routers[number].starts

    def process_id(self, number: int) -> int | None:
        """Return the ID of a router's process; None if none runs."""
        process = self._pick(number).process
        return process.pid if process and process.poll() is None else None

    def supervise(self) -> None:
        """Start processes that are due and kill those whose grace period expired."""
        now = time.monotonic()
        for router in self._routers:
            if router.process is not None and router.process.poll() is not None:
                router.process = None
                router.stopping_since = 0.0
                router.starts_at = now + RESTART_DELAY_S
            if router.process is None and now >= router.starts_at:
                self._start(router)
            if router.stopping_since and now - router.stopping_since > GRACE_PERIOD_S:
                self._signal(router, signal.SIGKILL)

    def stop(self, number: int) -> bool:
        """Send SIGTERM to a running router; return whether it was sent.

        Notes
        -----
        A process that starts later has not got it, and must not be killed for it.
        """
        router = self._pick(number)
        is_running = router.process is not None and router.process.poll() is None
        if router.stopping_since or not is_running:
            return False
        router.stopping_since = time.monotonic()
        self._signal(router, signal.SIGTERM)
        return True

    def kill(self, number: int) -> None:
        """Send SIGKILL."""
        router = self._pick(number)
        router.disrupted_at = time.monotonic()
        self._signal(router, signal.SIGKILL)

    def pause(self, number: int) -> None:
        """Send SIGSTOP."""
        router = self._pick(number)
        router.is_paused = True
        self._signal(router, signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Send SIGCONT."""
        router = self._pick(number)
        router.is_paused = False
        router.disrupted_at = time.monotonic()
        self._signal(router, signal.SIGCONT)

    def reload(self, number: int) -> None:
        """Send SIGHUP."""
        self._signal(self._pick(number), signal.SIGHUP)

    def kill_all(self) -> None:
        """Kill and reap all processes started here."""
        for router in self._routers:
            if router.process is not None:
                router.process.kill()
                router.process.wait()

    def _pick(self, number: int) -> _Router:
        return self._routers[number % len(self._routers)]

    def _signal(self, router: _Router, number: int) -> None:
        if router.process is not None and router.process.poll() is None:
            router.process.send_signal(number)

    def _start(self, router: _Router) -> None:
        router.starts.append(time.monotonic())
        with router.log.open("ab") as log:
            router.process = subprocess.Popen(
                [sys.executable, "-m", "damaskrill.platform"],
                env={**os.environ, SETTINGS_VARIABLE: str(router.settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
