#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy
# file. They are Python files without dependencies of their own; the
# project's stand-in of the store runs with those of the project.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
export PYTHONDONTWRITEBYTECODE=1
python3 -c "
import pathlib
for path in sorted(pathlib.Path('review').glob('1[1-5]/*.py')):
    compile(path.read_text(), str(path), 'exec')
import client_3, harness_3, link_3, plain_3, server_3
import apricotseam.platform.standins
"
