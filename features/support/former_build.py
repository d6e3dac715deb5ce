"""Builds of earlier landings, made from the repository's history."""

import atexit
import io
import os
import shutil
import subprocess
import sys
import tarfile
import tempfile
from functools import cache
from pathlib import Path

from damaskrill.fakes.platform import build_settings
from damaskrill.platform import SETTINGS_VARIABLE
from features.support.gateways import free_addresses

COMMIT = "2f9cf0d1855cfe6bae1e4566207776397996c0e7"
ROOT = Path(__file__).resolve().parent.parent.parent
# Decodes each frame in hexadecimal and prints it as encoded again.
ECHO = """
import sys
from damaskrill.mesh import decode, encode
for line in sys.stdin:
    print(encode(decode(bytes.fromhex(line))).hex())
"""
# Prints the kind of each frame instead.
READ_KINDS = """
import sys
from damaskrill.mesh import decode
for line in sys.stdin:
    print(type(decode(bytes.fromhex(line))).__name__)
"""


@cache
def former_build(commit=COMMIT):
    """Return the folder of a former build's sources."""
    folder = tempfile.mkdtemp(prefix="former-build-")
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    archive = subprocess.run(
        ["git", "archive", commit, "damaskrill"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as sources:
        sources.extractall(folder, filter="data")
    return folder


def echo_frames(frames):
    """Return encoded frames as the former build decodes and encodes them."""
    return [bytes.fromhex(line) for line in _run_former(ECHO, frames)]


def read_kinds(frames):
    """Return the kind that the former build takes each encoded frame for."""
    return _run_former(READ_KINDS, frames)


def _run_former(program, frames):
    completed = subprocess.run(
        [sys.executable, "-c", program],
        cwd=former_build(),
        env={**os.environ, "PYTHONPATH": former_build()},
        input="\n".join(each.hex() for each in frames),
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout.splitlines()


class FormerRouter:
    """Process of a router of a former build."""

    def __init__(self, *, number, seeds, store, commit=COMMIT):
        host = f"127.201.{os.getpid() % 250}.{number + 1}"
        ports = tuple(port for _, port in free_addresses(host, 3))
        self.callers, self.peers = (host, ports[0]), (host, ports[2])
        self._folder = tempfile.mkdtemp(prefix="former-router-")
        settings = Path(self._folder) / "router.conf"
        settings.write_text(
            build_settings(
                name=f"former-{number}",
                data_centre="bole",
                host=host,
                ports=ports,
                seeds=seeds,
                store=store,
                grace_s=4,
            ),
            encoding="utf-8",
        )
        self.log = Path(self._folder) / "router.log"
        with self.log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "damaskrill.platform"],
                cwd=former_build(commit),
                env={
                    **os.environ,
                    "PYTHONPATH": former_build(commit),
                    SETTINGS_VARIABLE: str(settings),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def close(self):
        """End the process."""
        self._process.kill()
        self._process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)
