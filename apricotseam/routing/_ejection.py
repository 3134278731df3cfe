"""Circuit for each target: ejection, half-open trials and slow start."""

import collections

import msgspec

from apricotseam.routing._metrics import EJECTED
from apricotseam.routing._metrics import EJECTIONS
from apricotseam.routing._metrics import pool_label

MAX_TARGETS = 4096
FAILURES_TO_EJECT = 3
MAX_EJECTED_SHARE = 0.34
EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
TRIAL_SECONDS = 2.0
SLOW_START_SECONDS = 10.0
SLOW_START_SHARE = 0.2


class Circuit(msgspec.Struct):
    """State of one target's circuit.

    ``retry_deadline`` is the time from which a trial is allowed while the
    target is ejected; ``warm_deadline`` ends its slow start.
    """

    pool: tuple
    failures: int = 0
    ejections: int = 0
    is_ejected: bool = False
    retry_deadline: float = 0.0
    trial_deadline: float = 0.0
    warm_deadline: float = 0.0


class OutlierEjector:
    """Ejects failing targets, but never more than a share of a pool.

    Parameters
    ----------
    generator : random.Random
        Source of jitter.

    Examples
    --------
    >>> import random
    >>> ejector = OutlierEjector(random.Random(1))
    >>> for _ in range(FAILURES_TO_EJECT):
    ...     ejector.failed("a", ("s", "g"), 3, 10.0)
    >>> ejector.may_use("a", 10.0)
    False
    """

    __slots__ = ("_circuits", "_ejected", "_random")

    def __init__(self, generator):
        self._random = generator
        self._circuits = collections.OrderedDict()
        self._ejected = collections.Counter()

    def ejected(self, pool):
        """Return how many targets of a pool are ejected."""
        return self._ejected[pool]

    def may_use(self, address, now):
        """Return whether a target may get work, also as a trial."""
        circuit = self._circuits.get(address)
        if circuit is None or not circuit.is_ejected:
            return True
        return max(circuit.retry_deadline, circuit.trial_deadline) <= now

    def chosen(self, address, now):
        """Note that a target gets work; a half-open one gets no second."""
        circuit = self._circuits.get(address)
        if circuit is not None and circuit.is_ejected:
            circuit.trial_deadline = now + TRIAL_SECONDS

    def joined(self, address, pool, now):
        """Begin the slow start of a target that is new."""
        self._circuit(address, pool).warm_deadline = now + SLOW_START_SECONDS

    def warmth(self, address, now):
        """Return the share of full work that a target should get."""
        circuit = self._circuits.get(address)
        if circuit is None or circuit.warm_deadline <= now:
            return 1.0
        left = (circuit.warm_deadline - now) / SLOW_START_SECONDS
        return max(SLOW_START_SHARE, 1.0 - min(left, 1.0))

    def succeeded(self, address, now):
        """Note a success; it ends an ejection."""
        circuit = self._circuits.get(address)
        if circuit is None:
            return
        circuit.failures = 0
        if circuit.is_ejected:
            self._readmit(circuit)
            circuit.warm_deadline = now + SLOW_START_SECONDS
        elif circuit.warm_deadline <= now:
            circuit.ejections = 0

    def failed(self, address, pool, pool_size, now):
        """Note a failure; enough of them eject the target.

        Parameters
        ----------
        address : str
            The target.
        pool : tuple of str
            Scope and group that it belongs to.
        pool_size : int
            Number of targets in the pool.
        now : float
            Monotonic time.
        """
        circuit = self._circuit(address, pool)
        circuit.failures += 1
        if circuit.is_ejected:
            self._extend(circuit, now)
        elif circuit.failures >= FAILURES_TO_EJECT:
            allowed = int(pool_size * MAX_EJECTED_SHARE)
            if self._ejected[pool] < allowed:
                circuit.is_ejected = True
                self._ejected[pool] += 1
                EJECTIONS.labels(pool_label(*pool)).inc()
                EJECTED.labels(pool_label(*pool)).inc()
                self._extend(circuit, now)

    def _extend(self, circuit, now):
        circuit.ejections += 1
        seconds = EJECTION_SECONDS * 2 ** min(circuit.ejections - 1, 10)
        seconds = min(seconds, MAX_EJECTION_SECONDS)
        jitter = self._random.uniform(0.75, 1.25)
        circuit.retry_deadline = now + seconds * jitter
        circuit.trial_deadline = 0.0

    def _readmit(self, circuit):
        circuit.is_ejected = False
        self._ejected[circuit.pool] -= 1
        EJECTED.labels(pool_label(*circuit.pool)).dec()
        if not self._ejected[circuit.pool]:
            del self._ejected[circuit.pool]

    def _circuit(self, address, pool):
        circuit = self._circuits.get(address)
        if circuit is None:
            circuit = self._circuits[address] = Circuit(pool)
            if len(self._circuits) > MAX_TARGETS:
                _, old = self._circuits.popitem(last=False)
                if old.is_ejected:
                    self._readmit(old)
        return circuit
