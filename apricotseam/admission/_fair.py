"""Admission with fair queues; a waiting request blocks its thread."""

import threading

from apricotseam.admission._admission import Admission
from apricotseam.admission._admission import Permit
from apricotseam.admission._capacity import pool_capacity
from apricotseam.admission._limits import UnlimitedCustomers
from apricotseam.admission._metrics import PoolMetrics
from apricotseam.admission._pool import PoolScheduler
from apricotseam.admission._pool import QueueBounds
from apricotseam.errors import LimitExceededError
from apricotseam.errors import RefusedError
from apricotseam.routing import TargetTable

CAPACITY_REFRESH_SECONDS = 1.0
# One in this many caller threads is kept free of requests.
SPARE_THREADS_DIVISOR = 8
MIN_SPARE_THREADS = 2
# Expected time to the first token, in multiples of the time per token.
FIRST_TOKEN_STEPS = 2.0


class FairPermit(Permit):
    """Permit of `FairAdmission`; closing it again has no effect."""

    __slots__ = ("_admission", "_entry")

    def __init__(self, admission, entry):
        self._admission = admission
        self._entry = entry

    def close(self, tokens=0):
        """Release the permit."""
        entry, self._entry = self._entry, None
        if entry is not None:
            self._admission.end(entry, tokens)


class FairAdmission(Admission):
    """Admits by priority, fair share, customers' limits and capacity.

    Each group of targets has its own scheduler. A waiting request blocks
    its caller's thread. The number of requests in all pools is therefore
    kept below the number of threads, and a part of the threads is reserved
    for each pool.

    Parameters
    ----------
    bounds : Bounds
        Bounds of the process, among them the number of caller threads.
    clock : Clock
        Source of time.
    limits : CustomerLimits, optional
        Limits of each customer.
    table : callable, optional
        Returns the current `TargetTable`.
    hosts : callable, optional
        Returns the number of live entry hosts.
    """

    def __init__(self, bounds, clock, limits=None, table=None, hosts=None):
        self._bounds = QueueBounds(
            requests=bounds.queued_requests, size_bytes=bounds.queued_bytes
        )
        spare = max(
            MIN_SPARE_THREADS, bounds.caller_threads // SPARE_THREADS_DIVISOR
        )
        self._request_threads = max(1, bounds.caller_threads - spare)
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
            self._acquire_limits(key, work)
            try:
                entry = self._wait_for_start(key, work)
            except BaseException:
                self._limits.cancel(work)
                raise
        except RefusedError as error:
            self._metrics.count_refusal(key, error.code)
            raise
        return FairPermit(self, entry)

    def end(self, entry, tokens):
        """Record that an admitted request ended and start waiting ones."""
        work = entry.work
        key = (work.scope, work.pool)
        with self._lock:
            pool = self._pools[key]
            pool.ended(entry, tokens)
            self._start_ready(pool)
            self._update_metrics(key, pool)
        self._limits.release(work, tokens)

    def observed(self, address, is_success, seconds):
        """Record the duration in seconds of a successful call to a target."""
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
            self._start_ready(pool)

    def _acquire_limits(self, key, work):
        """Count a request against its customer's limits.

        A request whose deadline cannot be met is refused for that reason,
        even if it passes while the customer's share is asked for.
        """
        self._check_deadline(key, work)
        try:
            self._limits.acquire(work)
        except LimitExceededError:
            self._check_deadline(key, work)
            raise

    def _check_deadline(self, key, work):
        with self._lock:
            now = self._clock.monotonic()
            self._pool(key, now).check_deadline(work, now)

    def _wait_for_start(self, key, work):
        decided = threading.Event()
        with self._lock:
            now = self._clock.monotonic()
            self._refresh_capacity(now)
            pool = self._pool(key, now)
            entry = pool.offer(
                work, now, decided.set, self._max_waiting(key, pool)
            )
            self._start_ready(pool)
            self._update_metrics(key, pool)
        if entry.is_started:
            return entry
        decided.wait(max(0.0, entry.start_deadline - now))
        with self._lock:
            if entry.is_started:
                return entry
            refusal = entry.refusal or pool.refuse_late(entry)
            self._update_metrics(key, pool)
        raise refusal

    def _start_ready(self, pool):
        for entry in pool.take(self._clock.monotonic()):
            entry.on_decision()

    def _max_waiting(self, key, pool):
        """Return how many requests may wait in a pool at present.

        Every other pool counts with the threads it occupies, but at least
        with those reserved for it. With a single pool, threads are
        reserved for a second one that may appear.
        """
        reserved = self._request_threads // (2 * max(2, len(self._pools)))
        others = sum(
            max(reserved, other.running + other.waiting)
            for name, other in self._pools.items()
            if name != key
        )
        if len(self._pools) < 2:
            others = reserved
        return self._request_threads - others - pool.running

    def _pool(self, key, now):
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = PoolScheduler(self._bounds, now)
            self._resize(key, pool)
        return pool

    def _refresh_capacity(self, now):
        if now < self._capacity_deadline:
            return
        self._capacity_deadline = now + CAPACITY_REFRESH_SECONDS
        for key, pool in self._pools.items():
            self._resize(key, pool)

    def _resize(self, key, pool):
        capacity = pool_capacity(self._table().usable(*key))
        if capacity is not None:
            pool.limit.resize(capacity.streams, self._hosts())
            pool.first_token_delay_seconds = (
                FIRST_TOKEN_STEPS * capacity.token_seconds
            )

    def _update_metrics(self, key, pool):
        self._metrics.update(key, pool)
