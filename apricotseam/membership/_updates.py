"""Queue of changed records that are passed on a bounded number of times."""

import heapq
import math

RETRANSMIT_FACTOR = 3
MAX_QUEUED_UPDATES = 4096


class UpdateQueue:
    """Addresses whose records are still to be passed on.

    Examples
    --------
    >>> queue = UpdateQueue()
    >>> queue.add("a", 2)
    >>> queue.take(8), queue.take(8)
    (['a'], ['a'])
    """

    __slots__ = ("_left",)

    def __init__(self):
        self._left = {}

    def __len__(self):
        return len(self._left)

    def add(self, address, members):
        """Pass on the record of an address from now on.

        Parameters
        ----------
        address : str
            Peers' address of the record.
        members : int
            Number of members, which sets how often it is passed on.
        """
        self._left.pop(address, None)
        if len(self._left) >= MAX_QUEUED_UPDATES:
            self._left.pop(next(iter(self._left)))
        self._left[address] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(members + 1)
        )

    def take(self, count):
        """Return up to `count` addresses, least often passed on first."""
        chosen = heapq.nlargest(count, self._left, key=self._left.get)
        for address in chosen:
            self._left[address] -= 1
            if self._left[address] <= 0:
                del self._left[address]
        return chosen
