"""Shares of customers' limits over partitions, as a state machine."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from apricotseam.admission._holder import ShareHolder
from apricotseam.admission._owner import ShareOwner
from apricotseam.admission._sharerules import DETECTION_SKEW_SECONDS
from apricotseam.admission._sharerules import floor_share
from apricotseam.admission._sharerules import FLOOR_SHARE
from apricotseam.admission._sharerules import Owners
from apricotseam.admission._sharerules import rendezvous_owner
from apricotseam.admission._sharerules import YOUNG_SECONDS
from apricotseam.admission.tests.works import work
from apricotseam.errors import LimitExceededError

HOSTS = [f"10.0.0.{number}:7" for number in range(5)]
CUSTOMERS = ["s/a", "s/b"]
HOST = st.sampled_from(HOSTS)
FATE = st.sampled_from(["ok", "ok", "ok", "lost", "late", "silent"])
WORK = work(requests_per_second=100.0, tokens_per_second=1e4, max_streams=99)


class SharesMachine(stateful.RuleBasedStateMachine):
    """Hosts that part and meet, lose messages, and start anew.

    Each host learns of a change of who can reach whom within the skew
    that the rules assume, in any order.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.part = dict.fromkeys(HOSTS, 0)
        self.views = {}
        self.late = {}
        self.answers = []
        self.holders = {}
        self.owners = {}
        self.births = 0
        self.young = {}
        for host in HOSTS:
            self.start(host)
        self.now += YOUNG_SECONDS

    def start(self, host):
        self.births += 1
        self.holders[host] = ShareHolder(f"{host}/{self.births}", self.now)
        self.young[host] = self.now + YOUNG_SECONDS
        self.holders[host].set_fleet(len(HOSTS))
        self.owners[host] = ShareOwner(host, self.now)
        self.learn(host)

    def learn(self, host):
        self.late.pop(host, None)
        members = [h for h in HOSTS if self.part[h] == self.part[host]]
        self.owners[host].set_members(members, len(HOSTS), self.now)

    @stateful.rule(host=HOST)
    def restart(self, host):
        self.start(host)

    @stateful.rule(parts=st.lists(st.integers(0, 2), min_size=5, max_size=5))
    def part_or_heal(self, parts):
        """Change who can reach whom, once the last change is known."""
        for host in list(self.late):
            self.learn(host)
        self.part = dict(zip(HOSTS, parts, strict=True))
        for host in HOSTS:
            self.late[host] = self.now + DETECTION_SKEW_SECONDS

    @stateful.rule(host=HOST)
    def detect(self, host):
        self.learn(host)

    @stateful.rule(
        fates=st.lists(FATE, min_size=5, max_size=5),
        rates=st.lists(st.integers(0, 20), min_size=5, max_size=5),
    )
    def exchange(self, fates, rates):
        """Every host uses the customers and reports to their owners."""
        for host, fate, rate in zip(HOSTS, fates, rates, strict=True):
            for customer in CUSTOMERS:
                for _ in range(rate):
                    self.use(host, customer)
            if fate != "silent":
                self.report(host, fate)

    def use(self, host, customer):
        try:
            self.holders[host].take(customer, WORK, self.now)
        except LimitExceededError as error:
            assert error.retry_after > 0

    def report(self, host, fate):
        holder = self.holders[host]
        owners = self.owners[host].owners
        for owner, report in holder.reports(owners, self.now).items():
            if self.part[owner] != self.part[host]:
                continue
            answer = self.owners[owner].answer(report, self.now)
            if fate == "ok":
                holder.accept(answer, self.now)
            elif fate == "late":
                self.answers.append((holder, answer, self.now))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(index=st.integers(0, 50))
    def late_answer(self, index):
        holder, answer, sent_at = self.answers.pop(index % len(self.answers))
        holder.accept(answer, sent_at)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0, 3.0]))
    def wait(self, seconds):
        self.now += seconds
        for host, deadline in list(self.late.items()):
            if deadline <= self.now:
                self.learn(host)

    def exchange_all(self, seconds):
        """Pass time and let every host use and report."""
        self.wait(seconds)
        self.exchange(["ok"] * 5, [10] * 5)

    def parted(self):
        """Return the holders of the first host's part."""
        mine = self.part[HOSTS[0]]
        return [self.holders[h] for h in HOSTS if self.part[h] == mine]

    @stateful.invariant()
    def sum_within_the_limit(self):
        for customer in CUSTOMERS:
            shares = [
                holder.share(customer, self.now)
                for holder in self.holders.values()
            ]
            young = sum(d > self.now for d in self.young.values())
            over = (1.0 - FLOOR_SHARE) * young / len(HOSTS)
            assert sum(shares) <= 1.0 + over + 1e-9

    @stateful.invariant()
    def every_host_has_its_floor(self):
        for holder in self.holders.values():
            share = holder.share(CUSTOMERS[0], self.now)
            assert share >= floor_share(len(HOSTS))


