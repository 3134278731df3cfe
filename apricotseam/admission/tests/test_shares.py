"""Shares of customers' limits during network partitions and restarts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from apricotseam.admission._local_shares import LocalShares
from apricotseam.admission._owner import ShareOwner
from apricotseam.admission._sharerules import DETECTION_SKEW_SECONDS
from apricotseam.admission._sharerules import floor_share
from apricotseam.admission._sharerules import FLOOR_SHARE
from apricotseam.admission._sharerules import STARTUP_SECONDS
from apricotseam.admission.tests.factories import make_work
from apricotseam.errors import LimitExceededError
from apricotseam.membership import Owners
from apricotseam.membership import rendezvous_owner

HOSTS = [f"10.0.0.{number}:7" for number in range(5)]
CUSTOMERS = ["s/a", "s/b"]
HOST = st.sampled_from(HOSTS)
# Whether the answer to a report arrives; "silent" hosts send no report.
DELIVERY = st.sampled_from(["ok", "ok", "ok", "lost", "late", "silent"])
WORK = make_work(
    requests_per_second=100.0, tokens_per_second=1e4, max_streams=99
)


class SharesMachine(stateful.RuleBasedStateMachine):
    """Hosts under network partitions, lost messages and restarts.

    Each host detects a change of partitions within
    `DETECTION_SKEW_SECONDS`; the order of detection varies.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.partition_of = dict.fromkeys(HOSTS, 0)
        self.views = {}
        self.detection_deadlines = {}
        self.late_answers = []
        self.local_shares = {}
        self.owners = {}
        self.start_count = 0
        self.startup_deadlines = {}
        for host in HOSTS:
            self.start(host)
        self.now += STARTUP_SECONDS

    def start(self, host):
        self.start_count += 1
        self.local_shares[host] = LocalShares(
            f"{host}/{self.start_count}", self.now
        )
        self.startup_deadlines[host] = self.now + STARTUP_SECONDS
        self.local_shares[host].set_host_count(len(HOSTS))
        self.owners[host] = ShareOwner(host, self.now)
        self.update_members(host)

    def update_members(self, host):
        self.detection_deadlines.pop(host, None)
        members = [
            h for h in HOSTS if self.partition_of[h] == self.partition_of[host]
        ]
        self.owners[host].set_members(members, len(HOSTS), self.now)

    @stateful.rule(host=HOST)
    def restart(self, host):
        self.start(host)

    @stateful.rule(
        partitions=st.lists(st.integers(0, 2), min_size=5, max_size=5)
    )
    def change_partitions(self, partitions):
        """Change the partitions after all hosts detected the last change."""
        for host in list(self.detection_deadlines):
            self.update_members(host)
        self.partition_of = dict(zip(HOSTS, partitions, strict=True))
        for host in HOSTS:
            self.detection_deadlines[host] = self.now + DETECTION_SKEW_SECONDS

    @stateful.rule(host=HOST)
    def detect(self, host):
        self.update_members(host)

    @stateful.rule(
        deliveries=st.lists(DELIVERY, min_size=5, max_size=5),
        rates=st.lists(st.integers(0, 20), min_size=5, max_size=5),
    )
    def exchange(self, deliveries, rates):
        """Let every host accept requests and report to the owners."""
        for host, delivery, rate in zip(HOSTS, deliveries, rates, strict=True):
            for customer in CUSTOMERS:
                for _ in range(rate):
                    self.offer_request(host, customer)
            if delivery != "silent":
                self.report(host, delivery)

    def offer_request(self, host, customer):
        try:
            self.local_shares[host].acquire(customer, WORK, self.now)
        except LimitExceededError as error:
            assert error.retry_after > 0

    def report(self, host, delivery):
        local = self.local_shares[host]
        owners = self.owners[host].owners
        for owner, report in local.reports(owners, self.now).items():
            if self.partition_of[owner] != self.partition_of[host]:
                continue
            answer = self.owners[owner].answer(report, self.now)
            if delivery == "ok":
                local.accept(answer, self.now)
            elif delivery == "late":
                self.late_answers.append((local, answer, self.now))

    @stateful.precondition(lambda self: self.late_answers)
    @stateful.rule(index=st.integers(0, 50))
    def deliver_late_answer(self, index):
        local, answer, sent_at = self.late_answers.pop(
            index % len(self.late_answers)
        )
        local.accept(answer, sent_at)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0, 3.0]))
    def wait(self, seconds):
        self.now += seconds
        for host, deadline in list(self.detection_deadlines.items()):
            if deadline <= self.now:
                self.update_members(host)

    def exchange_all(self, seconds):
        """Advance the time, then let every host accept requests and report."""
        self.wait(seconds)
        self.exchange(["ok"] * 5, [10] * 5)

    def local_shares_in_first_partition(self):
        """Return the local shares of hosts that the first host can reach."""
        first_partition = self.partition_of[HOSTS[0]]
        return [
            self.local_shares[h]
            for h in HOSTS
            if self.partition_of[h] == first_partition
        ]

    @stateful.invariant()
    def sum_within_the_limit(self):
        for customer in CUSTOMERS:
            shares = [
                local.share(customer, self.now)
                for local in self.local_shares.values()
            ]
            starting_hosts = sum(
                d > self.now for d in self.startup_deadlines.values()
            )
            startup_excess = (1.0 - FLOOR_SHARE) * starting_hosts / len(HOSTS)
            assert sum(shares) <= 1.0 + startup_excess + 1e-9

    @stateful.invariant()
    def every_host_has_its_floor(self):
        for local in self.local_shares.values():
            share = local.share(CUSTOMERS[0], self.now)
            assert share >= floor_share(len(HOSTS))


