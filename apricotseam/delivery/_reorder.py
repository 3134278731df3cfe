"""Reorders the events of one answer and drops duplicates."""

from apricotseam.errors import FailedError

# Limits the memory that events behind a gap can take up.
MAX_PENDING_EVENTS = 1024


class ReorderBuffer:
    """Buffer that releases the events of one answer in order.

    Each event is released exactly once, after all events before it. The
    answer has ended once its final event was released.

    Parameters
    ----------
    next_position : int
        Position of the first event to release.

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

    __slots__ = ("_end_position", "_next_position", "_pending")

    def __init__(self, next_position=0):
        self._next_position = next_position
        self._pending = {}
        self._end_position = None

    @property
    def next_position(self):
        """Position of the next event to release."""
        return self._next_position

    @property
    def is_ended(self):
        """Whether the final event and all before it were released."""
        return (
            self._end_position is not None
            and self._next_position > self._end_position
        )

    @property
    def gaps(self):
        """List of the missing positions before the highest buffered one."""
        highest = max(self._pending, default=self._next_position)
        positions = range(self._next_position, highest)
        return [p for p in positions if p not in self._pending]

    def accept(self, position, event, is_end):
        """Accept one event and return the events that can be released.

        Parameters
        ----------
        position : int
            Position of the event.
        event : object
            The event.
        is_end : bool
            Whether it is the final event of the answer.

        Returns
        -------
        list
            The released events, in order of position.

        Raises
        ------
        FailedError
            If too many events are buffered behind a missing one.
        """
        if self._end_position is not None and position > self._end_position:
            return []
        if is_end and self._end_position is None:
            self._end_position = position
            for later in [p for p in self._pending if p > position]:
                del self._pending[later]
        if position < self._next_position or position in self._pending:
            return []
        if len(self._pending) >= MAX_PENDING_EVENTS:
            raise FailedError(
                f"{MAX_PENDING_EVENTS} events are buffered behind a gap",
                "send the request again with the resume handle",
            )
        self._pending[position] = event
        ready = []
        while self._next_position in self._pending:
            ready.append(self._pending.pop(self._next_position))
            self._next_position += 1
        return ready
