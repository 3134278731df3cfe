"""Weighted fair queues by virtual time, for classes and for customers."""

import collections

MAX_IDLE_FLOWS = 256
CREDIT_REQUESTS = 4


class Flow:
    """Entries of one customer in one class, in order of arrival."""

    __slots__ = ("cost", "entries", "tag", "weight")

    def __init__(self):
        self.entries = collections.deque()
        self.cost = 0
        self.tag = 0.0
        self.weight = 1.0


class ClassQueue:
    """Entries of one priority class, shared fairly between customers.

    The flow with the lowest tag goes next and its tag rises by the cost
    over the weight. A flow that was idle keeps a credit of a few requests
    at most, so that short gaps between a small customer's requests do not
    cost it its share. When nothing waits, virtual time rises to the highest
    tag, so that all flows begin alike and none has to be kept.

    Parameters
    ----------
    rank : int
        Rank of the class.
    weight : float
        Weight beside other classes of the rank.
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
        "virtual",
        "weight",
    )

    def __init__(self, rank, weight):
        self.rank = rank
        self.weight = weight
        self.tag = 0.0
        self.virtual = 0.0
        self.count = 0
        self.cost = 0
        self._flows = {}
        self._waiting = {}
        self._highest_tag = 0.0
        self._sweep_size = MAX_IDLE_FLOWS

    @property
    def flows(self):
        """Number of customers that are kept."""
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
            flow.tag = max(flow.tag, self.virtual - credit)
        flow.entries.append(entry)
        self._waiting[customer] = flow
        flow.cost += entry.cost
        self.count += 1
        self.cost += entry.cost

    def head(self):
        """Return the entry that goes next, or None."""
        flow = self._next_flow()
        return flow.entries[0] if flow else None

    def pop(self):
        """Take the entry that goes next."""
        flow = self._next_flow()
        entry = flow.entries.popleft()
        self.virtual = max(self.virtual, flow.tag)
        flow.tag += entry.cost / flow.weight
        self._highest_tag = max(self._highest_tag, flow.tag)
        self._left(flow, entry)
        self._drop_idle()
        return entry

    def remove(self, entry):
        """Take out an entry that no longer waits."""
        flow = self._flows[entry.work.customer]
        flow.entries.remove(entry)
        self._left(flow, entry)

    def give_back(self, customer, cost):
        """Credit a customer for cost that it did not use."""
        flow = self._flows.get(customer)
        if flow is not None:
            flow.tag -= cost / flow.weight

    def longest(self):
        """Return the customer with the most waiting for its weight."""
        return max(self._waiting, key=self.backlog)

    def backlog(self, customer):
        """Return the waiting cost of a customer over its weight."""
        flow = self._flows.get(customer)
        return flow.cost / flow.weight if flow else 0.0

    def last(self, customer):
        """Return the entry of a customer that goes last."""
        return self._flows[customer].entries[-1]

    def cost_ahead(self, customer, weight):
        """Return the cost that goes before a new entry of a customer."""
        flow = self._flows.get(customer)
        own = flow.cost if flow else 0
        total = weight if not own else 0.0
        others = 0
        for other in self._waiting.values():
            total += other.weight
            others += other.cost
        if flow is not None and own:
            weight = flow.weight
        return min(self.cost, own * total / weight)

    def _next_flow(self):
        return min(
            self._waiting.values(), key=lambda flow: flow.tag, default=None
        )

    def _left(self, flow, entry):
        flow.cost -= entry.cost
        self.count -= 1
        self.cost -= entry.cost
        if not flow.entries:
            del self._waiting[entry.work.customer]
        if not self._waiting:
            self.virtual = max(self.virtual, self._highest_tag)

    def _drop_idle(self):
        if len(self._flows) <= self._sweep_size:
            return
        idle = [
            customer
            for customer, flow in self._flows.items()
            if not flow.entries and flow.tag <= self.virtual
        ]
        for customer in idle:
            del self._flows[customer]
        self._sweep_size = max(MAX_IDLE_FLOWS, 2 * len(self._flows))
