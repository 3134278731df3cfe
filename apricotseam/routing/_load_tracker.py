"""Counts this host's work at each target, to correct old load reports."""

import collections

MAX_TARGETS = 4096
# Changes to a target's load are summed in time buckets. The maximum number
# of buckets for each target is also that of its reservations.
MAX_BUCKETS = 128
BUCKET_SECONDS = 0.05
RESERVATION_SECONDS = 1.0


class _TargetCounts:
    """Work of this host at one target.

    ``running`` is the number of streams or calls in progress. ``changes``
    holds pairs of the start of a time bucket and the number of streams or
    calls that began less those that ended in it. ``mean_seconds`` is the
    moving average of the duration of calls, None before the first.
    """

    __slots__ = ("changes", "reservation_deadlines", "running", "mean_seconds")

    def __init__(self):
        self.running = 0
        self.reservation_deadlines = collections.deque(maxlen=MAX_BUCKETS)
        self.changes = collections.deque(maxlen=MAX_BUCKETS)
        self.mean_seconds = None

    def add_change(self, now, amount):
        """Record that work began (1) or ended (-1)."""
        self.running = max(0, self.running + amount)
        bucket = now - now % BUCKET_SECONDS
        if self.changes and self.changes[-1][0] == bucket:
            bucket, before = self.changes.pop()
            amount += before
        self.changes.append((bucket, amount))

    def net_since(self, time):
        """Return the number of starts less that of ends since a time."""
        total = 0
        for bucket, amount in reversed(self.changes):
            if bucket < time:
                break
            total += amount
        return total

    def count_reservations(self, now):
        """Return the number of unused reservations that have not expired."""
        while (
            self.reservation_deadlines and self.reservation_deadlines[0] <= now
        ):
            self.reservation_deadlines.popleft()
        return len(self.reservation_deadlines)


class LoadTracker:
    """Counts the work that this host runs at each target, by address.

    A target's report is out of date by the time it is used. The corrected
    load is the reported load plus the work that this host has started
    there since, less the work that has ended. It is never below what this
    host runs there now.

    Examples
    --------
    >>> tracker = LoadTracker()
    >>> tracker.started("127.0.0.1:1", 10.0)
    >>> tracker.corrected_load("127.0.0.1:1", 4, 9.0, 10.0)
    5
    >>> tracker.corrected_load("127.0.0.1:1", 4, 11.0, 11.0)
    4
    """

    __slots__ = ("_counts_by_address",)

    def __init__(self):
        self._counts_by_address = collections.OrderedDict()

    def reserve(self, address, now):
        """Record that a target was chosen and that its work starts soon.

        The reservation counts as load until the work starts or
        `RESERVATION_SECONDS` have passed.
        """
        counts = self._counts_of(address)
        counts.reservation_deadlines.append(now + RESERVATION_SECONDS)

    def started(self, address, now):
        """Record that work started; it uses up a reservation, if any."""
        counts = self._counts_of(address)
        if counts.count_reservations(now):
            counts.reservation_deadlines.popleft()
        counts.add_change(now, 1)

    def ended(self, address, now):
        """Record that work ended."""
        self._counts_of(address).add_change(now, -1)

    def record_duration(self, address, seconds, weight=0.2):
        """Add the duration of a call to the exponential moving average.

        Parameters
        ----------
        address : str
            The target.
        seconds : float
            Duration of the call.
        weight : float
            Weight of this call in the average.
        """
        counts = self._counts_of(address)
        before = counts.mean_seconds
        if before is None:
            counts.mean_seconds = seconds
        else:
            counts.mean_seconds = before + weight * (seconds - before)

    def running(self, address):
        """Return the number of streams or calls of this host at a target."""
        counts = self._counts_by_address.get(address)
        return counts.running if counts else 0

    def mean_seconds(self, address):
        """Return the average duration of a call in seconds, or None."""
        counts = self._counts_by_address.get(address)
        return counts.mean_seconds if counts else None

    def corrected_load(self, address, reported, reported_at, now):
        """Return the corrected load of a target, in streams.

        Parameters
        ----------
        address : str
            The target.
        reported : int
            Load that it reported, in streams.
        reported_at : float
            Monotonic time of the report, in seconds.
        now : float
            Monotonic time in seconds.
        """
        counts = self._counts_by_address.get(address)
        if counts is None:
            return reported
        corrected = reported + counts.net_since(reported_at)
        return max(corrected, counts.running) + counts.count_reservations(now)

    def own_load(self, address, now):
        """Return this host's streams at a target, with reservations."""
        counts = self._counts_by_address.get(address)
        return counts.running + counts.count_reservations(now) if counts else 0

    def _counts_of(self, address):
        counts = self._counts_by_address.get(address)
        if counts is None:
            counts = self._counts_by_address[address] = _TargetCounts()
            self._evict_idle()
        return counts

    def _evict_idle(self):
        """Evict the oldest targets beyond `MAX_TARGETS`.

        A target with running work is moved to the end instead.
        """
        for _ in range(len(self._counts_by_address) - MAX_TARGETS):
            address, counts = self._counts_by_address.popitem(last=False)
            if counts.running:
                self._counts_by_address[address] = counts
