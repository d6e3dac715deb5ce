#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. record.txt is written beside this script.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/h11 ] || exit 2
TROUBLE="${TROUBLE:-1}" PYTHONPATH=target/deps exec python3 -B review/9/case.py
