"""Links that carry the activations between the stages of a chain."""

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


class Pipe:
    """Link that carries one transfer after another.

    Parameters
    ----------
    megabits_per_second : float
        Bandwidth.

    Attributes
    ----------
    slowdown : float
        Factor by which transfers take longer.
    bytes_sent : float
        Bytes carried so far.

    Examples
    --------
    >>> pipe = Pipe(8.0)
    >>> pipe.send(1e6, 0.0), pipe.send(1e6, 0.5)
    (1.0, 2.0)
    """

    __slots__ = ("_bytes_per_second", "_free_at", "bytes_sent", "slowdown")

    def __init__(self, megabits_per_second):
        self._bytes_per_second = (
            megabits_per_second * BITS_PER_MEGABIT / BITS_PER_BYTE
        )
        self._free_at = 0.0
        self.slowdown = 1.0
        self.bytes_sent = 0.0

    def send(self, size, now):
        """Queue a transfer; return the time at which it has arrived.

        Parameters
        ----------
        size : float
            Bytes to send.
        now : float
            Time in seconds.
        """
        seconds = size * self.slowdown / self._bytes_per_second
        self._free_at = max(self._free_at, now) + seconds
        self.bytes_sent += size
        return self._free_at
