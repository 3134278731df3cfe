"""Orderers that take over, pause and meet targets of either kind."""

import pathlib

import pytest
import yaml

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

TRACES = pathlib.Path(__file__).parents[3] / "traces"
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


class Replay:
    """Two orderers that play one trace."""

    def __init__(self, trace):
        self.checks = trace["checks"]
        self.group = Group(self.checks)
        self.orderers = {"h1": self.group.first, "h2": self.group.second}

    def intent(self, version):
        """Return what a file with a version declares."""
        fencing = Fencing.CHECKED if self.checks else Fencing.IGNORED
        return intent_of(version, fencing)

    def play(self, step):
        """Carry out one step."""
        if "settle" in step:
            self.settle(self.orderers[step["settle"]], step["version"])
        elif "order" in step:
            self.order(step)
        else:
            stale = [v for _, _, v in self.group.engines.taken if v == "v2"]
            assert len(stale) == step["stale_orders_taken"]

    def settle(self, orderer, version):
        """Step an orderer for 20 seconds."""
        for _ in range(40):
            orderer.step(self.intent(version))
            self.group.clock.advance(0.5)

    def order(self, step):
        """Step an orderer that is paused just before its first order."""

        def pause():
            self.group.clock.advance(step["paused_seconds"])
            self.play(step["meanwhile"])

        self.group.engines.pause_before_order = pause
        self.orderers[step["order"]].step(self.intent(step["version"]))


@pytest.mark.parametrize(
    "path", sorted(TRACES.glob("orders-*.yaml")), ids=lambda p: p.stem
)
def test_trace(path):
    trace = yaml.safe_load(path.read_text())
    replay = Replay(trace)
    for step in trace["steps"]:
        replay.play(step)
    versions = set(replay.group.engines.versions.values())
    assert versions == set(trace["versions"])


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