TestShares = SharesMachine.TestCase


# Partition of each host, delay of its detection, and duration, in seconds.
PARTITIONING = st.tuples(
    st.lists(st.integers(0, 1), min_size=5, max_size=5),
    st.lists(st.sampled_from([0.0, 0.5, 1.9]), min_size=5, max_size=5),
    st.sampled_from([4.0, 8.0]),
)


@hypothesis.given(st.lists(PARTITIONING, min_size=1, max_size=4))
@hypothesis.settings(max_examples=40)
def test_partitioned_fleet_stays_within_the_limit(partitionings):
    """Guards against over-lending in long partitions under load."""
    machine = SharesMachine()
    for partitions, delays, seconds in partitionings:
        machine.partition_of = dict(zip(HOSTS, partitions, strict=True))
        for host, delay in zip(HOSTS, delays, strict=True):
            machine.detection_deadlines[host] = machine.now + delay
        for _ in range(int(seconds / 0.5)):
            machine.exchange_all(0.5)
            machine.sum_within_the_limit()
    for _ in range(20):
        machine.exchange_all(0.5)
    total_share = sum(
        h.share(CUSTOMERS[0], machine.now)
        for h in machine.local_shares_in_first_partition()
    )
    assert total_share >= 0.5 * len(
        machine.local_shares_in_first_partition()
    ) / len(HOSTS)


class Fleet:
    """Hosts that all reach each other and exchange once a second."""

    def __init__(self, hosts):
        self.now = 0.0
        self.hosts = [f"10.0.1.{n}:7" for n in range(hosts)]
        self.local_shares = {h: LocalShares(h, 0.0) for h in self.hosts}
        self.owners = {h: ShareOwner(h, 0.0) for h in self.hosts}
        for host in self.hosts:
            self.local_shares[host].set_host_count(hosts)
            self.owners[host].set_members(self.hosts, hosts, 0.0)

    def run(self, rates, seconds):
        """Offer requests and return how many each host admitted.

        Parameters
        ----------
        rates : dict of str to float
            Requests per second at each host.
        seconds : float
            Simulated time.
        """
        admitted = dict.fromkeys(rates, 0)
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            for host, rate in rates.items():
                for _ in range(int(rate / 10)):
                    admitted[host] += self.acquire(host)
            if int(self.now * 10) % 10 == 0:
                self.exchange()
        return admitted

    def acquire(self, host):
        local = self.local_shares[host]
        try:
            local.acquire("s/a", WORK, self.now)
        except LimitExceededError:
            return 0
        local.release("s/a", WORK, 10)
        return 1

    def exchange(self):
        for host, local in self.local_shares.items():
            owners = self.owners[host].owners
            for owner, report in local.reports(owners, self.now).items():
                answer = self.owners[owner].answer(report, self.now)
                local.accept(answer, self.now)


def test_shares_move_to_where_the_callers_are():
    fleet = Fleet(8)
    first, second = fleet.hosts[:2]
    fleet.run({first: 200}, 10)
    admitted = fleet.run({first: 200}, 10)
    assert 700 <= admitted[first] <= 1000
    fleet.run({second: 200}, 10)
    admitted = fleet.run({second: 200}, 10)
    assert 700 <= admitted[second] <= 1000


def test_sum_stays_within_the_limit_when_all_are_busy():
    fleet = Fleet(8)
    rates = {host: 60 for host in fleet.hosts}
    fleet.run(rates, 10)
    admitted = fleet.run(rates, 10)
    assert 800 <= sum(admitted.values()) <= 1010


def test_owner_cache_agrees_with_the_rule():
    owners = Owners()
    members = set(HOSTS[:3])
    for change in ((HOSTS[3], True), (HOSTS[0], False), (HOSTS[0], True)):
        owners.set_members(members)
        for customer in map(str, range(50)):
            assert owners.owner(customer) == rendezvous_owner(
                customer, members
            )
        host, is_added = change
        members = members | {host} if is_added else members - {host}
