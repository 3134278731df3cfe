"""Fakes of service and engines that fail at every call point."""

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ServiceUnavailableError
from apricotseam.errors import TargetError
from apricotseam.external import EngineReport
from apricotseam.external import KeyValueService
from apricotseam.external import ModelEngine
from apricotseam.external import Versioned
from apricotseam.orders._lease import LEASE_SECONDS


class Chaos:
    """Faults in the order in which the call points meet them.

    ``before``: lost before its effect; ``after``: its answer lost;
    ``late``: lost now, takes effect later. A callable is run before the
    call, as if the caller were paused between its check and the call.
    """

    def __init__(self):
        self.faults = []
        self.late = []

    def call(self, action):
        """Carry out one call under the next fault."""
        fault = self.faults.pop(0) if self.faults else "ok"
        if callable(fault):
            fault()
        if fault == "refused":
            raise ServiceUnavailableError("down", "wait")
        if fault == "late":
            self.late.append(action)
        if fault in ("before", "late"):
            raise AnswerLostError("lost", "read back")
        result = action()
        if isinstance(fault, Later):
            fault.action()
        if fault == "after":
            raise AnswerLostError("lost", "read back")
        return result

    def deliver_late(self):
        """Let what was delayed take its effect."""
        late, self.late = self.late, []
        for action in late:
            try:
                action()
            except (TargetError, ServiceUnavailableError):
                continue


class Later:
    """A pause between the effect of a call and its return."""

    def __init__(self, action):
        self.action = action


class FakeLeases(KeyValueService):
    """Keys with versions that rise over all, and leases that lapse."""

    def __init__(self, chaos, clock):
        self._chaos = chaos
        self._clock = clock
        self._revision = 0
        self._next_lease = 1
        self._keys = {}
        self._ends = {}

    def get(self, key):
        return self._chaos.call(lambda: self.read(key))

    def read(self, key):
        """Return what stands, without a fault."""
        found = self._keys.get(key)
        if found is None or self._clock.monotonic() >= self._ends[found[1]]:
            return None
        return found[0]

    def compare_and_swap(self, key, version, value, lease=None):
        return self._chaos.call(lambda: self._swap(key, version, value, lease))

    def _swap(self, key, version, value, lease):
        if self._clock.monotonic() >= self._ends.get(lease, 0):
            raise ServiceUnavailableError("no such lease", "grant another")
        found = self.read(key)
        if (found.version if found else 0) != version:
            return 0
        self._revision += 1
        self._keys[key] = (Versioned(key, value, self._revision), lease)
        return self._revision

    def grant_lease(self, seconds):
        return self._chaos.call(lambda: self._grant(seconds))

    def _grant(self, seconds):
        self._next_lease += 1
        self._ends[self._next_lease] = self._clock.monotonic() + seconds
        return self._next_lease

    def keep_alive(self, lease):
        return self._chaos.call(lambda: self._renew(lease))

    def _renew(self, lease):
        if self._clock.monotonic() >= self._ends.get(lease, 0):
            return False
        self._ends[lease] = self._clock.monotonic() + LEASE_SECONDS
        return True

    def revoke(self, lease):
        return self._chaos.call(lambda: self._ends.pop(lease, None))

    def get_prefix(self, prefix):
        raise NotImplementedError

    put = delete = watch = get_prefix


class FakeEngines(ModelEngine):
    """Targets of one layer range each that load at once.

    Parameters
    ----------
    chaos : Chaos
        Faults of the calls.
    clock : Clock
        Source of time.
    ranges : dict of str to (int, int)
        Layers by address.
    checks : bool
        Whether the targets refuse an old fencing number.
    """

    def __init__(self, chaos, clock, ranges, checks):
        self._chaos = chaos
        self._clock = clock
        self._checks = checks
        self._fencing = dict.fromkeys(ranges, 0)
        self.versions = dict.fromkeys(ranges, "v1")
        self._ranges = ranges
        self.taken = []
        self.pause_before_order = None

    def report(self, address, deadline):
        return self._chaos.call(lambda: self._report(address))

    def _report(self, address):
        first, last = self._ranges[address]
        return EngineReport(
            name=address,
            model="m",
            version=self.versions[address],
            first=first,
            last=last,
            accelerator="k",
            queued_steps=0,
            running_streams=0,
            max_batch=1,
            step_seconds=0.0,
        )

    def order(self, address, order, deadline):
        assert order.deadline > self._clock.wall()
        pause, self.pause_before_order = self.pause_before_order, None
        if pause is not None:
            pause()
        return self._chaos.call(lambda: self._take(address, order))

    def _take(self, address, order):
        if self._checks:
            is_old = order.fencing < self._fencing[address]
            if is_old or order.deadline < self._clock.wall():
                raise TargetError("void", "read the lease")
        self._fencing[address] = order.fencing
        self.versions[address] = order.version
        self.taken.append((address, order.fencing, order.version))

    def run_steps(self, address, steps, deadline):
        raise NotImplementedError

    position = export_cache = import_cache = run_steps
    cancel = cache_events = run_steps
