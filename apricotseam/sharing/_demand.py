"""Demand of classes and customers, counted by each host."""

import collections
import math

import msgspec

# Window over which arrivals count.
WINDOW_SECONDS = 2.0
# Arrivals are discarded in steps of this time.
STEP_SECONDS = 0.2
# Entries of a message.
MAX_ENTRIES = 32
# Customers and classes whose arrivals are counted one by one. Those of others
# are added to the rest of their class.
MAX_COUNTED = 2048
# The counts of a peer are discarded if it sends none for this time, as its
# usage of targets is.
PEER_EXPIRY_SECONDS = 4.0


class DemandCount(msgspec.Struct, array_like=True):
    """Demand of one customer in one class, by one or several hosts.

    ``arrived_ms`` is the start work in milliseconds of the requests that
    arrived within the window, ``active_ms`` that of the requests in
    progress, and ``requests`` their number.
    """

    arrived_ms: float = 0.0
    active_ms: float = 0.0
    requests: int = 0

    @property
    def size(self):
        """By which entries are compared."""
        return self.arrived_ms + self.active_ms

    def add(self, other, sign=1):
        """Add another count (1) or subtract it (-1)."""
        self.arrived_ms = max(0.0, self.arrived_ms + sign * other.arrived_ms)
        self.active_ms = max(0.0, self.active_ms + sign * other.active_ms)
        self.requests = max(0, self.requests + sign * other.requests)

    def is_empty(self):
        """Return whether it counts nothing."""
        return not self.size and not self.requests


class DemandKey(msgspec.Struct, frozen=True):
    """Customer and class whose demand is counted together.

    An empty customer stands for those that are unknown, or that are not
    counted one by one.

    Examples
    --------
    >>> DemandKey.parse(DemandKey("model", 1, "acme").text()).customer
    'acme'
    >>> DemandKey.parse("model") is None
    True
    """

    service: str
    priority: int
    customer: str = ""

    @property
    def rest(self):
        """Key of the class's customers that are not counted one by one."""
        return DemandKey(self.service, self.priority)

    def text(self):
        """Return the key of an entry in a message."""
        return f"{self.priority}\t{self.service}\t{self.customer}"

    @staticmethod
    def parse(text):
        """Return the `DemandKey` of an entry, or None if it is invalid."""
        parts = text.split("\t", 2)
        try:
            return DemandKey(parts[1], int(parts[0]), parts[2])
        except (IndexError, ValueError):
            return None


