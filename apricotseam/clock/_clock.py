"""Clock interface with a system and a manual implementation."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def monotonic(self):
        """Return the monotonic time in seconds.

        It never goes back and is meaningful within this process only.
        """

    @abc.abstractmethod
    def wall(self):
        """Return the wall-clock time in seconds since 1970 UTC.

        Used for deadlines that are sent to other processes.
        """


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self):
        """Return the wall-clock time in seconds since 1970 UTC."""
        return time.time()


class ManualClock(Clock):
    """Clock that only advances when `advance` is called.

    Both kinds of time have the same value.

    Parameters
    ----------
    now : float
        Initial time in seconds.

    Examples
    --------
    >>> clock = ManualClock(10.0)
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    12.5
    """

    __slots__ = ("_now",)

    def __init__(self, now=0.0):
        self._now = now

    def advance(self, seconds):
        """Advance the time by a number of seconds."""
        self._now += seconds

    def monotonic(self):
        """Return the current time of this clock in seconds."""
        return self._now

    def wall(self):
        """Return the current time of this clock in seconds."""
        return self._now
