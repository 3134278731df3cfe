"""Policy of the request path: target choice, admission and retries."""

from apricotseam.admission import FairAdmission
from apricotseam.admission import SharedLimits
from apricotseam.external import HttpModelEngine
from apricotseam.routing import build_chooser
from apricotseam.routing import count_retry
from apricotseam.routing import LinkDistances
from apricotseam.routing import ObservedEngine
from apricotseam.routing import RetryPolicy


class RequestPolicy:
    """Components that decide how requests are handled.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    snapshots : Snapshots
        Current configuration, targets and members.
    http : HttpClient
        HTTP client for the engines.
    plans : ChainPlans
        Weighted chains of each group.
    transport : PeerTransport
        Exchanges messages between hosts.
    """

    __slots__ = ("admission", "chooser", "engine", "limits", "retries")

    def __init__(self, settings, clock, snapshots, http, plans, transport):
        self.chooser = build_chooser(
            settings.choice,
            host=settings.host,
            zone=settings.availability_zone,
            clock=clock,
            distances=LinkDistances(lambda: snapshots.configuration),
            hosts=snapshots.count_entry_hosts,
            plans=plans,
        )
        self.limits = SharedLimits(
            transport,
            clock,
            members=snapshots.live_peers,
            fleet=snapshots.count_fleet,
        )
        self.admission = FairAdmission(
            settings.bounds,
            clock,
            limits=self.limits,
            table=lambda: snapshots.targets,
            hosts=snapshots.count_entry_hosts,
        )
        self.retries = RetryPolicy(clock, on_retry=count_retry)
        self.engine = ObservedEngine(
            HttpModelEngine(http),
            self.chooser,
            clock,
            settings.bounds.report_lag_seconds,
            self.admission.observed,
        )
