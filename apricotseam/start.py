"""Starts one host: ``python -m apricotseam.start [SETTINGS]``.

A request to reload the settings that comes while the program is still being
imported is kept for later.
"""

import signal
import sys

from apricotseam import _early_signals


def main(arguments):
    """Run one host until it is told to stop; return the exit code."""
    _early_signals.hold(signal.SIGHUP)
    # Imported late on purpose: this takes some tenths of a second.
    from apricotseam.node import main as run_host

    return run_host(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
