"""Token bucket whose rate may change."""

BURST_SECONDS = 1.0


class TokenBucket:
    """Lets cost pass at a rate, with a burst of one second.

    The bucket may go into debt by one request, so that a request larger
    than the burst is not refused for ever; the rate holds over time.

    Parameters
    ----------
    rate : float
        Cost a second.
    now : float
        Monotonic time.

    Examples
    --------
    >>> bucket = TokenBucket(2.0, 0.0)
    >>> [bucket.take(1, 0.0) for _ in range(3)]
    [True, True, False]
    >>> bucket.take(1, 0.5)
    True
    """

    __slots__ = ("_level", "_rate", "_updated")

    def __init__(self, rate, now):
        self._rate = rate
        self._level = rate * BURST_SECONDS
        self._updated = now

    def set_rate(self, rate, now):
        """Change the rate; a higher burst is not filled at once."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, rate * BURST_SECONDS)

    def take(self, cost, now):
        """Take a cost if the bucket is not empty; return whether it was."""
        self._refill(now)
        if self._level <= 0:
            return False
        self._level -= cost
        return True

    def give_back(self, cost):
        """Put back cost that was not used."""
        self._level = min(self._level + cost, self._rate * BURST_SECONDS)

    def wait(self, now):
        """Return the seconds until the bucket is not empty."""
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
