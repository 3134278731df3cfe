"""Times of recent events by key, with a bound for each customer."""

import collections

MAX_KEYS = 4096
MAX_CUSTOMER_KEYS = 256


class RecentTimes:
    """Latest time of each key, of which each customer has a bounded number.

    The keys are chosen by callers. A customer that sends many displaces
    its own.

    Examples
    --------
    >>> recent = RecentTimes()
    >>> recent.record("a", "customer", 1.0)
    >>> recent.get("a", 0.0), recent.get("b", 0.0)
    (1.0, 0.0)
    """

    __slots__ = ("_by_customer", "_times")

    def __init__(self):
        # Customer and time by key, and keys by customer, the oldest first.
        self._times = collections.OrderedDict()
        self._by_customer = {}

    def __len__(self):
        return len(self._times)

    def get(self, key, default):
        """Return the latest time of a key."""
        found = self._times.get(key)
        return default if found is None else found[1]

    def record(self, key, customer, at):
        """Record that a key occurred in a request of a customer."""
        known = self._times.pop(key, None)
        if known is not None:
            self._forget_key(known[0], key)
        self._times[key] = (customer, at)
        keys = self._by_customer.setdefault(
            customer, collections.OrderedDict()
        )
        keys[key] = None
        if len(keys) > MAX_CUSTOMER_KEYS:
            self._remove(next(iter(keys)))
        elif len(self._times) > MAX_KEYS:
            self._remove(next(iter(self._times)))

    def _remove(self, key):
        customer, _ = self._times.pop(key)
        self._forget_key(customer, key)

    def _forget_key(self, customer, key):
        keys = self._by_customer[customer]
        del keys[key]
        if not keys:
            del self._by_customer[customer]
