#!/bin/sh
# Run the case in a folder: run-case.sh FOLDER.
# Exit: 1 the rule is broken, 0 it held, 2 the case could not run.
case=$(cd "$1" && pwd) || exit 2
cd "$case/../.." || exit 2
PYTHONPATH=target/deps:. timeout -k 5 115 python3 "$case/case.py"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
