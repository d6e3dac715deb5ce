#!/usr/bin/env bash
# Checks that the stand-ins of cases 11 to 15 can be used; they need no compiler, and no
# packages but those of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "review"); import loopback'
