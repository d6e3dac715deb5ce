"""Build dist/damaskrill: the program, its dependencies and the interpreter in one file.

The file is a small launcher, linked to the interpreter's static library, with a zip
archive of all modules appended. Without a C compiler or the static library, or with
``--without-interpreter``, the same archive follows a shebang line for python3.11.

Usage: python tools/build_dist.py [--without-interpreter] [--output FILE]
"""

import argparse
import ast
import importlib.metadata
import importlib.util
import re
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import zipfile
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).resolve().parent.parent
ONEFILE = ROOT / "tools" / "onefile"
EXTENSION_SUFFIX = ".so"
SHEBANG = b"#!/usr/bin/env python3.11\n"
# Fixed timestamp of all entries, so that builds are reproducible.
ENTRY_TIMESTAMP = (2020, 1, 1, 0, 0, 0)
# Parts of the standard library that the program does not use.
EXCLUDED_PACKAGES = (
    "__pycache__ config-3.11 dbm distutils ensurepip idlelib lib2to3 msilib "
    "pydoc_data site-packages sqlite3 test tkinter turtledemo unittest venv wsgiref"
).split()
EXCLUDED_MODULES = (
    "_tkinter _curses _curses_panel _sqlite3 _dbm _gdbm readline nis _crypt "
    "ossaudiodev _testbuffer _testcapi _testclinic _testimportmultiple "
    "_testinternalcapi _testmultiphase _ctypes_test _xxtestfuzz xxlimited "
    "xxlimited_35 _lsprof"
).split()
EXCLUDED_FOLDERS = ("test", "tests", "__pycache__")
# Parts of Twisted for protocols that the program does not use.
EXCLUDED_TWISTED = ("conch", "mail", "names", "pair", "trial", "words")
DOCUMENTED_NODES = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
# Docstrings below this folder are not removed: the command line prints them as help.
DOCSTRINGS_KEPT_PREFIX = "damaskrill/cli/"
# Packages that read data files from the folder of their modules.
DATA_PACKAGES = ("pygal",)
# Provided by the C library of every Linux machine.
SYSTEM_LIBRARIES = re.compile(r"(libc|libm|libdl|libpthread|librt|libpython.*)\b")
# Needed at build time only.
BUILD_DISTRIBUTIONS = {"setuptools", "wheel", "pip"}


def find_distributions(name):
    """Return the direct and transitive dependencies of a distribution, by name."""
    found = {}
    pending = list(_required_names(importlib.metadata.distribution(name)))
    while pending:
        current = pending.pop()
        if current in found or current in BUILD_DISTRIBUTIONS:
            continue
        found[current] = importlib.metadata.distribution(current)
        pending.extend(_required_names(found[current]))
    return dict(sorted(found.items()))


def _required_names(distribution):
    for line in distribution.requires or ():
        requirement = Requirement(line)
        marker = requirement.marker
        if marker is None or marker.evaluate({"extra": ""}):
            yield canonicalize_name(requirement.name)


def remove_docstrings(tree):
    """Remove docstrings to save memory in every process."""
    for node in ast.walk(tree):
        if not isinstance(node, DOCUMENTED_NODES) or ast.get_docstring(node) is None:
            continue
        del node.body[0]
        if not node.body and not isinstance(node, ast.Module):
            node.body.append(ast.Pass(lineno=node.lineno, col_offset=node.col_offset))


def list_required_libraries(path):
    """Return name and path of the dependencies of a shared library."""
    completed = subprocess.run(["ldd", path], capture_output=True, text=True)
    return re.findall(r"(\S+) => (/\S+)", completed.stdout)


def read_stripped(path):
    """Return a shared library, without debugging symbols if ``strip`` is available."""
    with tempfile.NamedTemporaryFile() as target:
        command = ["strip", "--strip-unneeded", "-o", target.name, path]
        if shutil.which("strip") and subprocess.run(command).returncode == 0:
            return Path(target.name).read_bytes()
    return Path(path).read_bytes()


