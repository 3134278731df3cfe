"""Clock interface with a system and a manual implementation."""

import abc
import time


class Clock(abc.ABC):
    """Source of time in seconds."""

    @abc.abstractmethod
    def monotonic(self):
        """Return seconds that never go back, for deadlines in a process."""

    @abc.abstractmethod
    def wall(self):
        """Return seconds since 1970 UTC, for deadlines told to others."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self):
        """Return the wall-clock time in seconds since 1970 UTC."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when told to.

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
        """Move the clock forward by a number of seconds."""
        self._now += seconds

    def monotonic(self):
        """Return the set time in seconds."""
        return self._now

    def wall(self):
        """Return the set time in seconds."""
        return self._now
