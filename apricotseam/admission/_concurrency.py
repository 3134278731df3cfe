"""Adaptive bound on the requests in progress of one pool."""

MIN_LIMIT = 4.0
DEFAULT_LIMIT = 32.0
MAX_LIMIT = 100_000.0
EPOCH_SECONDS = 0.25
MAX_RATIO = 1.0
MAX_UNSTATED_RATIO = 4.0
MIN_OVERHEAD_SECONDS = 0.002
MAX_OVERHEAD_SECONDS = 0.005
LOWEST_SHARE = 0.25
MIN_BACKOFF = 0.9
GROWTH_SHARE = 0.1
BASELINE_DRIFT = 1.01


class AdaptiveLimit:
    """Raises the bound while calls are fast, lowers it when they queue.

    Calls are compared with the time they take without queueing: what the
    target reports, else the shortest seen lately. The bound grows only
    while it is used and never leaves the range that capacity gives.

    Parameters
    ----------
    now : float
        Monotonic time.

    Examples
    --------
    >>> limit = AdaptiveLimit(0.0)
    >>> limit.value
    32
    >>> for tick in range(10):
    ...     limit.observed(0.5, 0.1, 30, tick * 0.1)
    >>> limit.value < 32
    True
    """

    __slots__ = (
        "_count",
        "_epoch_deadline",
        "_growth",
        "_highest",
        "_is_used",
        "_lowest",
        "_is_sized",
        "_shortest",
        "_sum",
        "_typical",
        "_value",
    )

    def __init__(self, now):
        self._value = DEFAULT_LIMIT
        self._lowest = MIN_LIMIT
        self._highest = MAX_LIMIT
        self._growth = 1.0
        self._is_sized = False
        self._typical = None
        self._begin_epoch(now)

    @property
    def value(self):
        """Requests that may be in progress."""
        return int(self._value)

    @property
    def highest(self):
        """Requests that the pool can carry at all."""
        return int(self._highest)

    def resize(self, streams, hosts):
        """Take the pool's capacity in streams and the number of hosts."""
        share = streams / max(1, hosts)
        self._lowest = max(MIN_LIMIT, LOWEST_SHARE * share)
        self._highest = max(self._lowest, streams)
        self._growth = max(1.0, GROWTH_SHARE * share)
        if not self._is_sized:
            self._is_sized = True
            self._value = share
        self._value = min(max(self._value, self._lowest), self._highest)

    def used(self, in_progress):
        """Note how many requests are in progress."""
        if in_progress >= self._value - 1:
            self._is_used = True

    def observed(self, seconds, expected, in_progress, now):
        """Note how long one call took.

        Parameters
        ----------
        seconds : float
            Its time.
        expected : float or None
            Its time without queueing, if the target states it.
        in_progress : int
            Requests in progress.
        now : float
            Monotonic time.
        """
        self.used(in_progress)
        self._shortest = min(self._shortest, seconds)
        base = expected or self._typical or seconds
        allowed = MAX_RATIO if expected else MAX_UNSTATED_RATIO
        over = max(0.0, seconds - self._overhead())
        self._sum += over / max(base * allowed, 1e-6)
        self._count += 1
        if now >= self._epoch_deadline:
            self._end_epoch(now)

    def _overhead(self):
        """Return the time of a call beside the engine's own step.

        The shortest calls join a batch that is about to run, so that
        little but this time is left of them.
        """
        shortest = self._typical or 0.0
        return min(max(shortest, MIN_OVERHEAD_SECONDS), MAX_OVERHEAD_SECONDS)

    def _end_epoch(self, now):
        ratio = self._sum / self._count
        if ratio > 1.0:
            self._value *= max(MIN_BACKOFF, 1.0 / ratio)
        elif self._is_used:
            self._value += self._growth
        self._value = min(max(self._value, self._lowest), self._highest)
        drifted = (self._typical or self._shortest) * BASELINE_DRIFT
        self._typical = min(drifted, self._shortest)
        self._begin_epoch(now)

    def _begin_epoch(self, now):
        self._epoch_deadline = now + EPOCH_SECONDS
        self._sum = 0.0
        self._count = 0
        self._is_used = False
        self._shortest = float("inf")