TestShares = SharesMachine.TestCase


PARTING = st.tuples(
    st.lists(st.integers(0, 1), min_size=5, max_size=5),
    st.lists(st.sampled_from([0.0, 0.5, 1.9]), min_size=5, max_size=5),
    st.sampled_from([4.0, 8.0]),
)


@hypothesis.given(st.lists(PARTING, min_size=1, max_size=4))
@hypothesis.settings(max_examples=40)
def test_parted_fleet_stays_within_the_limit(partings):
    """Long partings under load; hosts learn of each within the skew."""
    machine = SharesMachine()
    for parts, delays, seconds in partings:
        machine.part = dict(zip(HOSTS, parts, strict=True))
        for host, delay in zip(HOSTS, delays, strict=True):
            machine.late[host] = machine.now + delay
        for _ in range(int(seconds / 0.5)):
            machine.exchange_all(0.5)
            machine.sum_within_the_limit()
    for _ in range(20):
        machine.exchange_all(0.5)
    lent = sum(h.share(CUSTOMERS[0], machine.now) for h in machine.parted())
    assert lent >= 0.5 * len(machine.parted()) / len(HOSTS)


class Fleet:
    """Hosts that all reach each other and exchange in steps."""

    def __init__(self, hosts):
        self.now = 0.0
        self.hosts = [f"10.0.1.{n}:7" for n in range(hosts)]
        self.holders = {h: ShareHolder(h, 0.0) for h in self.hosts}
        self.owners = {h: ShareOwner(h, 0.0) for h in self.hosts}
        for host in self.hosts:
            self.holders[host].set_fleet(hosts)
            self.owners[host].set_members(self.hosts, hosts, 0.0)

    def run(self, rates, seconds):
        """Offer requests a second by host; return what was admitted."""
        admitted = dict.fromkeys(rates, 0)
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            for host, rate in rates.items():
                for _ in range(int(rate / 10)):
                    admitted[host] += self.ask(host)
            if int(self.now * 10) % 10 == 0:
                self.exchange()
        return admitted

    def ask(self, host):
        holder = self.holders[host]
        try:
            holder.take("s/a", WORK, self.now)
        except LimitExceededError:
            return 0
        holder.ended("s/a", WORK, 10)
        return 1

    def exchange(self):
        for host, holder in self.holders.items():
            owners = self.owners[host].owners
            for owner, report in holder.reports(owners, self.now).items():
                answer = self.owners[owner].answer(report, self.now)
                holder.accept(answer, self.now)


def test_shares_move_to_where_the_callers_are():
    fleet = Fleet(8)
    first, second = fleet.hosts[:2]
    fleet.run({first: 200}, 10)
    got = fleet.run({first: 200}, 10)
    assert 700 <= got[first] <= 1000
    fleet.run({second: 200}, 10)
    got = fleet.run({second: 200}, 10)
    assert 700 <= got[second] <= 1000


def test_sum_stays_within_the_limit_when_all_are_busy():
    fleet = Fleet(8)
    rates = {host: 60 for host in fleet.hosts}
    fleet.run(rates, 10)
    got = fleet.run(rates, 10)
    assert 800 <= sum(got.values()) <= 1010


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
