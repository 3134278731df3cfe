"""Bounds how often lines about one thing are written."""


class LogPeriods:
    """Tells whether a line of a kind is due, at most one in each period.

    Parameters
    ----------
    period_seconds : float
        Least time between two lines of a kind.
    now : callable
        Returns monotonic time in seconds.

    Examples
    --------
    >>> times = iter([0.0, 0.5, 0.6, 1.0])
    >>> periods = LogPeriods(1.0, lambda: next(times))
    >>> [periods.is_due(kind) for kind in "aaba"]
    [True, False, True, True]
    """

    def __init__(self, period_seconds, now):
        self._period_seconds = period_seconds
        self._now = now
        # Time from which the next line is due, by kind.
        self._due_at = {}

    def is_due(self, kind):
        """Return whether a line may be written now, and count it if so."""
        now = self._now()
        if now < self._due_at.get(kind, now):
            return False
        self._due_at[kind] = now + self._period_seconds
        return True
