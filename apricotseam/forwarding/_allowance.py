"""This host's share of the repeats that all hosts may send."""

import collections

import msgspec

# What is kept back for repeats that peers have sent and not told yet.
USED_SHARE = 0.85
# A peer that was not heard for this long may be cut off.
SILENT_SECONDS = 1.2


class RepeatCount(msgspec.Struct, array_like=True):
    """Requests and repeats of one host to a service in the window."""

    requests: int = 0
    repeats: int = 0


class RetryAllowance:
    """Counts requests and repeats to each service in a sliding window.

    What is left over all hosts is shared out evenly at each exchange of
    counts, so that all together stay within it also when they repeat at
    the same moment.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request, over all hosts.
    slack : float
        Repeats allowed beside these, over all hosts.
    window_seconds : float
        Length of the window.
    hosts : callable
        Returns the number of hosts.

    Examples
    --------
    >>> allowance = RetryAllowance(0.0, 4.8, 10.0, lambda: 2)
    >>> allowance.take_peer("b", {}, 0.0)
    >>> [allowance.spend("a", 0.0) for _ in range(3)]
    [True, True, False]
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
        self._peers = {}
        self._quotas = {}

    def count(self, service, now):
        """Take a request for a service, at a monotonic time."""
        self._requests[service].append(now + self._window_seconds)

    def spend(self, service, now):
        """Take one repeat; return whether there was one."""
        quota, until = self._quotas.get(service, (0.0, 0.0))
        if now >= until:
            quota = self._quota(service, now)
            until = now + self._window_seconds
        if quota < 1:
            self._quotas[service] = (quota, until)
            return False
        self._quotas[service] = (quota - 1, until)
        self._repeats[service].append(now + self._window_seconds)
        return True

    def counts(self, now):
        """Return what this host counted, by service, and share out anew.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to RepeatCount
        """
        self._quotas.clear()
        return {
            service: RepeatCount(
                self._recent(self._requests[service], now),
                self._recent(self._repeats[service], now),
            )
            for service in list(self._requests)
        }

    def take_peer(self, host, counts, now):
        """Take what a peer counted.

        Parameters
        ----------
        host : str
            Name of the peer's process.
        counts : dict of str to RepeatCount
            Its counts, by service.
        now : float
            Monotonic time in seconds.
        """
        self._peers[host] = (counts, now + self._window_seconds)

    def _quota(self, service, now):
        """Return this host's share of what is left over all hosts."""
        requests = self._recent(self._requests[service], now)
        repeats = self._recent(self._repeats[service], now)
        for host, (counts, until) in list(self._peers.items()):
            if now >= until:
                del self._peers[host]
            elif service in counts:
                requests += counts[service].requests
                repeats += counts[service].repeats
        hosts = max(1, self._hosts())
        heard = 1 + sum(
            now < until - self._window_seconds + SILENT_SECONDS
            for _, until in self._peers.values()
        )
        # Hosts out of contact may be using their share at the same time.
        slack = self._slack * min(1.0, heard / hosts)
        allowed = USED_SHARE * (self._ratio * requests + slack)
        return (allowed - repeats) / hosts

    def _recent(self, times, now):
        while times and times[0] <= now:
            times.popleft()
        return len(times)
