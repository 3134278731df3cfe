"""Tests of the membership protocol over a simulated network."""

import pathlib
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest
import yaml

from apricotseam.membership._messages import Ping
from apricotseam.membership import Member
from apricotseam.membership import Membership
from apricotseam.membership import MemberState

TICK_SECONDS = 0.2
MAX_TICKS_TO_CONVERGE = 300


class Network:
    """Simulated network of hosts, with loss, pauses and partitions."""

    def __init__(self, seed=1, loss=0.0):
        self.now = 100.0
        self.random = random.Random(seed)
        self.loss = loss
        self.hosts = {}
        self.paused = set()
        self.partition_of = {}
        self.sent = 0
        self._incarnation = 0

    def add(self, address, seeds, incarnation=None):
        """Start a process at an address, replacing any earlier one."""
        self._incarnation += 10
        own = Member(
            name=f"host-{address}",
            peers_address=address,
            callers_address=f"c-{address}",
            operators_address=f"o-{address}",
            availability_zone="zone-a",
            incarnation=incarnation or self._incarnation,
        )
        host = Membership(own, random.Random(self._incarnation), self.now)
        host.set_seeds(seeds)
        self.hosts[address] = host
        self.paused.discard(address)

    def remove(self, address):
        """Kill the process at an address."""
        del self.hosts[address]

    def run(self, ticks=1):
        """Advance the time by ticks and run every host that is not paused."""
        for _ in range(ticks):
            self.now += TICK_SECONDS
            for address in list(self.hosts):
                if address not in self.paused:
                    pairs = self.hosts[address].tick(self.now)
                    self.deliver(address, pairs)

    def deliver(self, sender, pairs):
        """Deliver messages and all messages sent in response."""
        queue = [(sender, *pair) for pair in pairs]
        while queue:
            source, address, message = queue.pop(0)
            self.sent += 1
            if self._is_lost(source, address):
                continue
            answers = self.hosts[address].receive(source, message, self.now)
            queue.extend((address, *pair) for pair in answers)

    def _is_lost(self, source, address):
        if address not in self.hosts or address in self.paused:
            return True
        if self.partition_of.get(source, 0) != self.partition_of.get(
            address, 0
        ):
            return True
        return self.random.random() < self.loss

    def seen(self, address):
        """Return the live members one host knows, address to incarnation."""
        table = self.hosts[address].snapshot()
        return {m.peers_address: m.incarnation for m in table.live()}

    def has_converged(self):
        """Return whether the running hosts know exactly one another."""
        running = {
            address: host.own.incarnation
            for address, host in self.hosts.items()
            if address not in self.paused
        }
        return all(self.seen(address) == running for address in running)

    def converge(self):
        """Run until all hosts agree; return whether they do in time."""
        for _ in range(MAX_TICKS_TO_CONVERGE):
            if self.has_converged():
                return True
            self.run()
        return False


def network(count, loss=0.0, seed=1):
    """Return a network of `count` hosts whose seed is the first one."""
    net = Network(seed, loss)
    for number in range(count):
        net.add(f"h{number}", ["h0"])
    return net


@pytest.mark.parametrize("count, loss", [(2, 0.0), (8, 0.0), (40, 0.1)])
def test_hosts_find_each_other(count, loss):
    assert network(count, loss).converge()


def test_rack_sized_loss_is_noticed_by_all():
    net = network(40)
    assert net.converge()
    for number in range(10, 26):
        net.remove(f"h{number}")
    assert net.converge()


def test_partition_heals_without_seeds():
    net = network(12)
    assert net.converge()
    net.partition_of = {f"h{number}": 1 for number in range(5)}
    net.run(60)
    assert len(net.seen("h0")) == 5
    assert len(net.seen("h11")) == 7
    net.partition_of = {}
    assert net.converge()


def test_partition_and_heal_trace():
    path = pathlib.Path(__file__).parents[3] / "traces/partition-heal.yaml"
    trace = yaml.safe_load(path.read_text())
    net = network(trace["hosts"])
    assert net.converge()
    for step in trace["steps"]:
        if "part" in step:
            net.partition_of = {f"h{number}": 1 for number in step["part"]}
        for number in step.get("kill", []):
            net.remove(f"h{number}")
        for number in step.get("replace", []):
            net.add(f"h{number}", ["h10"])
        net.run(step["ticks"])
        seen = {name: len(net.seen(name)) for name in step["sees"]}
        assert seen == step["sees"], step
    assert net.has_converged()


