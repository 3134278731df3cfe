"""Requests that end the processes of targets, and whether hosts go on."""

import msgspec

# Ends after which the fleet should know which requests cause them, and the
# time that it has for this.
ENDS_TO_LEARN = 5
LEARN_SECONDS = 3.0
# The same where the requests are repeats of a single one.
ENDS_TO_LEARN_REQUEST = 3
# Requests that may reach targets after that, over all hosts.
ALLOWED_AFTERWARDS = 3
# Time from the first event of such a request to the end of the process.
END_SECONDS = 0.1


class FatalArrival(msgspec.Struct, frozen=True):
    """A fatal request that a target received, in simulated seconds."""

    at: float
    host: str


class FatalRequests:
    """Parts of prompts that end processes, and what targets received.

    Attributes
    ----------
    parts : set of str
        Hashes of the parts that end each process that begins to answer.
    arrivals : list of FatalArrival
        Requests with such a part, in order of time.
    ends : list of float
        Times at which processes ended by them.
    on_begin : callable
        Called with the engine that begins to answer such a request.
    ends_to_learn : int
        Ends after which the fleet should know which requests cause them.
    """

    def __init__(self):
        self.ends_to_learn = ENDS_TO_LEARN
        self.parts = set()
        self.arrivals = []
        self.ends = []
        self.on_begin = lambda engine: None

    @property
    def learnt_at(self):
        """Time from which hosts should hold such requests back, or None."""
        if len(self.ends) < self.ends_to_learn:
            return None
        return self.ends[self.ends_to_learn - 1] + LEARN_SECONDS

    def is_fatal(self, parts):
        """Return whether a prompt with some parts ends processes."""
        return not self.parts.isdisjoint(parts)

    def receive(self, parts, host, now):
        """Record a request that a target received from a host."""
        if self.is_fatal(parts):
            self.arrivals.append(FatalArrival(now, host))

    def begin(self, parts, engine):
        """Notice that an engine begins to answer a request."""
        if self.is_fatal(parts):
            self.on_begin(engine)

    def excess(self, is_excused=lambda arrival: False):
        """Return how many requests too many targets received afterwards.

        Parameters
        ----------
        is_excused : callable, optional
            Tells whether the host of a `FatalArrival` could not know yet.

        Returns
        -------
        int
            Negative or 0 if targets did not receive too many.
        """
        if self.learnt_at is None:
            return -ALLOWED_AFTERWARDS
        late = [
            arrival
            for arrival in self.arrivals
            if arrival.at > self.learnt_at and not is_excused(arrival)
        ]
        return len(late) - ALLOWED_AFTERWARDS
