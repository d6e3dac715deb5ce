#!/bin/sh
# The stand-ins are Python and need only the packages of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. exec python3 -c "
import damaskrill.fakes.platform
import review.client, review.deployment, review.server, review.streams
"
