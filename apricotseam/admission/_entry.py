"""A request that waits or runs, as the scheduler keeps it."""


class Entry:
    """One request in a pool.

    Parameters
    ----------
    work : Work
        What the request needs.
    on_decision : callable, optional
        Called once when it may start or is refused.
    """

    __slots__ = (
        "cost",
        "is_removed",
        "is_started",
        "on_decision",
        "refusal",
        "work",
    )

    def __init__(self, work, on_decision=None):
        self.work = work
        self.cost = max(1, work.tokens)
        self.on_decision = on_decision
        self.is_started = False
        self.is_removed = False
        self.refusal = None
