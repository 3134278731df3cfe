"""Rate limit on loads of weights that one controller starts."""

SECONDS_PER_MINUTE = 60.0
# Lower bound of the bucket's capacity; below 1, no whole load could start.
MIN_BURST_LOADS = 1.0


class LoadRateLimiter:
    """Token bucket of loads; starts empty.

    A controller that takes over starts with an empty bucket, so that its
    loads and those of its predecessor stay within the rate although no
    state is handed over.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> limiter = LoadRateLimiter(0.0)
    >>> limiter.available(60.0, loads_per_minute=6.0)
    1
    >>> limiter.spend(1)
    >>> limiter.available(65.0, loads_per_minute=6.0)
    0
    """

    __slots__ = ("_tokens", "_refilled_at")

    def __init__(self, now):
        self._tokens = 0.0
        self._refilled_at = now

    def available(self, now, loads_per_minute):
        """Return the number of loads that may start at a monotonic time."""
        seconds = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refill = seconds * loads_per_minute / SECONDS_PER_MINUTE
        burst = max(MIN_BURST_LOADS, loads_per_minute / SECONDS_PER_MINUTE)
        self._tokens = min(burst, self._tokens + refill)
        # The small term absorbs rounding errors just below a whole load.
        return int(self._tokens + 1e-9)

    def spend(self, loads):
        """Deduct loads that were started."""
        self._tokens -= loads
