"""Scheduler of one pool: who starts, who waits, who is refused."""

import msgspec

from apricotseam.admission._concurrency import AdaptiveLimit
from apricotseam.admission._entry import Entry
from apricotseam.admission._queue import FairQueue
from apricotseam.admission._rates import ServiceRates
from apricotseam.errors import OverloadedError

MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class QueueBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what waits in one pool."""

    requests: int
    size_bytes: int


class PoolScheduler:
    """Decides about the requests of one pool; makes no calls.

    Parameters
    ----------
    bounds : QueueBounds
        Bounds on its queue.
    now : float
        Monotonic time.
    """

    __slots__ = (
        "_bounds",
        "_queue",
        "_ranks",
        "_rates",
        "first_seconds",
        "limit",
        "running",
    )

    def __init__(self, bounds, now):
        self._bounds = bounds
        self._queue = FairQueue()
        self._rates = ServiceRates(now)
        self._ranks = {}
        self.limit = AdaptiveLimit(now)
        self.running = 0
        # Time from the start to the first token.
        self.first_seconds = 0.0

    @property
    def waiting(self):
        """Number of requests that wait."""
        return self._queue.count

    @property
    def waiting_bytes(self):
        """Bytes of the requests that wait."""
        return self._queue.bytes

    def offer(self, work, now, on_decision=None, room=None):
        """Take a request into the queue and return its `Entry`.

        A full queue makes room by refusing a request of a lower class or
        of a customer with more waiting.

        Parameters
        ----------
        work : Work
            The request.
        now : float
            Monotonic time.
        on_decision : callable, optional
            Called when it starts or gives way to another.
        room : int, optional
            Requests that may wait at this moment, if below the bound.

        Raises
        ------
        OverloadedError
            If the queue is full or the deadline cannot be met.
        """
        wait = self._rates.wait(work.rank, self._queue.cost_ahead(work))
        start_deadline = work.deadline - self.first_seconds
        if start_deadline <= now:
            raise _overloaded("the deadline cannot be met", wait)
        if self._queue.count and now + wait >= start_deadline:
            raise _overloaded("the deadline cannot be met", wait)
        self._make_room(work, wait, room)
        entry = Entry(work, start_deadline, on_decision)
        self._queue.push(entry)
        return entry

    def _make_room(self, work, wait, room):
        requests = self._bounds.requests
        if room is not None:
            requests = min(requests, room)
        while (
            self._queue.count >= requests
            or self._queue.bytes + work.size_bytes > self._bounds.size_bytes
        ):
            entry = self._queue.displaced_by(work)
            if entry is None or requests <= 0:
                raise _overloaded("the queue is full", wait)
            self.cancel(entry)
            entry.refusal = _overloaded("the queue is full", wait)
            if entry.on_decision is not None:
                entry.on_decision()

    def take(self, now):
        """Return the entries that start now, in order."""
        started = []
        while self._queue.count:
            entry = self._next()
            if entry is None:
                break
            entry.is_started = True
            self.running += 1
            rank = entry.work.rank
            self._ranks[rank] = self._ranks.get(rank, 0) + 1
            self._rates.started(rank, entry.cost, self._queue.count > 0, now)
            self.limit.used(self.running)
            started.append(entry)
        return started

    def cancel(self, entry):
        """Take out a request that no longer waits."""
        if not entry.is_started and not entry.is_removed:
            entry.is_removed = True
            self._queue.remove(entry)

    def refuse_late(self, entry):
        """Take out a request whose deadline passed; return the error."""
        self.cancel(entry)
        wait = self._rates.wait(entry.work.rank, self._queue.cost)
        return _overloaded("the deadline passed in the queue", wait)

    def ended(self, entry, tokens):
        """Note that a request ended and what it used."""
        self.running -= 1
        rank = entry.work.rank
        self._ranks[rank] -= 1
        if not self._ranks[rank]:
            del self._ranks[rank]
        unused = entry.cost - max(1, tokens)
        if unused > 0:
            self._queue.give_back(entry.work, unused)

    def _next(self):
        """Take the next entry that may start, or None.

        Engines run urgent steps first, so that a request is held back
        only by those in progress of its own rank and better ones, within
        what the pool can carry at all.
        """
        if self.running < self.limit.value:
            return self._queue.pop()
        best = self._queue.best_rank()
        if best is None or self.running >= self.limit.highest:
            return None
        ahead = sum(n for rank, n in self._ranks.items() if rank <= best)
        if ahead == self.running or ahead >= self.limit.value:
            return None
        return self._queue.pop(best)


def _overloaded(found, wait):
    retry_after = min(
        max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
    )
    return OverloadedError(
        found, f"send it again after {retry_after:.0f} s", retry_after
    )
