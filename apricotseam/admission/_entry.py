"""Scheduler's record of one waiting or running request."""


class QueueEntry:
    """One waiting or running request of a pool.

    Parameters
    ----------
    work : Work
        Customer, priority and cost of the request.
    start_deadline : float, optional
        Monotonic time in seconds by which the request must start; by
        default the deadline of `work`.
    on_decision : callable, optional
        Called without arguments when the request may start or is displaced
        from the queue.
    """

    __slots__ = (
        "cost",
        "is_removed",
        "is_started",
        "on_decision",
        "refusal",
        "start_deadline",
        "work",
    )

    def __init__(self, work, start_deadline=None, on_decision=None):
        self.work = work
        self.start_deadline = start_deadline or work.deadline
        self.cost = max(1, work.tokens)
        self.on_decision = on_decision
        self.is_started = False
        self.is_removed = False
        self.refusal = None
