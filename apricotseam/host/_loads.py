"""Supervised component that reads cache events and service loads."""

import time

import msgspec

from apricotseam.config import TargetKind
from apricotseam.errors import ApricotseamError
from apricotseam.routing import TargetLoad
from apricotseam.supervision import Child

READ_PERIOD_SECONDS = 0.5
MAX_CALLS_PER_SECOND = 20
CALL_TIMEOUT_SECONDS = 0.5
# A plain service reports its load as a fraction; it is converted as if the
# service ran this many requests at once.
ASSUMED_SERVICE_BATCH = 32
# A plain service reports no time per call; the chooser measures it.
UNKNOWN_STEP_SECONDS = 0.0


class ServiceReport(msgspec.Struct, kw_only=True):
    """Report of a plain service; a load of 1 means fully used."""

    name: str
    load: float


class LoadsChild(Child):
    """Reads engines' cache events and services' loads for the chooser.

    Only targets that this host may route to are read, at most
    ``MAX_CALLS_PER_SECOND`` of them per second.

    Parameters
    ----------
    http : HttpClient
        Client towards plain services.
    policy : RequestPolicy
        Provides the engine client and the chooser.
    snapshots : Snapshots
        The targets.
    clock : Clock
        Source of time.
    """

    name = "loads"

    def __init__(self, http, policy, snapshots, clock):
        self._http = http
        self._engine = policy.engine
        self._chooser = policy.chooser
        self._snapshots = snapshots
        self._clock = clock

    def run(self, stopping):
        """Read the targets in turn until told to stop."""
        while not stopping.is_set():
            for target in self._chooser.watched(self._snapshots.targets):
                self._read(target)
                if stopping.wait(1.0 / MAX_CALLS_PER_SECOND):
                    return
            stopping.wait(READ_PERIOD_SECONDS)

    def _read(self, target):
        try:
            if target.kind is TargetKind.ENGINE:
                self._read_cache_events(target)
            else:
                self._read_service_load(target)
        except ApricotseamError:
            return

    def _read_cache_events(self, target):
        after = self._chooser.event_sequence(target.address)
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        self._engine.cache_events(target.address, after, deadline)

    def _read_service_load(self, target):
        answer = self._http.call(
            target.address,
            "GET",
            "/service/v1/report",
            deadline=time.monotonic() + CALL_TIMEOUT_SECONDS,
        )
        report = answer.json(ServiceReport)
        load = TargetLoad(
            running=round(report.load * ASSUMED_SERVICE_BATCH),
            max_batch=ASSUMED_SERVICE_BATCH,
            step_seconds=UNKNOWN_STEP_SECONDS,
            read_at=self._clock.monotonic(),
        )
        self._chooser.reported(target.address, load)
