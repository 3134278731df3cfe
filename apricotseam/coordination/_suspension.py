"""Detection of suspensions of the whole host."""

import time

# Shorter suspensions are ignored.
THRESHOLD_SECONDS = 0.7


class SuspensionDetector:
    """Detects suspensions by comparing two clocks.

    `CLOCK_BOOTTIME` advances while the host is suspended, the monotonic
    clock does not.

    Parameters
    ----------
    boot_clock, monotonic_clock : callable, optional
        Return the time of the two clocks in seconds.

    Examples
    --------
    >>> boot, monotonic = iter([0.0, 9.0]), iter([0.0, 1.0])
    >>> detector = SuspensionDetector(boot.__next__, monotonic.__next__)
    >>> detector.seconds_lost()
    8.0
    """

    def __init__(self, boot_clock=None, monotonic_clock=None):
        self._boot_clock = boot_clock or _boot_time
        self._monotonic_clock = monotonic_clock or time.monotonic
        self._offset = self._boot_clock() - self._monotonic_clock()

    def seconds_lost(self):
        """Return how long the host was suspended since the last call.

        Returns
        -------
        float
            Seconds; 0.0 if below `THRESHOLD_SECONDS`.
        """
        offset = self._boot_clock() - self._monotonic_clock()
        lost = offset - self._offset
        self._offset = offset
        return lost if lost >= THRESHOLD_SECONDS else 0.0


def _boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
