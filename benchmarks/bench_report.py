"""Throughput and memory growth of the report on logs."""

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import attrs
import orjson

from benchmarks._measurement import Measurement
from damaskrill.messages import Cause, CauseCode, EventName, LoggedEvent
from damaskrill.monitoring import event_to_line
from damaskrill.utils import check_random_state

N_LINES = (100_000, 1_000_000)
LINES_PER_REQUEST = 4
N_TEAMS = 44_000
START_MS = 1_900_000_000_000
MS_PER_REQUEST = 40
NOT_RUN_FRACTION = 0.04
KB_PER_MB = 1_024
NS_PER_S = 1_000_000_000
# Each report runs in a subprocess, so that its peak memory is measured alone.
CHILD_CODE = """
import json, sys, time
from pathlib import Path
from damaskrill.report import Objectives, build_report

def peak_kb():
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))

before_kb = peak_kb()
start_ns = time.process_time_ns()
report = build_report([sys.argv[1]], objectives=Objectives())
duration_ns = time.process_time_ns() - start_ns
print(json.dumps([report.n_lines, duration_ns, peak_kb() - before_kb]))
"""


def write_log(path: Path, n_lines: int, seed: int) -> None:
    """Write a log with requests of many teams."""
    random = check_random_state(seed)
    causes = (
        Cause(code=CauseCode.NO_BACKEND_SERVER, subject="dossier-review"),
        Cause(code=CauseCode.DATA_CENTRE_OUT, subject="bole", text_version=812),
    )
    with path.open("wb") as stream:
        for n in range(n_lines // LINES_PER_REQUEST):
            at_ms = START_MS + n * MS_PER_REQUEST
            is_not_run = random.random() < NOT_RUN_FRACTION
            arrived = LoggedEvent(
                name=EventName.REQUEST_ARRIVED,
                request_id=f"request-{n}",
                service="dossier-review",
                team=f"team-{random.randrange(N_TEAMS)}",
            )
            events = (
                arrived,
                attrs.evolve(arrived, name=EventName.ATTEMPT_DISPATCHED),
                attrs.evolve(arrived, name=EventName.FIRST_TOKEN, latency_ms=200),
                attrs.evolve(
                    arrived,
                    name=EventName.REQUEST_ENDED,
                    outcome="not_run" if is_not_run else "completed",
                    causes=causes if is_not_run else (),
                ),
            )
            for event in events:
                line = event_to_line(event, router="10.0.0.1:7000", at_ms=at_ms)
                stream.write(orjson.dumps(line) + b"\n")


def run_report(path: Path) -> tuple[int, int, int]:
    """Return number of lines, processor time in ns, and memory growth in KB."""
    command = [sys.executable, "-c", CHILD_CODE, str(path)]
    completed = subprocess.run(command, capture_output=True, check=True)
    n_lines, duration_ns, growth_kb = json.loads(completed.stdout)
    return n_lines, duration_ns, growth_kb


def measure(seed: int) -> Iterator[Measurement]:
    """Measure reports on logs of two sizes."""
    for n_lines in N_LINES:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "router.jsonl"
            write_log(path, n_lines, seed)
            n_read, duration_ns, growth_kb = run_report(path)
        assert n_read == n_lines
        parameters = {"n_lines": n_lines, "n_teams": N_TEAMS}
        yield Measurement(
            measure="report_lines_per_second",
            policy="damaskrill",
            value=round(n_lines * NS_PER_S / duration_ns),
            unit="lines/s",
            seed=seed,
            parameters=parameters,
        )
        yield Measurement(
            measure="report_memory_growth",
            policy="damaskrill",
            value=round(growth_kb / KB_PER_MB, 1),
            unit="MB",
            seed=seed,
            parameters=parameters,
        )
