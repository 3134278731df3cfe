"""A request that waits or runs, as the scheduler keeps it."""


class Entry:
    """One request in a pool.

    Parameters
    ----------
    work : Work
        What the request needs.
    start_deadline : float
        Monotonic time by which it must start.
    on_decision : callable, optional
        Called once when it may start or is refused.
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
