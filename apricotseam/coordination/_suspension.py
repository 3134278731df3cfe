"""Notices that the whole host stood still."""

import time

THRESHOLD_SECONDS = 0.7


class SuspensionDetector:
    """Compares the clock that stops in a suspension with one that runs on.

    Parameters
    ----------
    running, stopping : callable, optional
        The two clocks, in seconds.

    Examples
    --------
    >>> running, stopping = iter([0.0, 9.0]), iter([0.0, 1.0])
    >>> detector = SuspensionDetector(running.__next__, stopping.__next__)
    >>> detector.seconds_lost()
    8.0
    """

    def __init__(self, running=None, stopping=None):
        self._running = running or _boot_time
        self._stopping = stopping or time.monotonic
        self._offset = self._running() - self._stopping()

    def seconds_lost(self):
        """Return how long the host stood still since the last question."""
        offset = self._running() - self._stopping()
        lost = offset - self._offset
        self._offset = offset
        return lost if lost >= THRESHOLD_SECONDS else 0.0


def _boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
