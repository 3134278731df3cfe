"""Notes signals that arrive before a process is ready to handle them.

Signals such as SIGHUP end a process that has no handler for them, and the
imports of a host take a while. This module imports nothing that takes long,
so that handlers can be set before all other imports.
"""

import signal

_received = set()


def hold(signal_number):
    """Keep a signal from ending the process and note each arrival.

    Parameters
    ----------
    signal_number : int
        Number of the signal.
    """
    signal.signal(signal_number, lambda *_: _received.add(signal_number))


def take(signal_number):
    """Return whether a held signal has arrived, and forget the arrival.

    Parameters
    ----------
    signal_number : int
        Number of the signal.

    Returns
    -------
    bool
        True if the signal arrived since the last call.
    """
    if signal_number not in _received:
        return False
    _received.discard(signal_number)
    return True
