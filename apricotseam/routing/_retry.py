"""Retry budget of each pool, and backoff with jitter."""

import collections
import random
import threading

# Retries that a pool's budget gains with each success.
RETRIES_PER_SUCCESS = 0.1
INITIAL_RETRIES = 3.0
MAX_SAVED_RETRIES = 20.0
# Attempts of one request, including the first.
MAX_ATTEMPTS = 3
MAX_POOLS = 256
# Longest delay before the second attempt; it doubles with each further one.
BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5


class RetryBudget:
    """Budget of one pool's retries, a fraction of its successes.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> [budget.spend() for _ in range(4)]
    [True, True, True, False]
    >>> for _ in range(10):
    ...     budget.earn()
    >>> budget.spend()
    True
    """

    __slots__ = ("_remaining",)

    def __init__(self):
        self._remaining = INITIAL_RETRIES

    @property
    def remaining(self):
        """Number of retries left, including a fraction of one."""
        return self._remaining

    def earn(self):
        """Add a success to the budget."""
        self._remaining = min(
            MAX_SAVED_RETRIES, self._remaining + RETRIES_PER_SUCCESS
        )

    def spend(self):
        """Take one retry; return whether there was one left."""
        # Rounding makes ten additions of 0.1 sum up to less than 1.
        if self._remaining < 1.0 - 1e-9:
            return False
        self._remaining -= 1.0
        return True


class RetryPolicy:
    """Decides whether and when a request may be retried.

    Parameters
    ----------
    clock : Clock
        Source of time.
    generator : random.Random, optional
        Source of jitter.
    on_retry : callable, optional
        ``on_retry(pool, is_granted)`` is called for each decision.
    """

    def __init__(self, clock, generator=None, on_retry=None):
        self._clock = clock
        self._random = generator or random.Random()
        self._on_retry = on_retry or (lambda pool, is_granted: None)
        self._lock = threading.Lock()
        self._budgets = collections.OrderedDict()

    def succeeded(self, pool):
        """Record a success in a pool."""
        with self._lock:
            self._budget(pool).earn()

    def next_attempt_time(self, pool, attempts, deadline):
        """Return the monotonic time of the next attempt in seconds, or None.

        Parameters
        ----------
        pool : tuple of str
            Scope and group.
        attempts : int
            Attempts made so far.
        deadline : float
            Monotonic deadline of the request, in seconds.
        """
        start = self._jittered_start(attempts)
        granted = False
        if attempts < MAX_ATTEMPTS and start < deadline:
            with self._lock:
                granted = self._budget(pool).spend()
        self._on_retry(pool, granted)
        return start if granted else None

    def _jittered_start(self, attempts):
        """Return a random start time within the backoff delay.

        The longest delay doubles with each attempt.
        """
        max_delay = BACKOFF_SECONDS * 2 ** min(attempts - 1, 10)
        max_delay = min(max_delay, MAX_BACKOFF_SECONDS)
        return self._clock.monotonic() + self._random.uniform(0, max_delay)

    def _budget(self, pool):
        budget = self._budgets.get(pool)
        if budget is None:
            budget = self._budgets[pool] = RetryBudget()
            if len(self._budgets) > MAX_POOLS:
                self._budgets.popitem(last=False)
        return budget
