#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python files that need no other packages
# than those of the deploy file's build. Checks that each can be compiled.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/h11 ] || { echo "run the build of the deploy file first" >&2; exit 2; }
PYTHONPATH=target/deps python3 -B - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").glob("standins/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
for number in range(6, 11):
    for path in pathlib.Path(f"review/{number}").glob("*.py"):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
