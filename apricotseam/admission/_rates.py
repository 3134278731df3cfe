"""Measured service rate of each rank of a pool, to estimate waits."""

import collections

# Time over which the rates are measured.
WINDOW_SECONDS = 0.5
# Weight of the latest window in the exponential moving average.
SMOOTHING_FACTOR = 0.5


class ServiceRates:
    """Smoothed cost per second that each rank starts under load.

    Windows in which no request waited are ignored, because the rate in
    them is limited by the offered load rather than by the pool.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> rates = ServiceRates(0.0)
    >>> rates.record_start(1, 50, True, 0.2)
    >>> rates.record_start(1, 50, True, 0.6)
    >>> round(rates.estimate_wait(1, 50))
    0
    """

    __slots__ = (
        "_costs",
        "_had_waiting",
        "_rates",
        "_window_deadline",
        "_window_start",
    )

    def __init__(self, now):
        self._rates = {}
        self._begin_window(now)

    def record_start(self, rank, cost, is_waiting, now):
        """Record that an entry started.

        Parameters
        ----------
        rank : int
            Rank of the entry.
        cost : int
            Cost of the entry in tokens.
        is_waiting : bool
            Whether other entries still wait.
        now : float
            Monotonic time in seconds.
        """
        self._costs[rank] += cost
        if is_waiting:
            self._had_waiting = True
        if now >= self._window_deadline:
            self._end_window(now)

    def estimate_wait(self, rank, cost):
        """Return the seconds until the cost ahead of a request has started.

        The rates of less urgent ranks count as well, since a more urgent
        rank can use their capacity. Without a measured rate the result
        is 0.
        """
        rate = sum(r for other, r in self._rates.items() if other >= rank)
        if not rate:
            rate = sum(self._rates.values())
        return cost / rate if rate > 0 else 0.0

    def _end_window(self, now):
        if self._had_waiting:
            seconds = now - self._window_start
            for rank, cost in self._costs.items():
                old_rate = self._rates.get(rank, cost / seconds)
                change = cost / seconds - old_rate
                self._rates[rank] = old_rate + SMOOTHING_FACTOR * change
        self._begin_window(now)

    def _begin_window(self, now):
        self._window_start = now
        self._window_deadline = now + WINDOW_SECONDS
        self._costs = collections.Counter()
        self._had_waiting = False
