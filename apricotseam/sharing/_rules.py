"""Factors by which classes and customers share scarce room."""

import bisect
import collections
import itertools

from apricotseam.sharing._demand import DemandCount
from apricotseam.sharing._demand import least_customers

# No factor of a class or customer is lower.
LEAST_FACTOR = 0.25
# Fraction of the memory that may be filled, at the factors 1 and
# `LEAST_FACTOR` of a customer. Limits of 0.75, and limits that follow the
# class as well, left memory idle that nobody else asked for.
MAX_UTILIZATION = 0.98
LEAST_MAX_UTILIZATION = 0.9
# The sums are computed again after this time, as news of peers come at most
# this often in small fleets.
REFRESH_SECONDS = 0.1
# Share of a place that is drawn regardless of class and customer, so that
# none is left out for long.
RANDOM_SHARE = 0.25


class ShareRules:
    """Derives the factors of requests from the demand at all hosts.

    A more urgent class goes first: the factor of a less urgent one is lower
    the more of the arriving work is more urgent. A customer that has more
    than an equal share of the work in progress has a lower factor.

    Parameters
    ----------
    meter : DemandMeter
        Demand at all hosts.

    Examples
    --------
    >>> from apricotseam.sharing import DemandKey
    >>> from apricotseam.sharing import DemandMeter
    >>> meter = DemandMeter(lambda: 0.0)
    >>> meter.record_arrival(DemandKey("model", 0, "acme"), 60.0)
    >>> meter.record_arrival(DemandKey("model", 1, "acme"), 40.0)
    >>> ShareRules(meter).class_factor(DemandKey("model", 1, "acme"))
    0.4
    """

    def __init__(self, meter):
        self._meter = meter
        self._services = {}
        self._valid_until = float("-inf")

    def class_factor(self, key):
        """Return the part of the factor that is due to the class."""
        return self._of_service(key).class_factor(key.priority)

    def customer_factor(self, key):
        """Return the part of the factor that is due to the customer."""
        return self._of_service(key).customer_factor(key.customer)

    def max_utilization(self, key):
        """Return up to which fraction new requests may fill memory.

        It is lower for a customer above its share. The class does not matter.
        """
        factor = self.customer_factor(key)
        weight = (factor - LEAST_FACTOR) / (1.0 - LEAST_FACTOR)
        span = MAX_UTILIZATION - LEAST_MAX_UTILIZATION
        return LEAST_MAX_UTILIZATION + weight * span

    def place(self, key, draw):
        """Return the place of a request among those of all hosts.

        Requests with a higher factor come first, and the more urgent ones
        among those with equal factors.

        Parameters
        ----------
        key : DemandKey
            Customer and class of the request.
        draw : float
            Its random place, from 0 to 1.
        """
        before, own = self._of_service(key).shares_before(key)
        ordered = before + draw * own
        return RANDOM_SHARE * draw + (1.0 - RANDOM_SHARE) * ordered

    def active_ms(self, key):
        """Return the work in progress of a customer, in milliseconds."""
        return self._of_service(key).active_ms(key.customer)

    def _of_service(self, key):
        if self._meter.now >= self._valid_until:
            self._valid_until = self._meter.now + REFRESH_SECONDS
            by_service = collections.defaultdict(dict)
            for known, count in self._meter.totals().items():
                by_service[known.service][known] = count
            self._services = {
                service: _ServiceShares(counts)
                for service, counts in by_service.items()
            }
        return self._services.get(key.service, _NO_SHARES)


class _ServiceShares:
    """Shares of classes and customers in the demand for one service.

    Parameters
    ----------
    counts : dict of DemandKey to DemandCount
        Demand at all hosts.
    """

    __slots__ = ("_classes", "_customers", "_equal_ms", "_order")

    def __init__(self, counts):
        self._classes = _Cumulated(
            (key.priority, count.arrived_ms) for key, count in counts.items()
        )
        self._customers = collections.defaultdict(float)
        total = DemandCount()
        for key, count in counts.items():
            total.add(count)
            self._customers[key.customer] += count.active_ms
        self._equal_ms = self._equal_share(total)
        self._order = _Cumulated(
            (self._rank(key), count.arrived_ms)
            for key, count in counts.items()
        )

    def class_factor(self, priority):
        """Return the factor of a class."""
        more_urgent, _ = self._classes.shares(priority)
        return max(LEAST_FACTOR, 1.0 - more_urgent)

    def customer_factor(self, customer):
        """Return the factor of a customer; 1 if it is not known."""
        active_ms = self.active_ms(customer)
        if not customer or active_ms <= self._equal_ms:
            return 1.0
        return max(LEAST_FACTOR, self._equal_ms / active_ms)

    def active_ms(self, customer):
        """Return the work in progress of a customer, in milliseconds."""
        return self._customers.get(customer, 0.0)

    def shares_before(self, key):
        """Return the shares of what comes before a request, and with it."""
        return self._order.shares(self._rank(key))

    def _rank(self, key):
        factor = self.class_factor(key.priority)
        factor *= self.customer_factor(key.customer)
        return (-round(factor, 2), key.priority)

    def _equal_share(self, total):
        """Return the equal share of a customer in the work in progress.

        It is at least the work of one request, as nobody has less.
        """
        named = [ms for name, ms in self._customers.items() if name]
        smallest = min((ms for ms in named if ms), default=0.0)
        customers = len(named) + least_customers(
            self._customers.get("", 0.0), smallest
        )
        if not customers or not total.requests:
            return 0.0
        equal_ms = total.active_ms / customers
        return max(equal_ms, total.active_ms / total.requests)


class _Cumulated:
    """Shares of work by rank.

    Parameters
    ----------
    work : iterable of tuple
        Pairs of rank and milliseconds, in any order.
    """

    __slots__ = ("_ranks", "_sums")

    def __init__(self, work):
        by_rank = collections.defaultdict(float)
        for rank, milliseconds in work:
            by_rank[rank] += milliseconds
        self._ranks = sorted(by_rank)
        self._sums = list(
            itertools.accumulate(
                (by_rank[rank] for rank in self._ranks), initial=0.0
            )
        )

    def shares(self, rank):
        """Return the shares of lower ranks and of this one, from 0 to 1.

        If there is no work, all belongs to this rank.
        """
        total = self._sums[-1]
        if not total:
            return 0.0, 1.0
        first = bisect.bisect_left(self._ranks, rank)
        last = bisect.bisect_right(self._ranks, rank)
        before = self._sums[first] / total
        return before, self._sums[last] / total - before


_NO_SHARES = _ServiceShares({})
