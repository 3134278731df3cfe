"""Starts one host: ``python -m apricotseam.start [SETTINGS]``.

A SIGHUP, which asks for a reload of the settings, may arrive while modules
are still being imported. It is noted then, and the host reloads its settings
once it runs.
"""

import signal
import sys

from apricotseam import _early_signals


def main(arguments):
    """Run one host until it stops; return the exit code."""
    _early_signals.hold(signal.SIGHUP)
    # Imported after the handler is set, as the import takes some tenths of a
    # second, during which a SIGHUP would end the process.
    from apricotseam.node import main as run_host

    return run_host(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
