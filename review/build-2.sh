#!/bin/sh
# Builds the stand-ins of the second review, in Python with nothing beside the
# standard library and target/deps: checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib, sys
sys.path.insert(0, "review")
import harness_2
for path in sorted(pathlib.Path("review").glob("*/case.py")):
    ast.parse(path.read_text())
ast.parse(pathlib.Path("review/server_2.py").read_text())
'
