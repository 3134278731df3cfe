"""Queue of record updates that are each sent a bounded number of times."""

import heapq
import math

# Number of times that an update is sent, divided by the base-2 logarithm of
# the number of members. Changes of state are sent more often than other
# changes.
STATE_TRANSMIT_FACTOR = 3
FACT_TRANSMIT_FACTOR = 1
MAX_QUEUED_UPDATES = 4096


class UpdateQueue:
    """Addresses whose records are still to be sent to other members.

    Examples
    --------
    >>> queue = UpdateQueue()
    >>> queue.add("a", 2, is_state_change=False)
    >>> queue.take(8), queue.take(8), queue.take(8)
    (['a'], ['a'], [])
    """

    __slots__ = ("_remaining",)

    def __init__(self):
        self._remaining = {}

    def __len__(self):
        return len(self._remaining)

    def add(self, address, members, is_state_change=True):
        """Schedule the record of an address for sending.

        Parameters
        ----------
        address : str
            Peer address of the record.
        members : int
            Number of members, which determines how often it is sent.
        is_state_change : bool
            Whether the member's state changed. Other facts are sent less
            often, since the periodic sync of tables recovers lost ones.
        """
        before = self._remaining.pop(address, 0)
        if len(self._remaining) >= MAX_QUEUED_UPDATES:
            self._remaining.pop(next(iter(self._remaining)))
        factor = (
            STATE_TRANSMIT_FACTOR if is_state_change else FACT_TRANSMIT_FACTOR
        )
        hops = math.ceil(math.log2(members + 1))
        self._remaining[address] = max(before, factor * hops)

    def take(self, count):
        """Return up to `count` addresses, most remaining sends first."""
        chosen = heapq.nlargest(
            count, self._remaining, key=self._remaining.get
        )
        for address in chosen:
            self._remaining[address] -= 1
            if self._remaining[address] <= 0:
                del self._remaining[address]
        return chosen
