"""Step timeouts that adapt to the observed step times of each stage.

The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed
mean plus a multiple of the smoothed mean deviation.
"""

import collections
import threading

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4.0
MIN_TIMEOUT_SECONDS = 0.1
MAX_TRACKED_STAGES = 4096


class StepTimeEstimator:
    """Smoothed step time and mean deviation for each stage address.

    Parameters
    ----------
    max_timeout_seconds : float
        Longest timeout; also used for a stage without observations.
    """

    __slots__ = ("_max_timeout_seconds", "_lock", "_estimates")

    def __init__(self, max_timeout_seconds):
        self._max_timeout_seconds = max_timeout_seconds
        self._lock = threading.Lock()
        self._estimates = collections.OrderedDict()

    @property
    def max_timeout_seconds(self):
        """Longest step timeout in seconds."""
        return self._max_timeout_seconds

    def observe(self, address, seconds):
        """Record the duration in seconds of one step that succeeded."""
        with self._lock:
            estimate = self._estimates.pop(address, None)
            if estimate is None:
                estimate = (seconds, seconds / 2)
            mean, deviation = estimate
            error = seconds - mean
            mean += MEAN_GAIN * error
            deviation += DEVIATION_GAIN * (abs(error) - deviation)
            self._estimates[address] = (mean, deviation)
            if len(self._estimates) > MAX_TRACKED_STAGES:
                self._estimates.popitem(last=False)

    def mean(self, address):
        """Return the smoothed step time in seconds, or None."""
        estimate = self._estimates.get(address)
        return estimate[0] if estimate is not None else None

    def timeout(self, address):
        """Return the timeout in seconds of one step at a stage.

        When it expires, the stage is asked for the stream's position.

        Examples
        --------
        >>> times = StepTimeEstimator(0.5)
        >>> times.timeout("127.0.0.1:1")
        0.5
        >>> for _ in range(50):
        ...     times.observe("127.0.0.1:1", 0.02)
        >>> times.timeout("127.0.0.1:1")
        0.1
        """
        estimate = self._estimates.get(address)
        if estimate is None:
            return self._max_timeout_seconds
        adaptive_seconds = estimate[0] + DEVIATION_FACTOR * estimate[1]
        min_seconds = min(MIN_TIMEOUT_SECONDS, self._max_timeout_seconds)
        return max(
            min_seconds, min(self._max_timeout_seconds, adaptive_seconds)
        )

    def stall_timeout(self, address):
        """Return the seconds after which a responsive stage is stalled.

        A stage that still answers position queries is allowed more time
        than `timeout`: one to four times the longest timeout.
        """
        estimate = self._estimates.get(address)
        if estimate is None:
            return self._max_timeout_seconds
        adaptive_seconds = estimate[0] + DEVIATION_FACTOR * estimate[1]
        return min(
            4 * self._max_timeout_seconds,
            max(self._max_timeout_seconds, adaptive_seconds),
        )
