"""Child that reads cache events and the load of plain services."""

import time

import msgspec

from apricotseam.config import TargetKind
from apricotseam.errors import ApricotseamError
from apricotseam.routing import TargetLoad
from apricotseam.supervision import Child

LOADS_PERIOD_SECONDS = 0.5
MAX_CALLS_PER_SECOND = 20
CALL_TIMEOUT_SECONDS = 0.5
SERVICE_BATCH = 32
# A service states no time for a call; the chooser measures it.
UNKNOWN_SECONDS = 0.0


class ServiceReport(msgspec.Struct, kw_only=True):
    """Load of a plain service: 1 when it is fully used."""

    name: str
    load: float


class LoadsChild(Child):
    """Tells the chooser what engines cache and services report.

    Only the targets that this host routes to are read, and never more of
    them a second than the bound.

    Parameters
    ----------
    http : HttpClient
        Client towards plain services.
    policy : RequestPolicy
        Its engine gives the cache events, its chooser is told.
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
        """Read the sources until told to stop."""
        while not stopping.is_set():
            for target in self._chooser.watched(self._snapshots.targets):
                self._read(target)
                if stopping.wait(1.0 / MAX_CALLS_PER_SECOND):
                    return
            stopping.wait(LOADS_PERIOD_SECONDS)

    def _read(self, target):
        try:
            if target.kind is TargetKind.ENGINE:
                self._read_events(target)
            else:
                self._read_service(target)
        except ApricotseamError:
            return

    def _read_events(self, target):
        after = self._chooser.event_sequence(target.address)
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        self._engine.cache_events(target.address, after, deadline)

    def _read_service(self, target):
        answer = self._http.call(
            target.address,
            "GET",
            "/service/v1/report",
            deadline=time.monotonic() + CALL_TIMEOUT_SECONDS,
        )
        report = answer.json(ServiceReport)
        load = TargetLoad(
            running=round(report.load * SERVICE_BATCH),
            max_batch=SERVICE_BATCH,
            step_seconds=UNKNOWN_SECONDS,
            read_at=self._clock.monotonic(),
        )
        self._chooser.reported(target.address, load)
