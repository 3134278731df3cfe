"""Admission with fair queues: the threads around the pure schedulers."""

import threading

from apricotseam.admission._admission import Admission
from apricotseam.admission._admission import Permit
from apricotseam.admission._capacity import pool_capacity
from apricotseam.admission._limits import UnlimitedCustomers
from apricotseam.admission._metrics import PoolMetrics
from apricotseam.admission._pool import PoolScheduler
from apricotseam.admission._pool import QueueBounds
from apricotseam.errors import RefusedError
from apricotseam.routing import TargetTable

CAPACITY_SECONDS = 1.0
SPARE_SHARE = 8
MIN_SPARE_THREADS = 2
FIRST_TOKEN_STEPS = 2.0


class FairPermit(Permit):
    """Permission of `FairAdmission`; closing it twice has no effect."""

    __slots__ = ("_admission", "_entry")

    def __init__(self, admission, entry):
        self._admission = admission
        self._entry = entry

    def close(self, tokens=0):
        """Give the permission back."""
        entry, self._entry = self._entry, None
        if entry is not None:
            self._admission.end(entry, tokens)


class FairAdmission(Admission):
    """Admits by priority, fair share, customers' limits and capacity.

    Each group of targets has a scheduler of its own. A request that waits
    holds its caller's thread, so that requests in all pools together stay
    below the number of threads, and each pool keeps a part of them.

    Parameters
    ----------
    bounds : Bounds
        Bounds of the process.
    clock : Clock
        Source of time.
    limits : CustomerLimits, optional
        Limits of each customer.
    table : callable, optional
        Returns the `TargetTable` in force.
    hosts : callable, optional
        Returns the number of live entry hosts.
    """

    def __init__(self, bounds, clock, limits=None, table=None, hosts=None):
        self._bounds = QueueBounds(
            requests=bounds.queued_requests, size_bytes=bounds.queued_bytes
        )
        spare = max(MIN_SPARE_THREADS, bounds.caller_threads // SPARE_SHARE)
        self._threads = max(1, bounds.caller_threads - spare)
        self._clock = clock
        self._limits = limits or UnlimitedCustomers()
        self._table = table or TargetTable
        self._hosts = hosts or (lambda: 1)
        self._lock = threading.Lock()
        self._pools = {}
        self._metrics = PoolMetrics()
        self._capacity_deadline = 0.0

    def admit(self, work):
        """Wait until the request may start and return its `Permit`."""
        key = (work.scope, work.pool)
        try:
            self._limits.take(work)
            try:
                entry = self._enter(key, work)
            except BaseException:
                self._limits.give_back(work)
                raise
        except RefusedError as error:
            self._metrics.refused(key, error.code)
            raise
        return FairPermit(self, entry)

    def end(self, entry, tokens):
        """Note that an admitted request ended."""
        work = entry.work
        key = (work.scope, work.pool)
        with self._lock:
            pool = self._pools[key]
            pool.ended(entry, tokens)
            self._start(pool)
            self._show(key, pool)
        self._limits.ended(work, tokens)

    def observed(self, address, is_success, seconds):
        """Note how long a call to a target took."""
        target = self._table().find(address)
        if target is None or not is_success:
            return
        key = (target.scope, target.group)
        with self._lock:
            pool = self._pools.get(key)
            if pool is None:
                return
            now = self._clock.monotonic()
            expected = target.step_seconds or None
            pool.limit.observed(seconds, expected, pool.running, now)
            self._start(pool)

    def _enter(self, key, work):
        decided = threading.Event()
        with self._lock:
            now = self._clock.monotonic()
            self._refresh_capacity(now)
            pool = self._pool(key, now)
            entry = pool.offer(work, now, decided.set, self._room(key, pool))
            self._start(pool)
            self._show(key, pool)
        if entry.is_started:
            return entry
        decided.wait(max(0.0, entry.start_deadline - now))
        with self._lock:
            if entry.is_started:
                return entry
            refusal = entry.refusal or pool.refuse_late(entry)
            self._show(key, pool)
        raise refusal

    def _start(self, pool):
        for entry in pool.take(self._clock.monotonic()):
            entry.on_decision()

    def _room(self, key, pool):
        """Return how many requests may wait in a pool now."""
        kept = self._threads // (2 * max(2, len(self._pools)))
        others = sum(
            max(kept, other.running + other.waiting)
            for name, other in self._pools.items()
            if name != key
        )
        if len(self._pools) < 2:
            others = kept
        return self._threads - others - pool.running

    def _pool(self, key, now):
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = PoolScheduler(self._bounds, now)
            self._resize(key, pool)
        return pool

    def _refresh_capacity(self, now):
        if now < self._capacity_deadline:
            return
        self._capacity_deadline = now + CAPACITY_SECONDS
        for key, pool in self._pools.items():
            self._resize(key, pool)

    def _resize(self, key, pool):
        capacity = pool_capacity(self._table().usable(*key))
        if capacity is not None:
            pool.limit.resize(capacity.streams, self._hosts())
            pool.first_seconds = FIRST_TOKEN_STEPS * capacity.token_seconds

    def _show(self, key, pool):
        self._metrics.show(key, pool)
