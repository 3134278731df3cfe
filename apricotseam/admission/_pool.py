"""Scheduler of one pool: which requests start, wait or are refused."""

import msgspec

from apricotseam.admission._concurrency import AdaptiveLimit
from apricotseam.admission._entry import QueueEntry
from apricotseam.admission._queue import FairQueue
from apricotseam.admission._rates import ServiceRates
from apricotseam.errors import OverloadedError

MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class QueueBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the number and total bytes of requests waiting in a pool."""

    requests: int
    size_bytes: int


class PoolScheduler:
    """Schedules the requests of one pool; performs no I/O and no locking.

    Parameters
    ----------
    bounds : QueueBounds
        Bounds on its queue.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "_bounds",
        "_queue",
        "_rates",
        "_running_by_rank",
        "first_token_delay_seconds",
        "limit",
        "running",
    )

    def __init__(self, bounds, now):
        self._bounds = bounds
        self._queue = FairQueue()
        self._rates = ServiceRates(now)
        self._running_by_rank = {}
        self.limit = AdaptiveLimit(now)
        self.running = 0
        # Seconds from the start of a request to its first token.
        self.first_token_delay_seconds = 0.0

    @property
    def waiting(self):
        """Number of waiting requests."""
        return self._queue.count

    @property
    def waiting_bytes(self):
        """Total bytes of the waiting requests."""
        return self._queue.bytes

    def offer(self, work, now, on_decision=None, max_waiting=None):
        """Add a request to the queue and return its `QueueEntry`.

        If the queue is full, the request displaces a waiting one that is
        less urgent or whose customer has a larger backlog.

        Parameters
        ----------
        work : Work
            The request.
        now : float
            Monotonic time in seconds.
        on_decision : callable, optional
            Called when the request starts or is displaced.
        max_waiting : int, optional
            Requests that may wait at present, if fewer than the bound.

        Raises
        ------
        OverloadedError
            If the queue is full or the deadline cannot be met.
        """
        self.check_deadline(work, now)
        wait = self._estimate_wait(work)
        start_deadline = self._start_deadline(work)
        if self._queue.count and now + wait >= start_deadline:
            raise _overloaded("the deadline cannot be met", wait)
        self._make_room(work, wait, max_waiting)
        entry = QueueEntry(work, start_deadline, on_decision)
        self._queue.push(entry)
        return entry

    def check_deadline(self, work, now):
        """Refuse a request that would be late even if it started now.

        Raises
        ------
        OverloadedError
            If the first token cannot be there by the deadline.
        """
        if self._start_deadline(work) <= now:
            raise _overloaded(
                "the deadline cannot be met", self._estimate_wait(work)
            )

    def _start_deadline(self, work):
        return work.deadline - self.first_token_delay_seconds

    def _estimate_wait(self, work):
        return self._rates.estimate_wait(
            work.rank, self._queue.cost_ahead(work)
        )

    def _make_room(self, work, wait, max_waiting):
        requests = self._bounds.requests
        if max_waiting is not None:
            requests = min(requests, max_waiting)
        while (
            self._queue.count >= requests
            or self._queue.bytes + work.size_bytes > self._bounds.size_bytes
        ):
            entry = self._queue.entry_to_displace(work)
            if entry is None or requests <= 0:
                raise _overloaded("the admission queue is full", wait)
            self.cancel(entry)
            entry.refusal = _overloaded("the admission queue is full", wait)
            if entry.on_decision is not None:
                entry.on_decision()

    def take(self, now):
        """Remove and return the entries that start now, in order."""
        started = []
        while self._queue.count:
            entry = self._pop_startable()
            if entry is None:
                break
            entry.is_started = True
            self.running += 1
            rank = entry.work.rank
            self._running_by_rank[rank] = (
                self._running_by_rank.get(rank, 0) + 1
            )
            self._rates.record_start(
                rank, entry.cost, self._queue.count > 0, now
            )
            self.limit.note_in_progress(self.running)
            started.append(entry)
        return started

    def cancel(self, entry):
        """Remove a request that no longer waits."""
        if not entry.is_started and not entry.is_removed:
            entry.is_removed = True
            self._queue.remove(entry)

    def refuse_late(self, entry):
        """Remove a request whose deadline passed; return its error."""
        self.cancel(entry)
        wait = self._rates.estimate_wait(entry.work.rank, self._queue.cost)
        return _overloaded(
            "the deadline passed while the request was queued", wait
        )

    def ended(self, entry, tokens):
        """Record that a request ended and how many tokens it used."""
        self.running -= 1
        rank = entry.work.rank
        self._running_by_rank[rank] -= 1
        if not self._running_by_rank[rank]:
            del self._running_by_rank[rank]
        unused = entry.cost - max(1, tokens)
        if unused > 0:
            self._queue.refund(entry.work, unused)

    def _pop_startable(self):
        """Remove and return the next entry that may start, or None.

        Engines run steps of urgent requests first. At the concurrency
        limit, an urgent request may therefore still start if fewer requests
        of its own and more urgent ranks are in progress than the limit
        allows, up to the capacity of the pool.
        """
        if self.running < self.limit.value:
            return self._queue.pop()
        best = self._queue.best_rank()
        if best is None or self.running >= self.limit.ceiling:
            return None
        ahead = sum(
            n for rank, n in self._running_by_rank.items() if rank <= best
        )
        if ahead == self.running or ahead >= self.limit.value:
            return None
        return self._queue.pop(best)


def _overloaded(reason, wait):
    retry_after = min(
        max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
    )
    return OverloadedError(
        reason, f"retry after {retry_after:.0f} s", retry_after
    )
