"""Size and start-up time of the one-file program."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from benchmarks._measurement import Measurement

ROOT = Path(__file__).resolve().parent.parent
N_STARTS = 5
TIMEOUT_S = 60
POLL_S = 0.005
STARTED_EVENT = "process_started"
SETTINGS = """\
[process]
data_centre = bole
[callers]
caller_address = 127.0.0.1:0
[peers]
peer_address = 127.0.0.1:0
fleet_key = a-key-for-measures
[platform]
configuration_service_url = http://127.0.0.1:1/text
host_list_url = http://127.0.0.1:1/hosts
"""


def time_command_s(argv: list[str]) -> float:
    """Return the wall time of a command, in seconds."""
    start = time.perf_counter()
    subprocess.run(argv, check=True, stdout=subprocess.DEVNULL)
    return time.perf_counter() - start


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_000
    return 0.0


def start_router(argv: list[str], folder: Path) -> tuple[float, float]:
    """Return the start-up time of a router, and its resident memory after it."""
    settings = folder / "settings.ini"
    settings.write_text(SETTINGS)
    log = folder / "log"
    start = time.perf_counter()
    with open(log, "wb") as output:
        command = [*argv, "serve", "--settings", str(settings)]
        process = subprocess.Popen(command, stdout=output, stderr=output)
    try:
        while STARTED_EVENT not in log.read_text():
            if time.perf_counter() - start > TIMEOUT_S:
                raise TimeoutError(log.read_text())
            time.sleep(POLL_S)
        elapsed_s = time.perf_counter() - start
        memory_mb = read_resident_mb(process.pid)
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(TIMEOUT_S)
    return elapsed_s, memory_mb


def measure(seed: int) -> Iterator[Measurement]:
    """Yield measurements of the file and, as the baseline, of the checkout."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        program = folder / "damaskrill"
        command = [sys.executable, str(ROOT / "tools" / "build_dist.py")]
        subprocess.run(
            [*command, "--output", str(program)],
            check=True,
            stdout=subprocess.DEVNULL,
        )
        yield build_measurement(
            "one_file_size", "one_file", program.stat().st_size / 1e6, "MB", 0
        )
        programs = {
            "one_file": [str(program)],
            "checkout": [sys.executable, "-m", "damaskrill"],
        }
        os.chdir(ROOT)
        for policy, argv in programs.items():
            yield from measure_starts(policy, argv, folder, seed)


def measure_starts(
    policy: str, argv: list[str], folder: Path, seed: int
) -> Iterator[Measurement]:
    """Yield the medians of several starts after a first one that warms file caches."""
    time_command_s([*argv, "version"])
    times = sorted(time_command_s([*argv, "version"]) for _ in range(N_STARTS))
    yield build_measurement("start_of_version", policy, times[N_STARTS // 2], "s", seed)
    start_router(argv, folder)
    starts = sorted(start_router(argv, folder) for _ in range(N_STARTS))
    elapsed_s, memory_mb = starts[N_STARTS // 2]
    yield build_measurement("start_of_router", policy, elapsed_s, "s", seed)
    yield build_measurement("memory_of_router_at_start", policy, memory_mb, "MB", seed)


def build_measurement(
    measure: str, policy: str, value: float, unit: str, seed: int
) -> Measurement:
    """Return a measurement."""
    return Measurement(
        measure=measure, policy=policy, value=value, unit=unit, seed=seed
    )
