"""Loads that one orderer may start, within the weight store's limit."""

SECONDS_PER_MINUTE = 60.0
MAX_SAVED_LOADS = 1.0


class LoadBudget:
    """Loads that have become due at a rate; starts with none.

    An orderer that takes over starts empty, so that the loads of both
    stay within the rate without anything handed over.

    Examples
    --------
    >>> budget = LoadBudget(0.0)
    >>> budget.available(60.0, loads_per_minute=6.0)
    1
    >>> budget.spend(1)
    >>> budget.available(65.0, loads_per_minute=6.0)
    0
    """

    __slots__ = ("_left", "_since")

    def __init__(self, now):
        self._left = 0.0
        self._since = now

    def available(self, now, loads_per_minute):
        """Return the whole loads that may start at a monotonic time."""
        seconds = max(0.0, now - self._since)
        self._since = now
        earned = seconds * loads_per_minute / SECONDS_PER_MINUTE
        most = max(MAX_SAVED_LOADS, loads_per_minute / SECONDS_PER_MINUTE)
        self._left = min(most, self._left + earned)
        return int(self._left + 1e-9)

    def spend(self, loads):
        """Take loads that were started."""
        self._left -= loads
