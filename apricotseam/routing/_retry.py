"""Retry budget of each pool and jittered starts of further attempts."""

import collections
import random
import threading

RETRY_SHARE = 0.1
RETRY_RESERVE = 3.0
MAX_BUDGET = 20.0
MAX_ATTEMPTS = 3
MAX_POOLS = 256
BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5


class RetryBudget:
    """Retries that one pool may still spend: a share of its successes.

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

    __slots__ = ("_left",)

    def __init__(self):
        self._left = RETRY_RESERVE

    @property
    def left(self):
        """Retries that may be spent, with a fraction."""
        return self._left

    def earn(self):
        """Note a success."""
        self._left = min(MAX_BUDGET, self._left + RETRY_SHARE)

    def spend(self):
        """Take one retry; return whether there was one."""
        # Ten earnings of a tenth fall short of 1 by rounding.
        if self._left < 1.0 - 1e-9:
            return False
        self._left -= 1.0
        return True


class RetryPolicy:
    """Says whether and when a request may be tried again.

    Parameters
    ----------
    clock : Clock
        Source of time.
    generator : random.Random, optional
        Source of jitter.
    on_retry : callable, optional
        ``on_retry(pool, is_granted)`` is called for each question.
    """

    def __init__(self, clock, generator=None, on_retry=None):
        self._clock = clock
        self._random = generator or random.Random()
        self._on_retry = on_retry or (lambda pool, is_granted: None)
        self._lock = threading.Lock()
        self._budgets = collections.OrderedDict()

    def succeeded(self, pool):
        """Note a success in a pool."""
        with self._lock:
            self._budget(pool).earn()

    def next_start(self, pool, attempts, deadline):
        """Return when the next attempt may start, or None.

        Parameters
        ----------
        pool : tuple of str
            Scope and group.
        attempts : int
            Attempts made so far.
        deadline : float
            Monotonic deadline of the request.
        """
        start = self._start(attempts)
        granted = False
        if attempts < MAX_ATTEMPTS and start < deadline:
            with self._lock:
                granted = self._budget(pool).spend()
        self._on_retry(pool, granted)
        return start if granted else None

    def _start(self, attempts):
        longest = BACKOFF_SECONDS * 2 ** min(attempts - 1, 10)
        longest = min(longest, MAX_BACKOFF_SECONDS)
        return self._clock.monotonic() + self._random.uniform(0, longest)

    def _budget(self, pool):
        budget = self._budgets.get(pool)
        if budget is None:
            budget = self._budgets[pool] = RetryBudget()
            if len(self._budgets) > MAX_POOLS:
                self._budgets.popitem(last=False)
        return budget
