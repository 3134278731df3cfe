"""Retries of idempotent calls to the key-value service."""

import random
import time

from apricotseam.clock import SystemClock
from apricotseam.errors import AnswerLostError
from apricotseam.errors import ServiceUnavailableError

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 1.0


class Backoff:
    """Exponential backoff by a factor of two, with full jitter.

    Parameters
    ----------
    initial, maximum : float
        Upper bounds in seconds of the first delay and of any delay. Each
        delay is drawn uniformly between 0 and the current upper bound.
    generator : random.Random
        Source of random numbers.

    Examples
    --------
    >>> import random
    >>> backoff = Backoff(1.0, 4.0, random.Random(1))
    >>> all(0 <= backoff.next() <= 4.0 for _ in range(10))
    True
    """

    __slots__ = ("_initial", "_upper_bound", "_maximum", "_random")

    def __init__(self, initial, maximum, generator):
        self._initial = initial
        self._maximum = maximum
        self._random = generator
        self._upper_bound = initial

    def reset(self):
        """Return to the initial upper bound, after a call succeeded."""
        self._upper_bound = self._initial

    def next(self):
        """Return the next delay in seconds."""
        delay = self._random.uniform(0, self._upper_bound)
        self._upper_bound = min(self._maximum, self._upper_bound * 2)
        return delay


class Retry:
    """Retries calls with backoff until a deadline.

    Parameters
    ----------
    clock : Clock, optional
        Source of time.
    sleep : callable, optional
        Called as ``sleep(seconds)`` to wait.
    generator : random.Random, optional
        Source of random numbers.
    """

    def __init__(self, clock=None, sleep=time.sleep, generator=None):
        self.clock = clock or SystemClock()
        self._sleep = sleep
        self._random = generator or random.Random()

    def call(self, deadline, function, *arguments):
        """Call an idempotent function until it succeeds.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds after which no retry starts.
        function : callable
            The function to call.
        *arguments
            Its arguments.

        Returns
        -------
        object
            What the function returned.

        Raises
        ------
        AnswerLostError, ServiceUnavailableError
            The last error, if the next retry would start after the
            deadline.
        """
        backoff = self.backoff()
        while True:
            try:
                return function(*arguments)
            except (AnswerLostError, ServiceUnavailableError):
                if not self.wait(backoff, deadline):
                    raise

    def backoff(self):
        """Return a new `Backoff` for a series of retries."""
        return Backoff(FIRST_DELAY_SECONDS, MAX_DELAY_SECONDS, self._random)

    def wait(self, backoff, deadline):
        """Sleep for the next delay.

        Returns
        -------
        bool
            True after the delay; False, without sleeping, if the delay
            would reach the deadline.
        """
        delay = backoff.next()
        if self.clock.monotonic() + delay >= deadline:
            return False
        self._sleep(delay)
        return True
