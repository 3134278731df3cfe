"""Queue of changed records that are passed on a bounded number of times."""

import heapq
import math

STATE_FACTOR = 3
FACT_FACTOR = 1
MAX_QUEUED_UPDATES = 4096


class UpdateQueue:
    """Addresses whose records are still to be passed on.

    Examples
    --------
    >>> queue = UpdateQueue()
    >>> queue.add("a", 2, is_state=False)
    >>> queue.take(8), queue.take(8), queue.take(8)
    (['a'], ['a'], [])
    """

    __slots__ = ("_left",)

    def __init__(self):
        self._left = {}

    def __len__(self):
        return len(self._left)

    def add(self, address, members, is_state=True):
        """Pass on the record of an address from now on.

        Parameters
        ----------
        address : str
            Peers' address of the record.
        members : int
            Number of members, which sets how often it is passed on.
        is_state : bool
            Whether the state changed; other facts are passed on less
            often, since the comparison of tables repairs a loss.
        """
        before = self._left.pop(address, 0)
        if len(self._left) >= MAX_QUEUED_UPDATES:
            self._left.pop(next(iter(self._left)))
        factor = STATE_FACTOR if is_state else FACT_FACTOR
        hops = math.ceil(math.log2(members + 1))
        self._left[address] = max(before, factor * hops)

    def take(self, count):
        """Return up to `count` addresses, least often passed on first."""
        chosen = heapq.nlargest(count, self._left, key=self._left.get)
        for address in chosen:
            self._left[address] -= 1
            if self._left[address] <= 0:
                del self._left[address]
        return chosen
