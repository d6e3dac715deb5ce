"""A router of this build in a process of its own, which may be killed or frozen."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from damaskrill.fakes.platform import build_settings
from damaskrill.platform import SETTINGS_VARIABLE
from damaskrill.utils import rank_by_rendezvous
from features.support.gateways import free_addresses

ROOT = Path(__file__).resolve().parent.parent.parent
# Ports that are tried until the address ranks first.
MAX_DRAWN = 200


class RouterProcess:
    """Process of a router that ranks first as the scheduler of a service.

    Parameters
    ----------
    service : str
        The service.
    seeds : list of (str, int)
        Addresses of the other routers.
    store : tuple of (str, int)
        Address of the store.
    teardown_s : float, default=0
        Time that the teardown of the interpreter takes in addition, in seconds.
    """

    def __init__(self, *, service, seeds, store, teardown_s=0):
        others = ["{}:{}".format(*each) for each in seeds]
        host = f"127.202.{os.getpid() % 250}.1"
        for _ in range(MAX_DRAWN):
            ports = tuple(port for _, port in free_addresses(host, 3))
            self.address = f"{host}:{ports[2]}"
            ranked = rank_by_rendezvous(f"slots {service}", [self.address, *others])
            if ranked[0] == self.address:
                break
        self.callers = (host, ports[0])
        self._folder = tempfile.mkdtemp(prefix="router-")
        settings = Path(self._folder) / "router.conf"
        settings.write_text(
            build_settings(
                name="scheduler",
                data_centre="bole",
                host=host,
                ports=ports,
                seeds=",".join(others),
                store=store,
                grace_s=4,
            ),
            encoding="utf-8",
        )
        # Imported by the interpreter when it starts.
        slow_exit = f"import atexit, time\natexit.register(time.sleep, {teardown_s})\n"
        (Path(self._folder) / "sitecustomize.py").write_text(slow_exit, "utf-8")
        self.log = Path(self._folder) / "router.log"
        with self.log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "damaskrill.platform"],
                cwd=ROOT,
                env={
                    **os.environ,
                    SETTINGS_VARIABLE: str(settings),
                    "PYTHONPATH": self._folder,
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self):
        """End the process at once."""
        self._process.kill()

    def stop(self):
        """Ask the process to end."""
        self._process.send_signal(signal.SIGTERM)

    def freeze(self):
        """Stop the process without closing anything."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Let the process go on."""
        self._process.send_signal(signal.SIGCONT)

    def close(self):
        """End the process and remove its files."""
        self._process.kill()
        self._process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)
