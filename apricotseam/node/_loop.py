"""Event loop that polls its sockets less often while callbacks are ready."""

import asyncio
import selectors

# Rounds of ready callbacks after which sockets are polled in any case.
MAX_UNPOLLED_ROUNDS = 4


class SparseSelector(selectors.DefaultSelector):
    """Selector that polls in only some of the rounds of a busy event loop.

    The event loop polls before each round of callbacks. One message causes
    several rounds, since each task that it wakes runs in the next one, and
    a poll between them costs more than most of these callbacks.

    Examples
    --------
    >>> selector = SparseSelector()
    >>> selector.select(0)
    []
    >>> selector.close()
    """

    def __init__(self):
        super().__init__()
        self._unpolled_rounds = 0

    def select(self, timeout=None):
        """Return the ready sockets; none if this round needs no poll.

        Parameters
        ----------
        timeout : float, optional
            Seconds to wait; 0 if callbacks are ready, None to wait for a
            socket.
        """
        is_busy = timeout is not None and timeout <= 0
        if is_busy and self._unpolled_rounds < MAX_UNPOLLED_ROUNDS:
            self._unpolled_rounds += 1
            return []
        self._unpolled_rounds = 0
        return super().select(timeout)


def make_loop():
    """Return a new event loop with a `SparseSelector`."""
    return asyncio.SelectorEventLoop(SparseSelector())
