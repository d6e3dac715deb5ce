"""Builds of the one-file program, made once per run of behave."""

import functools
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILD_TIMEOUT_S = 300


@functools.cache
def _build_folder():
    return tempfile.TemporaryDirectory()


@functools.cache
def build_one_file(*, with_interpreter=True):
    """Build the file once and return its content."""
    path = Path(_build_folder().name) / f"damaskrill-{with_interpreter}"
    command = [sys.executable, ROOT / "tools" / "build_dist.py", "--output", path]
    if not with_interpreter:
        command.append("--without-interpreter")
    subprocess.run(command, check=True, cwd=ROOT, timeout=BUILD_TIMEOUT_S)
    return path.read_bytes()


MAX_LISTINGS = 50


def make_folder(context):
    """Return a new folder that is removed after the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


def install_one_file(context, content):
    """Install the file in a read-only folder."""
    context.folder = make_folder(context)
    context.temporary_folder = make_folder(context)
    context.program = context.folder / "damaskrill"
    context.program.write_bytes(content)
    context.program.chmod(0o555)
    context.folder.chmod(0o555)
    context.add_cleanup(context.folder.chmod, 0o755)
    context.environment = {
        "TMPDIR": str(context.temporary_folder),
        "PATH": os.environ["PATH"],
    }


def list_children(pid):
    """Return the IDs of the child processes of all threads of a process."""
    return [
        child
        for path in Path(f"/proc/{pid}/task").glob("*/children")
        for child in path.read_text().split()
    ]


def list_written_files(pid):
    """Return the regular files that a process has open for writing."""
    for _ in range(MAX_LISTINGS):
        try:
            return _list_written_files(pid)
        except FileNotFoundError:
            # A descriptor was closed while the folder was read: read it again.
            continue
    raise AssertionError(f"process {pid} kept opening and closing files")


def _list_written_files(pid):
    written = []
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        target = os.readlink(descriptor)
        flags = Path(f"/proc/{pid}/fdinfo/{descriptor.name}").read_text().split()
        mode = int(flags[flags.index("flags:") + 1], 8) & os.O_ACCMODE
        if target.startswith("/") and mode != os.O_RDONLY:
            written.append(target)
    return written
