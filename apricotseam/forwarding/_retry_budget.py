"""Retry budget for each service, shared by all hosts."""

import collections

import msgspec

# Fraction of the budget that is handed out; the rest covers retries that
# peers have sent but not yet reported.
USABLE_FRACTION = 0.85
# Fraction of that which retries of attempts that may still succeed leave over.
KEPT_FRACTION = 0.5
# A peer that has sent no counts for this long may be partitioned away.
PEER_TIMEOUT_SECONDS = 1.2


class RepeatCount(msgspec.Struct, array_like=True):
    """Requests and retries of one host to a service within the window.

    ``repeats`` is the number of retries.
    """

    requests: int = 0
    repeats: int = 0


_NO_COUNT = RepeatCount()


class _Peer:
    """Last counts reported of peers, and the retries assumed since then.

    ``hosts`` is the number of hosts that the counts cover.
    """

    __slots__ = ("assumed_repeats", "counts", "hosts", "reported_at")

    def __init__(self, counts, hosts, reported_at):
        self.counts = counts
        self.hosts = hosts
        self.reported_at = reported_at
        # Retries by service that it may have sent but has not reported.
        self.assumed_repeats = collections.Counter()


class _Quota:
    """Retries that this host may send until the next exchange of counts.

    ``kept`` of them are for attempts that have failed. ``ends_at`` is the
    monotonic time in seconds at which it lapses if no exchange takes place
    before.
    """

    __slots__ = ("ends_at", "kept", "remaining", "spent")

    def __init__(self, remaining, kept, ends_at):
        self.remaining = remaining
        self.kept = kept
        self.spent = 0
        self.ends_at = ends_at


class HostRetryBudget:
    """Limits the retries to each service within a sliding window.

    At each exchange of counts, the remaining budget of the hosts that can
    reach each other is split evenly among them, so that together they stay
    within it even if all retry at the same moment. After an interval in
    which this host retried, peers that did not report are assumed to have
    used up a share of the same size. Times are monotonic, in seconds.

    Parameters
    ----------
    ratio : float
        Retries allowed per request, summed over all hosts.
    slack : float
        Additional retries allowed per window, summed over all hosts.
    window_seconds : float
        Length of the sliding window in seconds.
    hosts : callable
        Returns the number of hosts.

    Examples
    --------
    >>> budget = HostRetryBudget(0.0, 4.8, 10.0, lambda: 2)
    >>> budget.update_peer("b", {}, 0.0)
    >>> [budget.try_acquire("a", 0.0) for _ in range(3)]
    [True, True, False]
    >>> budget.try_acquire("a", 11.0)
    True
    """

    def __init__(self, ratio, slack, window_seconds, hosts):
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._host_count = hosts
        self._requests = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)
        self._peers = {}
        self._quotas = {}
        self._exchanged_at = float("-inf")

    def count(self, service, now):
        """Count a request for a service."""
        self._requests[service].append(now + self._window_seconds)

    def try_acquire(self, service, now):
        """Take one retry from the budget; return whether any was left."""
        return self._try_acquire(service, now, is_early=False)

    def try_acquire_early(self, service, now):
        """Take one retry for an attempt that may still succeed.

        Such an attempt waits for a silent or slow target. Part of the budget
        is kept from them, so that many such targets do not leave attempts
        that have failed without a retry.
        """
        return self._try_acquire(service, now, is_early=True)

    def _try_acquire(self, service, now, is_early):
        quota = self._quotas.get(service)
        if quota is None or now >= quota.ends_at:
            quota = self._new_quota(service, now)
            self._quotas[service] = quota
        kept = quota.kept if is_early else 0.0
        if quota.remaining - kept < 1:
            return False
        quota.remaining -= 1
        quota.spent += 1
        self._repeats[service].append(now + self._window_seconds)
        return True

    def counts(self, now):
        """Return `own_counts` and start a new quota interval."""
        self._add_assumed_repeats()
        self._quotas.clear()
        self._exchanged_at = now
        return self.own_counts(now)

    def own_counts(self, now):
        """Return the counts of this host.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to RepeatCount
            Requests and retries within the window, by service.
        """
        return {
            service: RepeatCount(
                self._recent(self._requests[service], now),
                self._recent(self._repeats[service], now),
            )
            for service in list(self._requests)
        }

    def update_peer(self, host, counts, now, hosts=1):
        """Store the counts of one peer, or the sums of several.

        Parameters
        ----------
        host : str
            Name of the peer's process, or of the group.
        counts : dict of str to RepeatCount
            Counts of the peer, by service.
        now : float
            Monotonic time in seconds.
        hosts : int
            Number of hosts that the counts cover.
        """
        self._peers[host] = _Peer(counts, hosts, now)

    def requests_per_second(self, service, now):
        """Return the rate of requests for a service, of all hosts.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Monotonic time in seconds.
        """
        requests = self._recent(self._requests[service], now)
        for peer in self._peers.values():
            if now - peer.reported_at < self._window_seconds:
                requests += peer.counts.get(service, _NO_COUNT).requests
        return requests / self._window_seconds

    def forget_peers(self):
        """Discard the counts of all peers."""
        self._peers.clear()

    def _add_assumed_repeats(self):
        """Assume that peers which did not report used up their share.

        A share has the size of the quota of this host.
        """
        for service, quota in self._quotas.items():
            if not quota.spent:
                continue
            for peer in self._peers.values():
                if peer.reported_at <= self._exchanged_at:
                    peer.assumed_repeats[service] += peer.hosts * (
                        quota.spent + quota.remaining
                    )

    def _new_quota(self, service, now):
        """Return the retries that are this host's share.

        The remaining budget covers the hosts that can reach each other, each
        of which gets an equal share. That is negative if overspent.
        Unreachable hosts may be spending their own share at the same time, so
        neither their part of the slack nor their requests are included.
        """
        requests = self._recent(self._requests[service], now)
        repeats = self._recent(self._repeats[service], now)
        reachable_hosts = 1
        for host, peer in list(self._peers.items()):
            seconds_since_report = now - peer.reported_at
            if seconds_since_report >= self._window_seconds:
                del self._peers[host]
                continue
            peer_count = peer.counts.get(service, _NO_COUNT)
            repeats += peer_count.repeats + peer.assumed_repeats[service]
            if seconds_since_report < PEER_TIMEOUT_SECONDS:
                reachable_hosts += peer.hosts
                requests += peer_count.requests
        hosts = max(reachable_hosts, self._host_count())
        allowed = (
            self._ratio * requests + self._slack * reachable_hosts / hosts
        )
        usable = USABLE_FRACTION * allowed
        return _Quota(
            (usable - repeats) / reachable_hosts,
            KEPT_FRACTION * usable / reachable_hosts,
            now + self._window_seconds,
        )

    def _recent(self, times, now):
        while times and times[0] <= now:
            times.popleft()
        return len(times)
