"""Step timeouts that follow the observed step times of each stage."""

import collections
import threading

GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
MIN_TIMEOUT_SECONDS = 0.1
MAX_STAGES = 4096


class StepTimes:
    """Smoothed step time and its mean deviation for each address.

    Parameters
    ----------
    bound_seconds : float
        Longest timeout; used for a stage that was not observed.
    """

    __slots__ = ("_bound_seconds", "_lock", "_times")

    def __init__(self, bound_seconds):
        self._bound_seconds = bound_seconds
        self._lock = threading.Lock()
        self._times = collections.OrderedDict()

    @property
    def bound_seconds(self):
        """Longest timeout in seconds."""
        return self._bound_seconds

    def observe(self, address, seconds):
        """Take the time of one step that succeeded."""
        with self._lock:
            known = self._times.pop(address, None)
            if known is None:
                known = (seconds, seconds / 2)
            mean, deviation = known
            error = seconds - mean
            mean += GAIN * error
            deviation += DEVIATION_GAIN * (abs(error) - deviation)
            self._times[address] = (mean, deviation)
            if len(self._times) > MAX_STAGES:
                self._times.popitem(last=False)

    def mean(self, address):
        """Return the smoothed seconds of a step, or None."""
        known = self._times.get(address)
        return known[0] if known is not None else None

    def timeout(self, address):
        """Return the seconds after which a stage is asked.

        Examples
        --------
        >>> times = StepTimes(0.5)
        >>> times.timeout("127.0.0.1:1")
        0.5
        >>> for _ in range(50):
        ...     times.observe("127.0.0.1:1", 0.02)
        >>> times.timeout("127.0.0.1:1")
        0.1
        """
        known = self._times.get(address)
        if known is None:
            return self._bound_seconds
        wanted = known[0] + DEVIATIONS * known[1]
        lowest = min(MIN_TIMEOUT_SECONDS, self._bound_seconds)
        return max(lowest, min(self._bound_seconds, wanted))

    def stall(self, address):
        """Return the seconds that a stage that answers may take."""
        known = self._times.get(address)
        if known is None:
            return self._bound_seconds
        slow = known[0] + DEVIATIONS * known[1]
        return min(4 * self._bound_seconds, max(self._bound_seconds, slow))