class ArchiveBuilder:
    """Writer of compiled modules, extension modules and data files to an archive."""

    def __init__(self, archive):
        self._archive = archive
        self._entries = set()
        self.extension_modules = {}
        self.required_libraries = {}
        self._libraries = {}

    def add(self, entry, content):
        """Add an entry and its parent folders, unless it exists."""
        if entry in self._entries:
            return
        for parent in reversed(Path(entry).parents[:-1]):
            folder = f"{parent.as_posix()}/"
            if folder not in self._entries:
                self._entries.add(folder)
                self._archive.writestr(zipfile.ZipInfo(folder, ENTRY_TIMESTAMP), b"")
        self._entries.add(entry)
        self._archive.writestr(zipfile.ZipInfo(entry, ENTRY_TIMESTAMP), content)

    def add_module(self, entry, source, content=None):
        """Add a Python module as compiled code."""
        if content is None:
            content = source.read_bytes()
        tree = ast.parse(content, entry)
        if not entry.startswith(DOCSTRINGS_KEPT_PREFIX):
            remove_docstrings(tree)
        code = compile(tree, entry, "exec", dont_inherit=True, optimize=0)
        compiled = importlib._bootstrap_external._code_to_hash_pyc(
            code, importlib.util.source_hash(content), checked=False
        )
        self.add(str(Path(entry).with_suffix(".pyc")), bytes(compiled))

    def add_extension(self, entry, source):
        """Add an extension module and the libraries that it depends on."""
        name = entry[: entry.index(".")].replace("/", ".")
        self.extension_modules[name] = entry
        self.add(entry, read_stripped(source))
        self.required_libraries[entry] = [
            self._add_library(path) for path in self._sort_libraries(source)
        ]

    def _sort_libraries(self, source):
        """Return paths of required libraries, dependencies first."""
        paths = [
            path
            for name, path in list_required_libraries(source)
            if not SYSTEM_LIBRARIES.match(name)
        ]
        return sorted(paths, key=lambda path: len(list_required_libraries(path)))

    def _add_library(self, path):
        entry = f"_libraries/{Path(path).name}"
        self.add(entry, read_stripped(path))
        return entry

    def add_path(self, entry, source):
        """Add a file of a package according to its type."""
        if source.suffix == ".py":
            self.add_module(entry, source)
        elif source.suffix == EXTENSION_SUFFIX:
            self.add_extension(entry, source)
        elif source.suffix not in (".pyc", ".pyi", ".c", ".h", ".pxd", ".pyx"):
            self.add(entry, source.read_bytes())

    def add_standard_library(self):
        """Add the standard library except for the excluded parts."""
        folder = Path(sysconfig.get_path("stdlib"))
        for source in sorted(folder.rglob("*.py")):
            entry = source.relative_to(folder)
            if entry.parts[0] in EXCLUDED_PACKAGES:
                continue
            if entry.parts[0].startswith("config-") or "test" in entry.parts[:-1]:
                continue
            self.add_module(entry.as_posix(), source)
        for source in sorted((folder / "lib-dynload").glob("*.so")):
            if source.name.partition(".")[0] not in EXCLUDED_MODULES:
                self.add_extension(source.name, source)

    def add_distribution(self, distribution):
        """Add all modules and the metadata of an installed distribution."""
        for file in sorted(distribution.files or ()):
            if any(part in EXCLUDED_FOLDERS for part in file.parts):
                continue
            if ".." in file.parts or file.suffix == ".pth":
                continue
            if file.parts[0] == "twisted" and file.parts[1] in EXCLUDED_TWISTED:
                continue
            source = Path(distribution.locate_file(file))
            is_metadata = file.parts[0].endswith((".dist-info", ".egg-info"))
            if is_metadata and file.name != "METADATA":
                continue
            if source.is_file():
                self.add_path(file.as_posix(), source)

    def add_program(self, build):
        """Add the package of this checkout with the description of the build."""
        for source in sorted((ROOT / "damaskrill").rglob("*")):
            entry = source.relative_to(ROOT).as_posix()
            if entry == "damaskrill/_build.py":
                content = source.read_text().replace('"from source"', repr(build))
                self.add_module(entry, source, content.encode())
            elif source.is_file() and "__pycache__" not in source.parts:
                self.add_path(entry, source)

    def _list_data_packages(self):
        return {
            name: sorted(
                entry
                for entry in self._entries
                if entry.startswith(f"{name}/") and not entry.endswith("/")
            )
            for name in DATA_PACKAGES
        }

    def add_entry_point(self):
        """Add the entry point and the index that it reads."""
        index = (
            f"EXTENSION_MODULES = {self.extension_modules!r}\n"
            f"REQUIRED_LIBRARIES = {self.required_libraries!r}\n"
            f"DATA_PACKAGES = {self._list_data_packages()!r}\n"
        )
        self.add_module("onefile_index.py", None, index.encode())
        self.add_module("onefile_main.py", ONEFILE / "onefile_main.py")
        start = b"import onefile_main\nonefile_main.main()\n"
        self.add_module("__main__.py", None, start)


def describe_build():
    """Return a description that identifies the build."""
    completed = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return (
        f"build {completed.stdout.strip()}"
        if completed.returncode == 0
        else "build unknown"
    )


def find_static_interpreter():
    """Return the static library of the interpreter; None if there is none."""
    folder = Path(sysconfig.get_config_var("LIBPL") or "")
    path = folder / (sysconfig.get_config_var("LIBRARY") or "")
    return path if path.is_file() else None


def compile_launcher(target):
    """Compile the launcher; return False if the prerequisites are missing."""
    library = find_static_interpreter()
    compiler = shutil.which("cc") or shutil.which("gcc")
    if library is None or compiler is None:
        return False
    command = [compiler, "-O2", "-o", target, ONEFILE / "launcher.c"]
    command += [f"-I{sysconfig.get_path('include')}", "-Wl,--whole-archive", library]
    command += ["-Wl,--no-whole-archive", "-Wl,--export-dynamic", "-s"]
    command += ["-ldl", "-lm", "-lpthread", "-lutil"]
    subprocess.run(command, check=True)
    return True


def build(output, with_interpreter):
    """Build the file; return whether it includes the interpreter."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        launcher = Path(folder) / "launcher"
        has_interpreter = with_interpreter and compile_launcher(launcher)
        head = launcher.read_bytes() if has_interpreter else SHEBANG
        partial = output.with_name(f"{output.name}.partial")
        with open(partial, "wb") as file:
            file.write(head)
            with zipfile.ZipFile(file, "w", zipfile.ZIP_STORED) as archive:
                builder = ArchiveBuilder(archive)
                builder.add_program(describe_build())
                for distribution in find_distributions("damaskrill").values():
                    builder.add_distribution(distribution)
                if has_interpreter:
                    builder.add_standard_library()
                builder.add_entry_point()
        partial.chmod(0o755)
        partial.replace(output)
    return has_interpreter


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--without-interpreter", action="store_true")
    parser.add_argument(
        "--output", type=Path, default=ROOT / "dist" / "damaskrill", metavar="FILE"
    )
    options = parser.parse_args()
    has_interpreter = build(options.output, not options.without_interpreter)
    size_mb = options.output.stat().st_size / 1e6
    content = "with" if has_interpreter else "without"
    print(f"{options.output}: {size_mb:.1f} MB, {content} the interpreter")
    return 0


if __name__ == "__main__":
    sys.exit(main())
