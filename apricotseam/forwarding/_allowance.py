"""This host's share of the repeats that all hosts may send."""

import collections

# What is kept back for requests that peers count differently.
USED_SHARE = 0.6


class RetryAllowance:
    """Counts requests and repeats to each service in a sliding window.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request, over all hosts.
    slack : float
        Repeats allowed beside these, over all hosts.
    window_seconds : float
        Length of the window.
    hosts : callable
        Returns the number of live hosts.

    Examples
    --------
    >>> allowance = RetryAllowance(0.0, 4.0, 10.0, lambda: 2)
    >>> [allowance.spend("a", 0.0) for _ in range(2)]
    [True, False]
    >>> allowance.spend("a", 11.0)
    True
    """

    def __init__(self, ratio, slack, window_seconds, hosts):
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._hosts = hosts
        self._requests = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)

    def count(self, service, now):
        """Take a request for a service, at a monotonic time."""
        self._add(self._requests[service], now)

    def spend(self, service, now):
        """Take one repeat; return whether there was one."""
        requests = self._recent(self._requests[service], now)
        repeats = self._recent(self._repeats[service], now)
        share = self._slack / max(1, self._hosts())
        allowed = USED_SHARE * (self._ratio * requests + share)
        if repeats + 1 > allowed:
            return False
        self._add(self._repeats[service], now)
        return True

    def _add(self, times, now):
        times.append(now + self._window_seconds)

    def _recent(self, times, now):
        while times and times[0] <= now:
            times.popleft()
        return len(times)
