"""Waiting requests of one pool: ranks, classes, customers."""

from apricotseam.admission._flows import ClassQueue

AGING_SHARE = 0.05


class FairQueue:
    """Orders waiting requests.

    A lower rank goes first. Each rank that is passed over gains credit, a
    share of the cost that passed it, and goes next once its credit covers
    its next entry: together the waiting lower ranks get at least that
    share. Inside a rank classes share by weight, inside a class customers
    do.
    """

    __slots__ = ("_classes", "_credit", "_virtual", "bytes", "cost", "count")

    def __init__(self):
        self._classes = {}
        self._credit = {}
        self._virtual = {}
        self.count = 0
        self.bytes = 0
        self.cost = 0

    def push(self, entry):
        """Append an entry."""
        work = entry.work
        queue = self._class_of(work)
        if not queue.count:
            floor = self._virtual.get(work.rank, 0.0)
            queue.tag = max(queue.tag, floor)
        queue.weight = work.weight
        queue.push(entry)
        self.count += 1
        self.bytes += work.size_bytes
        self.cost += entry.cost

    def best_rank(self):
        """Return the best rank that waits, or None."""
        return min(self._waiting(), default=None)

    def pop(self, highest_rank=None):
        """Take the entry that goes next, or None.

        Parameters
        ----------
        highest_rank : int, optional
            Ranks above it are left out.
        """
        waiting = {
            rank: queues
            for rank, queues in self._waiting().items()
            if highest_rank is None or rank <= highest_rank
        }
        if not waiting:
            return None
        rank = self._next_rank(waiting)
        queue = min(waiting[rank], key=lambda q: q.tag)
        self._virtual[rank] = max(self._virtual.get(rank, 0.0), queue.tag)
        entry = queue.pop()
        queue.tag += entry.cost / queue.weight
        self._left(entry)
        self._credit_passed(rank, entry.cost, waiting)
        return entry

    def remove(self, entry):
        """Take out an entry that no longer waits."""
        self._class_of(entry.work).remove(entry)
        self._left(entry)

    def displaced_by(self, work):
        """Return the entry that gives way to a request when full, or None.

        It is of the lowest class in rank, and of the customer there that
        has the most waiting for its weight. Inside one rank only a
        customer with more waiting than the new request's gives way.
        """
        waiting = self._waiting()
        worst = max(waiting, default=None)
        if worst is None or worst < work.rank:
            return None
        queue = max(waiting[worst], key=lambda q: q.cost / q.weight)
        customer = queue.longest()
        if worst == work.rank:
            own = self._class_of(work).backlog(work.customer)
            wanted = own + max(1, work.tokens) / work.customer_weight
            if queue.backlog(customer) <= wanted:
                return None
        return queue.last(customer)

    def give_back(self, work, cost):
        """Credit a customer for cost that it did not use."""
        queue = self._classes.get(work.priority)
        if queue is not None:
            queue.give_back(work.customer, cost)
            queue.tag -= cost / queue.weight

    def cost_ahead(self, work):
        """Return the cost that goes before a new entry, as things are."""
        better = 0
        weights = 0.0
        same = 0
        own = self._classes.get(work.priority)
        for queue in self._classes.values():
            if not queue.count or queue is own:
                continue
            if queue.rank < work.rank:
                better += queue.cost
            elif queue.rank == work.rank:
                weights += queue.weight
                same += queue.cost
        if own is None or not own.count:
            return better
        ahead = own.cost_ahead(work.customer, work.customer_weight)
        beside = min(same, ahead * weights / work.weight)
        return better + ahead + beside

    def _waiting(self):
        waiting = {}
        for queue in self._classes.values():
            if queue.count:
                waiting.setdefault(queue.rank, []).append(queue)
        return waiting

    def _next_rank(self, waiting):
        best = min(waiting)
        for rank in sorted(waiting, reverse=True):
            queue = min(waiting[rank], key=lambda q: q.tag)
            if rank != best and self._credit.get(rank, 0) >= queue.head().cost:
                return rank
        return best

    def _credit_passed(self, rank, cost, waiting):
        passed = [other for other in waiting if other > rank]
        for other in passed:
            gained = cost * AGING_SHARE / len(passed)
            self._credit[other] = self._credit.get(other, 0.0) + gained
        if rank in self._credit:
            left = self._credit[rank] - cost
            self._credit[rank] = max(0.0, left)

    def _left(self, entry):
        self.count -= 1
        self.bytes -= entry.work.size_bytes
        self.cost -= entry.cost

    def _class_of(self, work):
        queue = self._classes.get(work.priority)
        if queue is None or queue.rank != work.rank:
            queue = ClassQueue(work.rank, work.weight)
            self._classes[work.priority] = queue
        return queue
