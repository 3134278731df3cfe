"""Orderers that take over, pause and meet targets of either kind."""

import pytest

from apricotseam.clock import ManualClock
from apricotseam.config import Fencing
from apricotseam.orders._orderer import ORDER_SECONDS
from apricotseam.orders import GroupIntent
from apricotseam.orders import GroupOrderer
from apricotseam.orders import OrderLease
from apricotseam.orders.tests.fakes import Chaos
from apricotseam.orders.tests.fakes import FakeEngines
from apricotseam.orders.tests.fakes import FakeLeases
from apricotseam.orders import Wanted

RANGES = {"w1": (0, 3), "w2": (0, 3)}


def intent_of(version, fencing=Fencing.IGNORED, loads=600.0):
    """Return an intent for two targets that hold all layers."""
    wanted = [
        Wanted(
            target=name,
            address=name,
            model="m",
            version=version,
            first=0,
            last=3,
        )
        for name in RANGES
    ]
    return GroupIntent(
        scope="s",
        group="g",
        layers=4,
        fencing=fencing,
        loads_per_minute=loads,
        wanted=wanted,
    )


class Group:
    """Two orderers before the fakes."""

    def __init__(self, checks=False):
        self.clock = ManualClock(1000.0)
        self.chaos = Chaos()
        self.leases = FakeLeases(self.chaos, self.clock)
        self.engines = FakeEngines(self.chaos, self.clock, RANGES, checks)
        self.first = self.orderer("h1")
        self.second = self.orderer("h2")

    def orderer(self, host):
        """Return a new orderer of the group."""
        lease = OrderLease(self.leases, self.clock, "/k", host)
        return GroupOrderer(lease, self.engines, None, self.clock)


@pytest.mark.parametrize(
    ("fencing", "seconds", "is_quiet"),
    [
        (Fencing.IGNORED, 0.0, True),
        (Fencing.IGNORED, ORDER_SECONDS - 0.1, True),
        (Fencing.IGNORED, ORDER_SECONDS, False),
        (Fencing.CHECKED, 0.0, False),
    ],
)
def test_a_new_orderer_waits_out_the_one_before(fencing, seconds, is_quiet):
    group = Group()
    intent = intent_of("v2", fencing)
    first = group.first.step(intent)
    group.clock.advance(seconds)
    later = group.first.step(intent) if seconds else first
    assert (later is None) == is_quiet


@pytest.mark.parametrize("checks", [True, False])
def test_a_paused_orderer_that_wakes_is_corrected(checks):
    group = Group(checks)
    fencing = Fencing.CHECKED if checks else Fencing.IGNORED
    old, new = intent_of("v2", fencing), intent_of("v3", fencing)

    def settle(orderer, intent):
        for _ in range(40):
            orderer.step(intent)
            group.clock.advance(0.5)

    def pause():
        group.clock.advance(20.0)
        settle(group.second, new)

    settle(group.first, intent_of("v1", fencing))
    group.engines.pause_before_order = pause
    group.first.step(old)
    settle(group.second, new)
    assert set(group.engines.versions.values()) == {"v3"}
    stale = [f for _, f, v in group.engines.taken if v == "v2"]
    assert bool(stale) != checks


def test_loads_stay_within_the_rate():
    group = Group()
    times = []
    for step in range(400):
        version = "v2" if step % 40 < 20 else "v3"
        plan = group.first.step(intent_of(version, Fencing.CHECKED, 6.0))
        times.extend([group.clock.monotonic()] * plan.loads)
        group.clock.advance(0.5)
    assert len(times) > 6
    for begun in times:
        window = [t for t in times if begun <= t < begun + 60.0]
        assert len(window) <= 6
