#!/bin/sh
# The stand-ins are Python sources; check that they and the hosts can start.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. python3 -c "import review.harness, review.server, apricotseam.node"
