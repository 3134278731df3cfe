"""Runs one process: ``python -m apricotseam.node [SETTINGS]``."""

import sys

from apricotseam.node._main import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
