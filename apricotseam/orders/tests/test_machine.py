"""Leases, fencing and reconciliation as a state machine."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from apricotseam.clock import ManualClock
from apricotseam.config import Fencing
from apricotseam.errors import ApricotseamError
from apricotseam.orders import GroupIntent
from apricotseam.orders import GroupOrderer
from apricotseam.orders import OrderLease
from apricotseam.orders.tests.fakes import Chaos
from apricotseam.orders.tests.fakes import FakeEngines
from apricotseam.orders.tests.fakes import FakeLeases
from apricotseam.orders.tests.fakes import Later
from apricotseam.orders import Wanted

RANGES = {"a1": (0, 1), "b1": (2, 3), "a2": (0, 1), "b2": (2, 3)}
KEY = "/orders/s/g"
FAULTS = st.sampled_from(
    ["ok", "ok", "wake", "pause", "turn", "after", "late", "before", "refused"]
)
PAUSE_SECONDS = 8.0
HOSTS = st.integers(0, 1)


class Host:
    """The real code of one orderer between the fakes."""

    def __init__(self, number, leases, engines, clock):
        self.number = number
        self.lease = OrderLease(leases, clock, KEY, f"h{number}")
        self.orderer = GroupOrderer(self.lease, engines, None, clock)
        self.seen = "v1"


class Orders(stateful.RuleBasedStateMachine):
    """Two hosts on duty that die, pause and lose answers."""

    checks = True

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(1000.0)
        self.chaos = Chaos()
        self.leases = FakeLeases(self.chaos, self.clock)
        self.engines = FakeEngines(self.chaos, self.clock, RANGES, self.checks)
        self.declared = "v1"
        self.hosts = [self._host(0), self._host(1)]

    def _host(self, number):
        return Host(number, self.leases, self.engines, self.clock)

    def _intent(self, version):
        wanted = [
            Wanted(
                target=name,
                address=name,
                model="m",
                version=version,
                first=first,
                last=last,
            )
            for name, (first, last) in RANGES.items()
        ]
        return GroupIntent(
            scope="s",
            group="g",
            layers=4,
            fencing=Fencing.CHECKED if self.checks else Fencing.IGNORED,
            loads_per_minute=600.0,
            wanted=wanted,
        )

    @stateful.rule(
        host=HOSTS,
        seconds=st.sampled_from([0.5, 2.5, 7.0]),
        version=st.sampled_from(["same", "v1", "v2", "v3"]),
        faults=st.lists(FAULTS, max_size=8),
    )
    def step(self, host, seconds, version, faults):
        self.clock.advance(seconds)
        if version != "same":
            self.declared = self.hosts[host].seen = version
        other = self.hosts[1 - host]

        def pause():
            left = self.chaos.faults
            self.chaos.faults = []
            self.clock.advance(PAUSE_SECONDS)
            self._step(other)
            self.clock.advance(PAUSE_SECONDS)
            self._step(other)
            self.chaos.faults = left

        def turn():
            left = self.chaos.faults
            self.chaos.faults = []
            self._step(other)
            self.chaos.faults = left

        actions = {"pause": pause, "turn": turn, "wake": Later(pause)}
        self.chaos.faults = [actions.get(fault, fault) for fault in faults]
        self._step(self.hosts[host])
        self.chaos.faults = []

    @stateful.rule(host=HOSTS)
    def replace(self, host):
        self.hosts[host] = self._host(host)

    @stateful.rule()
    def deliver_late(self):
        self.chaos.deliver_late()

    @stateful.invariant()
    def at_most_one_host_holds_the_lease(self):
        held = [host for host in self.hosts if host.lease.is_held]
        assert len(held) <= 1
        if held:
            found = self.leases.read(KEY)
            assert found is not None
            assert found.version == held[0].lease.fencing

    @stateful.invariant()
    def fencing_numbers_rise_at_targets_that_check(self):
        if not self.checks:
            return
        for name in RANGES:
            numbers = [
                f for target, f, _ in self.engines.taken if target == name
            ]
            assert numbers == sorted(numbers)

    @stateful.invariant()
    def some_version_has_a_chain_at_targets_that_check(self):
        versions = self.engines.versions
        if self.checks and not self.chaos.late:
            firsts = {versions["a1"], versions["a2"]}
            assert firsts & {versions["b1"], versions["b2"]}

    def teardown(self):
        """Without further faults, what is declared comes to run."""
        self.chaos.faults = []
        self.chaos.deliver_late()
        for host in self.hosts:
            host.seen = self.declared
        for _ in range(40):
            for host in self.hosts:
                self._step(host)
            self.clock.advance(0.5)
        assert set(self.engines.versions.values()) == {self.declared}

    def _step(self, host):
        try:
            host.orderer.step(self._intent(host.seen))
        except ApricotseamError:
            return


class OrdersToTargetsThatIgnore(Orders):
    """The same with targets that take any order."""

    checks = False


SETTINGS = hypothesis.settings(
    max_examples=300,
    stateful_step_count=8,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
Orders.TestCase.settings = SETTINGS
OrdersToTargetsThatIgnore.TestCase.settings = SETTINGS
test_orders_to_targets_that_check = Orders.TestCase
test_orders_to_targets_that_ignore = OrdersToTargetsThatIgnore.TestCase
