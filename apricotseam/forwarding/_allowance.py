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


_NOTHING = RepeatCount()


class _Peer:
    """What a peer told last, and what it may have sent since."""

    __slots__ = ("assumed", "counts", "heard_at")

    def __init__(self, counts, heard_at):
        self.counts = counts
        self.heard_at = heard_at
        # Repeats by service that it has not told of.
        self.assumed = collections.Counter()


class _Quota:
    """Repeats that this host may send until the next exchange."""

    __slots__ = ("ends_at", "left", "spent")

    def __init__(self, left, ends_at):
        self.left = left
        self.spent = 0
        self.ends_at = ends_at


class RetryAllowance:
    """Counts requests and repeats to each service in a sliding window.

    What the hosts in contact have left is shared out evenly among them at
    each exchange of counts, so that all together stay within it also when
    they repeat at the same moment. After an exchange in which this host
    repeated, peers that were not heard count as if they had done the same.

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
        self._exchanged_at = float("-inf")

    def count(self, service, now):
        """Take a request for a service, at a monotonic time."""
        self._requests[service].append(now + self._window_seconds)

    def spend(self, service, now):
        """Take one repeat; return whether there was one."""
        quota = self._quotas.get(service)
        if quota is None or now >= quota.ends_at:
            left = self._share(service, now)
            quota = _Quota(left, now + self._window_seconds)
            self._quotas[service] = quota
        if quota.left < 1:
            return False
        quota.left -= 1
        quota.spent += 1
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
        self._assume_repeats()
        self._quotas.clear()
        self._exchanged_at = now
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
        self._peers[host] = _Peer(counts, now)

    def _assume_repeats(self):
        """Take that peers which were not heard used their share as well."""
        for service, quota in self._quotas.items():
            if not quota.spent:
                continue
            for peer in self._peers.values():
                if peer.heard_at <= self._exchanged_at:
                    peer.assumed[service] += quota.spent + quota.left

    def _share(self, service, now):
        """Return this host's share of what the hosts in contact have left.

        Hosts out of contact may be using their share at the same time:
        neither their part of the slack nor their requests count here.
        """
        requests = self._recent(self._requests[service], now)
        repeats = self._recent(self._repeats[service], now)
        heard = 1
        for host, peer in list(self._peers.items()):
            silent_seconds = now - peer.heard_at
            if silent_seconds >= self._window_seconds:
                del self._peers[host]
                continue
            count = peer.counts.get(service, _NOTHING)
            repeats += count.repeats + peer.assumed[service]
            if silent_seconds < SILENT_SECONDS:
                heard += 1
                requests += count.requests
        hosts = max(heard, self._hosts())
        allowed = self._ratio * requests + self._slack * heard / hosts
        return (USED_SHARE * allowed - repeats) / heard

    def _recent(self, times, now):
        while times and times[0] <= now:
            times.popleft()
        return len(times)
