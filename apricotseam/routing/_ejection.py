"""Circuit breaker of each target: ejection, trials and slow start."""

import collections

import msgspec

from apricotseam.routing._metrics import EJECTED
from apricotseam.routing._metrics import EJECTIONS
from apricotseam.routing._metrics import pool_label

MAX_TARGETS = 4096
FAILURES_TO_EJECT = 3
# Slightly more than a third: one target of three may be ejected.
MAX_EJECTED_SHARE = 0.34
# Time from the ejection to the first trial.
EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
TRIAL_SECONDS = 2.0
SLOW_START_SECONDS = 10.0
INITIAL_SLOW_START_SHARE = 0.2


class CircuitBreaker(msgspec.Struct):
    """State of one target's circuit breaker.

    ``pool`` is the target's scope and group. ``failures`` counts failures
    in a row. ``ejections`` counts ejections and further failures while
    ejected; each doubles the time to the next trial. Times are monotonic,
    in seconds. While the target is ejected, a trial is allowed from
    ``trial_start`` on; no other trial starts before ``trial_deadline``.
    ``slow_start_end`` is the end of its slow start.
    """

    pool: tuple
    failures: int = 0
    ejections: int = 0
    is_ejected: bool = False
    trial_start: float = 0.0
    trial_deadline: float = 0.0
    slow_start_end: float = 0.0


class OutlierEjector:
    """Ejects failing targets, up to `MAX_EJECTED_SHARE` of a pool.

    Parameters
    ----------
    generator : random.Random
        Source of jitter.

    Examples
    --------
    >>> import random
    >>> ejector = OutlierEjector(random.Random(1))
    >>> for _ in range(FAILURES_TO_EJECT):
    ...     ejector.record_failure("a", ("s", "g"), 3, 10.0)
    >>> ejector.may_route_to("a", 10.0)
    False
    """

    __slots__ = ("_breakers", "_ejected", "_random")

    def __init__(self, generator):
        self._random = generator
        self._breakers = collections.OrderedDict()
        self._ejected = collections.Counter()

    def ejected(self, pool):
        """Return the number of ejected targets in a pool."""
        return self._ejected[pool]

    def may_route_to(self, address, now):
        """Return whether a target may get work, including as a trial."""
        breaker = self._breakers.get(address)
        if breaker is None or not breaker.is_ejected:
            return True
        return max(breaker.trial_start, breaker.trial_deadline) <= now

    def record_choice(self, address, now):
        """Record that a target was chosen for work.

        If it is ejected, this is its trial, and no second one is allowed
        until the trial succeeds, fails or times out.
        """
        breaker = self._breakers.get(address)
        if breaker is not None and breaker.is_ejected:
            breaker.trial_deadline = now + TRIAL_SECONDS

    def begin_slow_start(self, address, pool, now):
        """Begin the slow start of a new target."""
        self._breaker(address, pool).slow_start_end = now + SLOW_START_SECONDS

    def slow_start_share(self, address, now):
        """Return the fraction of normal load that a target should get."""
        breaker = self._breakers.get(address)
        if breaker is None or breaker.slow_start_end <= now:
            return 1.0
        left = (breaker.slow_start_end - now) / SLOW_START_SECONDS
        return max(INITIAL_SLOW_START_SHARE, 1.0 - min(left, 1.0))

    def record_success(self, address, now):
        """Record a success; it ends an ejection."""
        breaker = self._breakers.get(address)
        if breaker is None:
            return
        breaker.failures = 0
        if breaker.is_ejected:
            self._readmit(breaker)
            breaker.slow_start_end = now + SLOW_START_SECONDS
        elif breaker.slow_start_end <= now:
            breaker.ejections = 0

    def record_failure(self, address, pool, pool_size, now):
        """Record a failure; `FAILURES_TO_EJECT` in a row eject the target.

        Parameters
        ----------
        address : str
            The target.
        pool : tuple of str
            Scope and group of the target.
        pool_size : int
            Number of targets in the pool.
        now : float
            Monotonic time in seconds.
        """
        breaker = self._breaker(address, pool)
        breaker.failures += 1
        if breaker.is_ejected:
            self._set_next_trial(breaker, now)
        elif breaker.failures >= FAILURES_TO_EJECT:
            allowed = int(pool_size * MAX_EJECTED_SHARE)
            if self._ejected[pool] < allowed:
                breaker.is_ejected = True
                self._ejected[pool] += 1
                EJECTIONS.labels(pool_label(*pool)).inc()
                EJECTED.labels(pool_label(*pool)).inc()
                self._set_next_trial(breaker, now)

    def _set_next_trial(self, breaker, now):
        breaker.ejections += 1
        seconds = EJECTION_SECONDS * 2 ** min(breaker.ejections - 1, 10)
        seconds = min(seconds, MAX_EJECTION_SECONDS)
        jitter = self._random.uniform(0.75, 1.25)
        breaker.trial_start = now + seconds * jitter
        breaker.trial_deadline = 0.0

    def _readmit(self, breaker):
        breaker.is_ejected = False
        self._ejected[breaker.pool] -= 1
        EJECTED.labels(pool_label(*breaker.pool)).dec()
        if not self._ejected[breaker.pool]:
            del self._ejected[breaker.pool]

    def _breaker(self, address, pool):
        breaker = self._breakers.get(address)
        if breaker is None:
            breaker = self._breakers[address] = CircuitBreaker(pool)
            if len(self._breakers) > MAX_TARGETS:
                _, old = self._breakers.popitem(last=False)
                if old.is_ejected:
                    self._readmit(old)
        return breaker
