"""Queue of one pool, ordered by rank, class and customer."""

from apricotseam.admission._flows import ClassQueue

# Fraction of the served cost that the less urgent ranks get together.
AGING_SHARE = 0.05


class FairQueue:
    """Orders waiting requests by rank, then fairly by class and customer.

    Ranks with a lower number are more urgent and are served first. To
    prevent starvation, each waiting rank that is passed over gains credit,
    a share of the cost served before it, and is served next once its credit
    covers its next entry. Together the passed-over ranks get at least
    `AGING_SHARE` of the cost. Classes of a rank, and customers of a class,
    share by weight.
    """

    __slots__ = (
        "_classes",
        "_credits",
        "_virtual_times",
        "bytes",
        "cost",
        "count",
    )

    def __init__(self):
        self._classes = {}
        self._credits = {}
        self._virtual_times = {}
        self.count = 0
        self.bytes = 0
        self.cost = 0

    def push(self, entry):
        """Append an entry."""
        work = entry.work
        queue = self._class_queue(work)
        if not queue.count:
            floor = self._virtual_times.get(work.rank, 0.0)
            queue.tag = max(queue.tag, floor)
        queue.weight = work.weight
        queue.push(entry)
        self.count += 1
        self.bytes += work.size_bytes
        self.cost += entry.cost

    def best_rank(self):
        """Return the most urgent rank that has waiting entries, or None."""
        return min(self._waiting(), default=None)

    def pop(self, highest_rank=None):
        """Remove and return the entry to be served next, or None.

        Parameters
        ----------
        highest_rank : int, optional
            Entries of ranks with a higher number are not considered.
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
        self._virtual_times[rank] = max(
            self._virtual_times.get(rank, 0.0), queue.tag
        )
        entry = queue.pop()
        queue.tag += entry.cost / queue.weight
        self._record_removal(entry)
        self._credit_passed_over(rank, entry.cost, waiting)
        return entry

    def remove(self, entry):
        """Remove an entry that no longer waits."""
        self._class_queue(entry.work).remove(entry)
        self._record_removal(entry)

    def entry_to_displace(self, work):
        """Return the entry that a new request displaces from a full queue.

        In the least urgent rank, it is the most recent entry of the class
        and customer with the largest backlog relative to their weights. If
        the new request has that rank too, the entry is displaced only if
        its customer's backlog exceeds that of the new request's customer.
        The result is None if the new request may not displace any entry.
        """
        waiting = self._waiting()
        worst = max(waiting, default=None)
        if worst is None or worst < work.rank:
            return None
        queue = max(waiting[worst], key=lambda q: q.cost / q.weight)
        customer = queue.most_backlogged()
        if worst == work.rank:
            own = self._class_queue(work).backlog(work.customer)
            new_backlog = own + max(1, work.tokens) / work.customer_weight
            if queue.backlog(customer) <= new_backlog:
                return None
        return queue.last_entry(customer)

    def refund(self, work, cost):
        """Refund cost that a customer was charged but did not use."""
        queue = self._classes.get(work.priority)
        if queue is not None:
            queue.refund(work.customer, cost)
            queue.tag -= cost / queue.weight

    def cost_ahead(self, work):
        """Estimate the cost served before a new request is."""
        cost_of_better_ranks = 0
        weight_of_peers = 0.0
        cost_of_same_rank = 0
        own = self._classes.get(work.priority)
        for queue in self._classes.values():
            if not queue.count or queue is own:
                continue
            if queue.rank < work.rank:
                cost_of_better_ranks += queue.cost
            elif queue.rank == work.rank:
                weight_of_peers += queue.weight
                cost_of_same_rank += queue.cost
        if own is None or not own.count:
            return cost_of_better_ranks
        ahead = own.cost_ahead(work.customer, work.customer_weight)
        cost_of_peers = min(
            cost_of_same_rank, ahead * weight_of_peers / work.weight
        )
        return cost_of_better_ranks + ahead + cost_of_peers

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
            if (
                rank != best
                and self._credits.get(rank, 0) >= queue.head().cost
            ):
                return rank
        return best

    def _credit_passed_over(self, rank, cost, waiting):
        passed = [other for other in waiting if other > rank]
        for other in passed:
            gained = cost * AGING_SHARE / len(passed)
            self._credits[other] = self._credits.get(other, 0.0) + gained
        if rank in self._credits:
            left = self._credits[rank] - cost
            self._credits[rank] = max(0.0, left)

    def _record_removal(self, entry):
        self.count -= 1
        self.bytes -= entry.work.size_bytes
        self.cost -= entry.cost

    def _class_queue(self, work):
        queue = self._classes.get(work.priority)
        if queue is None or queue.rank != work.rank:
            queue = ClassQueue(work.rank, work.weight)
            self._classes[work.priority] = queue
        return queue
