"""Run formatter, linter, type checker and all features; print a summary.

The last line is ``N passed, N failed``. Failures of scenarios that are listed in
``KNOWN-RED.txt`` are printed but not counted. The exit status is non-zero on any other
failure and if no scenario ran. Features with the tag ``@alone`` measure memory or the
order of requests of real processes, and run one at a time after the others.
"""

import argparse
import concurrent.futures
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FEATURE_TIMEOUT_S = 1200
MAX_CONCURRENT_FEATURES = 4
MAX_OUTPUT_CHARACTERS = 6_000
ALONE_TAG = "@alone"

LINT_STEPS = (
    ("ruff format", [sys.executable, "-m", "ruff", "format", "--check", "."]),
    ("ruff check", [sys.executable, "-m", "ruff", "check", "."]),
    ("mypy", [sys.executable, "-m", "mypy"]),
)


def read_known_red():
    """Return the (feature file, scenario) pairs that are known to fail."""
    pairs = set()
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            fields = [field.strip() for field in line.split("|")]
            pairs.add((fields[0], fields[1]))
    return pairs


def run_lint_step(name, command):
    """Run a static check and return whether it passed."""
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if completed.returncode != 0:
        print(f"FAILED {name}\n{completed.stdout}{completed.stderr}", flush=True)
    return completed.returncode == 0


def run_feature(path):
    """Run a feature file; return the status of its scenarios and the output."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-capture"]
        command += ["-f", "json", "-o", str(report), "-f", "progress3", str(path)]
        environment = dict(os.environ, PYTHONHASHSEED="0")
        try:
            completed = subprocess.run(
                command,
                cwd=ROOT,
                env=environment,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return [("whole feature", "timeout")], f"{path}: timed out"
        results = read_report(report)
        if completed.returncode != 0 and all(
            status == "passed" for _, status in results
        ):
            results.append(("whole feature", "error"))
        return results, completed.stdout + completed.stderr


def read_report(report):
    """Return (scenario name, status) from behave's JSON report."""
    try:
        features = json.loads(report.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return [("whole feature", "unreadable report")]
    return [
        (element["name"].strip(), element.get("status", "untested"))
        for feature in features
        for element in feature.get("elements", ())
        if element.get("type") != "background"
    ]


def runs_alone(path):
    """Return whether a feature runs apart from all others."""
    return ALONE_TAG in path.read_text(encoding="utf-8").partition("Feature:")[0]


def run_features(paths):
    """Yield each path with its results, those that run alone last."""
    shared = [path for path in paths if not runs_alone(path)]
    alone = [path for path in paths if runs_alone(path)]
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FEATURES) as pool:
        yield from zip(shared, pool.map(run_feature, shared), strict=True)
    for path in alone:
        yield path, run_feature(path)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("features", nargs="*", help="feature files; all by default")
    parser.add_argument("--no-lint", action="store_true")
    options = parser.parse_args()
    n_passed = n_failed = 0
    if not options.no_lint:
        for name, command in LINT_STEPS:
            passed = run_lint_step(name, command)
            n_passed += passed
            n_failed += not passed
    paths = [Path(name).resolve() for name in options.features]
    paths = paths or sorted((ROOT / "features").rglob("*.feature"))
    known_red = read_known_red()
    n_scenarios = 0
    for path, (results, output) in run_features(paths):
        name = str(path.relative_to(ROOT))
        failing = [each for each in results if each[1] != "passed"]
        n_scenarios += len(results)
        n_passed += len(results) - len(failing)
        for scenario, status in failing:
            if (name, scenario) in known_red:
                print(f"KNOWN RED {name}: {scenario}: {status}")
            else:
                n_failed += 1
                print(f"FAILED {name}: {scenario}: {status}")
        if any((name, each[0]) not in known_red for each in failing):
            print(output[-MAX_OUTPUT_CHARACTERS:])
        print(f"{name}: {len(results)} scenarios", flush=True)
    if n_scenarios == 0:
        print("no scenario ran")
        n_failed += 1
    print(f"{n_passed} passed, {n_failed} failed")
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
