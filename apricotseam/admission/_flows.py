"""Weighted fair queueing of customers within a priority class."""

import collections

MAX_IDLE_FLOWS = 256
# Requests by which a flow that was idle may lag behind virtual time.
CREDIT_REQUESTS = 4


class Flow:
    """Waiting entries of one customer in one class, in order of arrival.

    ``tag`` is the virtual time at which the next entry is due.
    """

    __slots__ = ("cost", "entries", "tag", "weight")

    def __init__(self):
        self.entries = collections.deque()
        self.cost = 0
        self.tag = 0.0
        self.weight = 1.0


class ClassQueue:
    """Waiting entries of one priority class, shared between customers.

    Implements weighted fair queueing. The flow with the lowest tag is
    served next, and its tag grows by the cost of the entry divided by the
    weight of the customer. The tag of a flow that was idle may lag behind
    virtual time by `CREDIT_REQUESTS` requests at most, so that a customer
    with few requests keeps its share across short gaps. When no entry
    waits, virtual time moves to the highest tag; all flows then start
    equal, and idle ones can be dropped.

    Parameters
    ----------
    rank : int
        Rank of the class; lower ranks are more urgent.
    weight : float
        Weight relative to other classes of the same rank.
    """

    __slots__ = (
        "_flows",
        "_highest_tag",
        "_sweep_size",
        "_waiting",
        "cost",
        "count",
        "rank",
        "tag",
        "virtual_time",
        "weight",
    )

    def __init__(self, rank, weight):
        self.rank = rank
        self.weight = weight
        self.tag = 0.0
        self.virtual_time = 0.0
        self.count = 0
        self.cost = 0
        self._flows = {}
        self._waiting = {}
        self._highest_tag = 0.0
        self._sweep_size = MAX_IDLE_FLOWS

    @property
    def flows(self):
        """Number of customers whose flow is stored."""
        return len(self._flows)

    def push(self, entry):
        """Append an entry to its customer's flow."""
        customer = entry.work.customer
        flow = self._flows.get(customer)
        if flow is None:
            flow = self._flows[customer] = Flow()
        flow.weight = entry.work.customer_weight
        if not flow.entries:
            credit = CREDIT_REQUESTS * entry.cost / flow.weight
            flow.tag = max(flow.tag, self.virtual_time - credit)
        flow.entries.append(entry)
        self._waiting[customer] = flow
        flow.cost += entry.cost
        self.count += 1
        self.cost += entry.cost

    def head(self):
        """Return the entry to be served next, or None."""
        flow = self._next_flow()
        return flow.entries[0] if flow else None

    def pop(self):
        """Remove and return the entry to be served next."""
        flow = self._next_flow()
        entry = flow.entries.popleft()
        self.virtual_time = max(self.virtual_time, flow.tag)
        flow.tag += entry.cost / flow.weight
        self._highest_tag = max(self._highest_tag, flow.tag)
        self._record_removal(flow, entry)
        self._drop_idle()
        return entry

    def remove(self, entry):
        """Remove an entry that no longer waits."""
        flow = self._flows[entry.work.customer]
        flow.entries.remove(entry)
        self._record_removal(flow, entry)

    def refund(self, customer, cost):
        """Refund cost that a customer was charged but did not use."""
        flow = self._flows.get(customer)
        if flow is not None:
            flow.tag -= cost / flow.weight

    def most_backlogged(self):
        """Return the customer with the largest backlog."""
        return max(self._waiting, key=self.backlog)

    def backlog(self, customer):
        """Return the waiting cost of a customer divided by its weight."""
        flow = self._flows.get(customer)
        return flow.cost / flow.weight if flow else 0.0

    def last_entry(self, customer):
        """Return the most recent entry of a customer."""
        return self._flows[customer].entries[-1]

    def cost_ahead(self, customer, weight):
        """Estimate the cost served before a new entry of a customer.

        While the customer's own backlog is served, the other customers
        that wait are served in proportion to their weights.
        """
        flow = self._flows.get(customer)
        own_cost = flow.cost if flow else 0
        total_weight = weight if not own_cost else 0.0
        others = 0
        for other in self._waiting.values():
            total_weight += other.weight
            others += other.cost
        if flow is not None and own_cost:
            weight = flow.weight
        return min(self.cost, own_cost * total_weight / weight)

    def _next_flow(self):
        return min(
            self._waiting.values(), key=lambda flow: flow.tag, default=None
        )

    def _record_removal(self, flow, entry):
        flow.cost -= entry.cost
        self.count -= 1
        self.cost -= entry.cost
        if not flow.entries:
            del self._waiting[entry.work.customer]
        if not self._waiting:
            self.virtual_time = max(self.virtual_time, self._highest_tag)

    def _drop_idle(self):
        if len(self._flows) <= self._sweep_size:
            return
        idle = [
            customer
            for customer, flow in self._flows.items()
            if not flow.entries and flow.tag <= self.virtual_time
        ]
        for customer in idle:
            del self._flows[customer]
        self._sweep_size = max(MAX_IDLE_FLOWS, 2 * len(self._flows))
