"""Repeats of idempotent calls to the key-value service."""

import random
import time

from apricotseam.clock import SystemClock
from apricotseam.errors import AnswerLostError
from apricotseam.errors import ServiceUnavailableError

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 1.0


class Backoff:
    """Delays that grow by a factor of two, with full jitter.

    Parameters
    ----------
    first, longest : float
        Bounds of the delay in seconds.
    generator : random.Random
        Source of random numbers.

    Examples
    --------
    >>> import random
    >>> backoff = Backoff(1.0, 4.0, random.Random(1))
    >>> all(0 <= backoff.next() <= 4.0 for _ in range(10))
    True
    """

    __slots__ = ("_first", "_limit", "_longest", "_random")

    def __init__(self, first, longest, generator):
        self._first = first
        self._longest = longest
        self._random = generator
        self._limit = first

    def reset(self):
        """Start again with the first delay."""
        self._limit = self._first

    def next(self):
        """Return the next delay in seconds."""
        delay = self._random.uniform(0, self._limit)
        self._limit = min(self._longest, self._limit * 2)
        return delay


class Retry:
    """Repeats calls until a deadline.

    Parameters
    ----------
    clock : Clock, optional
        Source of time.
    sleep : callable, optional
        Waits a number of seconds.
    generator : random.Random, optional
        Source of random numbers.
    """

    def __init__(self, clock=None, sleep=time.sleep, generator=None):
        self.clock = clock or SystemClock()
        self._sleep = sleep
        self._random = generator or random.Random()

    def call(self, deadline, function, *arguments):
        """Call an idempotent function until it returns.

        Raises
        ------
        AnswerLostError, ServiceUnavailableError
            The last error, once the deadline has passed.
        """
        backoff = self.backoff()
        while True:
            try:
                return function(*arguments)
            except (AnswerLostError, ServiceUnavailableError):
                if not self.wait(backoff, deadline):
                    raise

    def backoff(self):
        """Return new delays."""
        return Backoff(FIRST_DELAY_SECONDS, MAX_DELAY_SECONDS, self._random)

    def wait(self, backoff, deadline):
        """Wait the next delay; return False if the deadline is too near."""
        delay = backoff.next()
        if self.clock.monotonic() + delay >= deadline:
            return False
        self._sleep(delay)
        return True
