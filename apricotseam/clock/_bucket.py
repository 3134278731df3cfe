"""Token bucket with an adjustable rate."""

BURST_SECONDS = 1.0


class TokenBucket:
    """Limits cost per second, with a burst of `BURST_SECONDS`.

    A request passes whenever the level is positive, even if it costs more
    than the level, so a request larger than the burst can still pass. The
    level then goes negative, and the rate holds on average.

    Parameters
    ----------
    rate : float
        Cost added per second.
    now : float
        Monotonic time in seconds.
    is_empty : bool
        Whether the bucket starts without the burst.

    Examples
    --------
    >>> bucket = TokenBucket(2.0, 0.0)
    >>> [bucket.take(1, 0.0) for _ in range(3)]
    [True, True, False]
    >>> bucket.take(1, 0.5)
    True
    """

    __slots__ = ("_level", "_rate", "_updated")

    def __init__(self, rate, now, is_empty=False):
        self._rate = rate
        self._level = 0.0 if is_empty else rate * BURST_SECONDS
        self._updated = now

    def set_rate(self, rate, now):
        """Change the rate without filling the bucket to the new burst."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, rate * BURST_SECONDS)

    def take(self, cost, now):
        """Take a cost if the level is positive; return whether it was."""
        self._refill(now)
        if self._level <= 0:
            return False
        self._level -= cost
        return True

    def refund(self, cost):
        """Return cost that was not used to the bucket."""
        self._level = min(self._level + cost, self._rate * BURST_SECONDS)

    def seconds_until_available(self, now):
        """Return the seconds until the level is positive."""
        self._refill(now)
        if self._level > 0:
            return 0.0
        if self._rate <= 0:
            return float("inf")
        return -self._level / self._rate

    def _refill(self, now):
        gained = max(0.0, now - self._updated) * self._rate
        self._level = min(self._level + gained, self._rate * BURST_SECONDS)
        self._updated = max(now, self._updated)
