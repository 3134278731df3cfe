"""Memory of one emulated engine for the tokens of its requests."""


class TokenMemory:
    """Memory in units of tokens times layers.

    Parameters
    ----------
    capacity : callable
        Returns the number of units in total.

    Attributes
    ----------
    used : float
        Units that streams hold.
    preemptions : int
        Streams that lost their memory so far.
    """

    __slots__ = ("_capacity", "_holders", "preemptions", "used")

    def __init__(self, capacity):
        self._capacity = capacity
        self._holders = {}
        self.used = 0.0
        self.preemptions = 0

    @property
    def capacity(self):
        """Units in total."""
        return self._capacity()

    @property
    def free(self):
        """Units that no stream holds; negative if overfull."""
        return self._capacity() - self.used

    @property
    def holders(self):
        """Streams that hold memory here."""
        return list(self._holders)

    def take(self, stream, units):
        """Add to what a stream holds."""
        self._holders[stream] = self._holders.get(stream, 0) + units
        self.used += units

    def give_back(self, stream):
        """Take back all that a stream holds."""
        self.used -= self._holders.pop(stream, 0)

    def held_by(self, stream):
        """Return how many units a stream holds."""
        return self._holders.get(stream, 0)

    def preempt_if_full(self):
        """Make the newest streams wait for memory until the rest fits."""
        while self.free < 0 and self._holders:
            self.preemptions += 1
            newest = max(self._holders, key=lambda stream: stream.number)
            newest.head.requeue(newest)
