"""Requests that wait a moment for room, the most urgent first."""

import asyncio
import collections
import heapq
import itertools

# Span over which the rate of ends is taken.
RATE_SECONDS = 2.0
# Share of the latency objective that a request may spend waiting.
WAIT_SHARE = 0.65
RETURN_SECONDS = 12.0
MAX_REMEMBERED = 2000


class WaitingRoom:
    """Queue of the requests on this host that no chain has room for.

    Parameters
    ----------
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, now):
        self._now = now
        self._queue = []
        self._numbers = itertools.count()
        self._ends = collections.deque()
        self._refused = collections.OrderedDict()
        self._told = collections.deque(maxlen=MAX_REMEMBERED)

    def __len__(self):
        return len(self._queue)

    def is_first(self, rank):
        """Return whether a request may try before those that wait."""
        return not self._queue or rank < self._queue[0][0]

    def rank(self, call):
        """Return the place of a call; lower goes first.

        Who comes back after a refusal goes before the others.
        """
        is_returning = self.has_returned(call)
        return (not is_returning, call.urgency, call.request.received_at)

    def expected_seconds(self):
        """Return how long the next one to join would wait, in seconds."""
        now = self._now()
        while self._ends and self._ends[0] < now - RATE_SECONDS:
            self._ends.popleft()
        if not self._ends:
            return RATE_SECONDS
        rate = len(self._ends) / RATE_SECONDS
        return (len(self._queue) + 1) / rate

    async def wait(self, rank, until):
        """Wait for a turn; return whether it came in time.

        Parameters
        ----------
        rank : tuple
            Place in the queue.
        until : float
            Time of the loop's clock.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        entry = (rank, next(self._numbers), future)
        heapq.heappush(self._queue, entry)
        timer = loop.call_at(until, _settle, future, False)
        try:
            return await future
        finally:
            timer.cancel()
            if entry in self._queue:
                self._queue.remove(entry)
                heapq.heapify(self._queue)

    def count_end(self):
        """Take that a request of this host is over."""
        self._ends.append(self._now())
        self.wake()

    def wake(self):
        """Let the first one in the queue try."""
        while self._queue:
            _, _, future = heapq.heappop(self._queue)
            if not future.done():
                future.set_result(True)
                return

    def remember_refused(self, call):
        """Keep that a call was refused, for when it comes back."""
        self.remember(call.return_id)
        self._told.append((self._now(), call.return_id))

    def remember(self, return_id):
        """Keep an identifier of a refused request, also of a peer's."""
        if not return_id:
            return
        self._refused[return_id] = self._now() + RETURN_SECONDS
        if len(self._refused) > MAX_REMEMBERED:
            self._refused.popitem(last=False)

    def has_returned(self, call):
        """Return whether a call was refused before."""
        return self._refused.get(call.return_id, 0.0) > self._now()

    def recently_refused(self, since):
        """Return what this host refused after a time."""
        while self._told and self._told[0][0] < since:
            self._told.popleft()
        return [return_id for _, return_id in self._told if return_id]


def _settle(future, result):
    if not future.done():
        future.set_result(result)
