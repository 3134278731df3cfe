"""Service rate of each rank of a pool, for the estimate of waits."""

import collections

WINDOW_SECONDS = 0.5
AVERAGE_SHARE = 0.5


class ServiceRates:
    """Cost a second that starts in each rank while requests wait.

    Parameters
    ----------
    now : float
        Monotonic time.

    Examples
    --------
    >>> rates = ServiceRates(0.0)
    >>> rates.started(1, 50, True, 0.2)
    >>> rates.started(1, 50, True, 0.6)
    >>> round(rates.wait(1, 50))
    0
    """

    __slots__ = ("_began", "_costs", "_deadline", "_rates", "_was_waiting")

    def __init__(self, now):
        self._rates = {}
        self._begin(now)

    def started(self, rank, cost, is_waiting, now):
        """Note that an entry started and whether others wait."""
        self._costs[rank] += cost
        if is_waiting:
            self._was_waiting = True
        if now >= self._deadline:
            self._end(now)

    def wait(self, rank, cost):
        """Return the seconds until a cost ahead has started, or 0.

        A rank may take over what lower ranks are served at.
        """
        rate = sum(r for other, r in self._rates.items() if other >= rank)
        if not rate:
            rate = sum(self._rates.values())
        return cost / rate if rate > 0 else 0.0

    def _end(self, now):
        if self._was_waiting:
            seconds = now - self._began
            for rank, cost in self._costs.items():
                before = self._rates.get(rank, cost / seconds)
                change = cost / seconds - before
                self._rates[rank] = before + AVERAGE_SHARE * change
        self._begin(now)

    def _begin(self, now):
        self._began = now
        self._deadline = now + WINDOW_SECONDS
        self._costs = collections.Counter()
        self._was_waiting = False