class DemandMeter:
    """Counts the demand at this host, and keeps the counts of its peers.

    Parameters
    ----------
    now : callable
        Returns monotonic time in seconds.

    Examples
    --------
    >>> meter = DemandMeter(lambda: 0.0)
    >>> meter.record_arrival(DemandKey("model", 1, "acme"), 40.0)
    >>> list(meter.counts().values())
    [DemandCount(arrived_ms=40, active_ms=0, requests=0)]
    """

    def __init__(self, now):
        self._now = now
        # Pairs of the time when a step ends and its arrivals by key.
        self._steps = collections.deque()
        self._arrived = {}
        # The requests in progress bound the number of entries.
        self._active = {}
        # Counts of each peer and the time until which they are valid.
        self._peers = {}
        self._peer_totals = {}

    @property
    def now(self):
        """Monotonic time in seconds."""
        return self._now()

    def record_arrival(self, key, milliseconds):
        """Record a request that arrived.

        Parameters
        ----------
        key : DemandKey
            Its customer and class.
        milliseconds : float
            Its start work.
        """
        self._expire()
        key = self._counted_key(key)
        if not self._steps or self._steps[-1][0] <= self.now:
            self._steps.append((self.now + STEP_SECONDS, {}))
        arrivals = self._steps[-1][1]
        arrivals[key] = arrivals.get(key, 0.0) + milliseconds
        self._arrived[key] = self._arrived.get(key, 0.0) + milliseconds

    def record_begin(self, key, milliseconds):
        """Record that a request is in progress; as `record_arrival`."""
        count = self._active.setdefault(key, DemandCount())
        count.add(DemandCount(0.0, milliseconds, 1))

    def record_end(self, key, milliseconds):
        """Record that a request that had begun has ended."""
        count = self._active.get(key)
        if count is None:
            return
        count.add(DemandCount(0.0, milliseconds, 1), -1)
        if not count.requests:
            del self._active[key]

    def counts(self):
        """Return the largest entries of this host, for a message.

        Returns
        -------
        dict of str to DemandCount
            Whole numbers, so that their sums are exact.
        """
        rounded = {
            key.text(): DemandCount(
                round(count.arrived_ms), round(count.active_ms), count.requests
            )
            for key, count in self._own().items()
        }
        return largest_entries(rounded)

    def update_peers(self, sender, counts):
        """Replace the counts of a peer, or the sum of several.

        Parameters
        ----------
        sender : str
            Name of the peer's process, or of the group.
        counts : dict of str to DemandCount
            From a message.
        """
        self._forget(sender)
        if not counts:
            return
        parsed = {
            DemandKey.parse(text): count
            for text, count in largest_entries(counts).items()
        }
        parsed.pop(None, None)
        self._peers[sender] = (parsed, self.now + PEER_EXPIRY_SECONDS)
        _add_all(self._peer_totals, parsed)

    def forget_peers(self):
        """Discard the counts of all peers."""
        self._peers.clear()
        self._peer_totals.clear()

    def peer_counts(self, senders):
        """Return the sum over some peers, for a message.

        Parameters
        ----------
        senders : iterable of str
            As for `update_peers`.
        """
        self._expire()
        maps = [self._peers[s][0] for s in senders if s in self._peers]
        return {key.text(): count for key, count in sum_demand(maps).items()}

    def totals(self):
        """Return the demand at all hosts.

        Returns
        -------
        dict of DemandKey to DemandCount
        """
        return sum_demand([self._own(), self._peer_totals])

    def _own(self):
        self._expire()
        own = {key: DemandCount(ms) for key, ms in self._arrived.items()}
        _add_all(own, self._active)
        return own

    def _counted_key(self, key):
        if key in self._arrived or len(self._arrived) < MAX_COUNTED:
            return key
        return key.rest

    def _expire(self):
        """Discard arrivals before the window, and silent peers."""
        now = self.now
        while self._steps and self._steps[0][0] <= now - WINDOW_SECONDS:
            for key, milliseconds in self._steps.popleft()[1].items():
                self._arrived[key] -= milliseconds
                # Sums of fractions may leave a rest.
                if self._arrived[key] < 1e-6:
                    del self._arrived[key]
        for sender in [s for s, (_, t) in self._peers.items() if t <= now]:
            self._forget(sender)

    def _forget(self, sender):
        counts, _ = self._peers.pop(sender, ({}, 0.0))
        for key, count in counts.items():
            total = self._peer_totals.get(key)
            if total is None:
                continue
            total.add(count, -1)
            if total.is_empty():
                del self._peer_totals[key]


def sum_demand(maps):
    """Return the sum of several counts by key."""
    total = {}
    for counts in maps:
        _add_all(total, counts)
    return total


def _add_all(total, counts):
    for key, count in counts.items():
        total.setdefault(key, DemandCount()).add(count)


def largest_entries(counts):
    """Return at most `MAX_ENTRIES` entries, whose sums by class are complete.

    The smallest customers of each class are added up to its rest.

    Parameters
    ----------
    counts : dict of str to DemandCount
        As in a message.
    """
    if len(counts) <= MAX_ENTRIES:
        return counts
    by_size = sorted(counts.items(), key=_size, reverse=True)
    rests = {_rest(text) for text in counts}
    named = max(0, MAX_ENTRIES - len(rests))
    kept = dict(by_size[:named])
    total = sum_demand(
        [kept, *({_rest(text): c} for text, c in by_size[named:])]
    )
    # More classes than entries: the smallest are left out.
    return dict(sorted(total.items(), key=_size, reverse=True)[:MAX_ENTRIES])


def subtract_demand(total, part):
    """Return a sum without one of the parts that it may have merged.

    Parameters
    ----------
    total, part : dict of str to DemandCount
        As in messages.
    """
    left = sum_demand([total])
    for text, count in part.items():
        known = left.get(text) or left.get(_rest(text))
        if known is not None:
            known.add(count, -1)
    return {text: c for text, c in left.items() if not c.is_empty()}


def _rest(text):
    key = DemandKey.parse(text)
    return text if key is None else key.rest.text()


def _size(entry):
    return (entry[1].size, entry[0])


def least_customers(work_ms, smallest_ms):
    """Return how many customers at least share the rest of a class.

    Each of them has less than the smallest that is counted by itself.
    """
    if not work_ms:
        return 0
    return math.ceil(work_ms / smallest_ms) if smallest_ms else 1
