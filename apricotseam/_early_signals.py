"""Keeps signals that come before a process is ready for them.

A signal without a handler ends a process, and imports take a while. This
module imports nothing heavy, so that it can come first.
"""

import signal

_came = set()


def hold(number):
    """Keep a signal from ending the process; note that it came."""
    signal.signal(number, lambda *_: _came.add(number))


def take(number):
    """Return whether a signal came while it was held, once."""
    if number not in _came:
        return False
    _came.discard(number)
    return True
