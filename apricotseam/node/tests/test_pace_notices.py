"""Notices of paces, from what a host observes to what its peers apply."""

import types

import prometheus_client
import pytest

from apricotseam.chains import Ledger
from apricotseam.chains.tests.profiles import PROFILE
from apricotseam.fleet import Fleet
from apricotseam.fleet import PaceNotice
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding import ForwardingContext
from apricotseam.forwarding import RequestMetrics
from apricotseam.forwarding import RequestQueue
from apricotseam.forwarding import TargetSelector
from apricotseam.node._pace_notices import MAX_PACE_NOTICES
from apricotseam.node._pace_notices import PaceNotices
from apricotseam.routes import LoadPolicy
from apricotseam.routes import RouteTable
from apricotseam.routes import Service
from apricotseam.routes import Switch

WALL_SECONDS = 1e6
BORN_MS = 7


class PacedHost:
    """One host with targets that have been running for long."""

    def __init__(self, pacing=Switch.ON, targets=1):
        self.now = 100.0
        self.registry = prometheus_client.CollectorRegistry()
        fleet = Fleet()
        self.context = ForwardingContext(
            fleet,
            Ledger(),
            TargetSelector(fleet, Ledger(), "z"),
            None,
            types.SimpleNamespace(requests_per_second=None),
            RequestMetrics(self.registry),
            RequestQueue(lambda: self.now),
            lambda: self.now,
            lambda: WALL_SECONDS + self.now,
        )
        self.context.load_policy = LoadPolicy(
            start_estimates=Switch.ON, pacing=pacing
        )
        services = [Service(name="s", engine=PROFILE)]
        self.context.table = RouteTable(services=services)
        self.notices = PaceNotices(self.context, lambda: self.now)
        for number in range(targets):
            self.find(f"t{number}")

    def find(self, identity, born_ms=BORN_MS):
        """Add a target and return its pace."""
        fields = {"service": "s", "address": identity, "zone": "z"}
        self.context.fleet.update(
            TargetRecord(identity=identity, born_ms=born_ms, **fields)
        )
        return self.pace(identity)

    def pace(self, identity="t0"):
        """Return the pace of a target."""
        return self.context.fleet.get(identity).pace

    def start_late(self, identity="t0"):
        """Let a first event come too late."""
        self.pace(identity).record_start(0.6, 0.5, self.now)


# Guards against notices that are sent for no change, or forever. Whether
# pacing is on, seconds since an answer was late, whether that is told.
TOLD = [
    (Switch.ON, 0.5, True),
    (Switch.ON, 5.0, False),
    (Switch.OFF, 0.5, False),
]


@pytest.mark.parametrize(("pacing", "seconds", "is_told"), TOLD)
def test_recent_changes_are_told(pacing, seconds, is_told):
    host = PacedHost(pacing, targets=2)
    host.start_late()
    host.now += seconds
    notice = PaceNotice(BORN_MS, 250.0, True, seconds)
    assert host.notices.own() == ({"t0": notice} if is_told else {})


def test_a_message_has_the_latest_changes_only():
    """Guards against messages that grow with the fleet."""
    host = PacedHost(targets=MAX_PACE_NOTICES + 2)
    for number in range(MAX_PACE_NOTICES + 2):
        host.now += 0.01
        host.start_late(f"t{number}")
    told = host.notices.own()
    assert len(told) == MAX_PACE_NOTICES
    assert not {"t0", "t1"} & set(told)


# Guards against a pace of a former process, or one that a host applies
# whose service is not paced. Whether pacing is on, target and start time in
# the notice, whether the target is limited by it.
APPLIED = [
    (Switch.ON, "t0", BORN_MS, True),
    (Switch.OFF, "t0", BORN_MS, False),
    (Switch.ON, "t0", BORN_MS - 1, False),
    (Switch.ON, "unknown", BORN_MS, False),
]


@pytest.mark.parametrize(("pacing", "identity", "born_ms", "is_set"), APPLIED)
def test_notices_of_peers(pacing, identity, born_ms, is_set):
    host = PacedHost(pacing)
    host.notices.apply({identity: PaceNotice(born_ms, 150.0, True, 0.2)})
    assert host.pace().is_limited is is_set
    # Reports repeat it, with its true age; own states do not.
    assert host.notices.own() == {}
    host.now += 0.1
    known = PaceNotice(BORN_MS, 150.0, True, 0.3)
    assert host.notices.known() == ({"t0": known} if is_set else {})
    value = host.registry.get_sample_value
    changes = value("apricotseam_pace_changes_total", {"cause": "peer"})
    assert (changes == 1) is is_set
    assert value("apricotseam_paced_targets") == is_set


# Guards against a fleet that is paced when a host starts, and against new
# processes that are not. Seconds after the start, age of the process by its
# record, whether its pace begins.
FOUND = [
    (0.5, 60.0, False),
    (0.5, 9.0, True),
    (3.0, 60.0, True),
    (3.0, 9.0, True),
]


@pytest.mark.parametrize(("seconds", "age", "is_limited"), FOUND)
def test_new_processes_are_paced(seconds, age, is_limited):
    host = PacedHost()
    host.now += seconds
    born_ms = round((WALL_SECONDS + host.now - age) * 1000)
    assert host.find("new", born_ms).is_limited is is_limited
    assert not host.pace().is_limited
