"""Runs the program as ``python -m apricotseam``."""

import sys

from apricotseam.cli import main

if __name__ == "__main__":
    sys.exit(main())