def test_replacement_at_the_same_address_is_a_new_incarnation():
    net = network(6)
    assert net.converge()
    net.add("h3", ["h1"])
    assert net.converge()


def test_later_process_with_an_older_clock_takes_a_higher_incarnation():
    net = network(6)
    assert net.converge()
    before = net.hosts["h3"].own.incarnation
    net.add("h3", ["h1"], incarnation=1)
    assert net.converge()
    assert net.hosts["h3"].own.incarnation > before


@pytest.mark.parametrize("field", ["incarnation", "sequence"])
def test_record_of_a_version_that_no_message_can_exceed_is_ignored(field):
    """Guards against hosts that end as they refute such a record."""
    table = network(2).hosts
    first, second = table
    own = table[first].own
    odd = msgspec.structs.replace(own, **{field: (1 << 64) - 1})
    table[first].receive(second, Ping(1, 0, 0, [odd]), 200.0)
    assert table[first].own == own


def test_paused_host_is_left_out_and_returns():
    net = network(6)
    assert net.converge()
    net.paused.add("h2")
    net.run(10)
    states = {net.hosts["h1"].snapshot().find("h2").state}
    assert states <= {MemberState.SUSPECT, MemberState.DEAD}
    net.run(40)
    net.paused.discard("h2")
    assert net.converge()


def test_pause_of_the_observer_blames_nobody():
    net = network(6)
    assert net.converge()
    net.paused = {f"h{number}" for number in range(6)}
    net.now += 30
    net.paused = set()
    net.run(1)
    assert net.has_converged()


def test_leaving_reaches_all_and_survives_suspicion():
    net = network(8)
    assert net.converge()
    net.deliver("h4", net.hosts["h4"].announce_leaving())
    net.run(10)
    states = {h.snapshot().find("h4").state for h in net.hosts.values()}
    assert states == {MemberState.LEAVING}


def test_messages_of_a_host_do_not_grow_with_the_membership():
    rates = []
    for count in (16, 128):
        net = network(count)
        assert net.converge()
        net.run(100)
        net.sent = 0
        net.run(50)
        rates.append(net.sent / count / 50)
    assert rates[1] < rates[0] * 1.5


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Random faults, after which all hosts have to agree again."""

    def __init__(self):
        super().__init__()
        self.net = network(6)
        assert self.net.converge()
        self.incarnations = {}

    @stateful.rule(number=st.integers(0, 5))
    def kill(self, number):
        if len(self.net.hosts) > 2:
            self.net.hosts.pop(f"h{number}", None)

    @stateful.rule(number=st.integers(0, 5), old_clock=st.booleans())
    def replace(self, number, old_clock):
        seeds = list(self.net.hosts)
        incarnation = 1 if old_clock else None
        self.net.add(f"h{number}", seeds, incarnation)

    @stateful.rule(number=st.integers(0, 5))
    def pause(self, number):
        self.net.paused.add(f"h{number}")

    @stateful.rule(number=st.integers(0, 5))
    def resume(self, number):
        self.net.paused.discard(f"h{number}")

    @stateful.rule(side=st.sets(st.integers(0, 5)))
    def partition(self, side):
        self.net.partition_of = {f"h{number}": 1 for number in side}

    @stateful.rule(loss=st.sampled_from([0.0, 0.2]))
    def set_loss(self, loss):
        self.net.loss = loss

    @stateful.rule(ticks=st.integers(1, 40))
    def run(self, ticks):
        self.net.run(ticks)

    @stateful.invariant()
    def incarnations_never_go_back(self):
        for address, host in self.net.hosts.items():
            for member in host.snapshot().all:
                key = (host, address, member.peers_address)
                seen = self.incarnations.get(key, 0)
                assert member.incarnation >= seen
                self.incarnations[key] = member.incarnation

    def teardown(self):
        self.net.partition_of = {}
        self.net.paused = set()
        self.net.loss = 0.0
        for host in self.net.hosts.values():
            host.set_seeds(list(self.net.hosts))
        assert self.net.converge()


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=12
)
