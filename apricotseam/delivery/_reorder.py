"""Puts the events of one answer in order and drops repeats."""

from apricotseam.errors import FailedError

MAX_WAITING = 1024


class ReorderBuffer:
    """Events of one answer by position.

    An event is given on once, when all before it were given on. The
    answer ends when the event that ends it was given on.

    Parameters
    ----------
    next_position : int
        Position of the first event that is wanted.

    Examples
    --------
    >>> buffer = ReorderBuffer()
    >>> buffer.accept(1, "b", True)
    []
    >>> buffer.accept(0, "a", False)
    ['a', 'b']
    >>> buffer.is_ended
    True
    """

    __slots__ = ("_end", "_next_position", "_waiting")

    def __init__(self, next_position=0):
        self._next_position = next_position
        self._waiting = {}
        self._end = None

    @property
    def next_position(self):
        """Position of the next event to be given on."""
        return self._next_position

    @property
    def is_ended(self):
        """Whether the end and all before it were given on."""
        return self._end is not None and self._next_position > self._end

    @property
    def gaps(self):
        """Positions that are missing before one that is here."""
        highest = max(self._waiting, default=self._next_position)
        positions = range(self._next_position, highest)
        return [p for p in positions if p not in self._waiting]

    def accept(self, position, event, is_end):
        """Take one event and return the events that are now in order.

        Parameters
        ----------
        position : int
            Position of the event.
        event : object
            The event.
        is_end : bool
            Whether the answer ends with it.

        Returns
        -------
        list

        Raises
        ------
        FailedError
            If too many events wait behind a gap.
        """
        if self._end is not None and position > self._end:
            return []
        if is_end and self._end is None:
            self._end = position
            for later in [p for p in self._waiting if p > position]:
                del self._waiting[later]
        if position < self._next_position or position in self._waiting:
            return []
        if len(self._waiting) >= MAX_WAITING:
            raise FailedError(
                f"{MAX_WAITING} events wait behind a gap",
                "send the request again with the resume handle",
            )
        self._waiting[position] = event
        ready = []
        while self._next_position in self._waiting:
            ready.append(self._waiting.pop(self._next_position))
            self._next_position += 1
        return ready
