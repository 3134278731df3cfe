"""Retries of all hosts together stay within the shared budget."""

import collections

from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from apricotseam.forwarding import HostRetryBudget

HOSTS = 4
RATIO = 0.2
SLACK = 40.0
WINDOW_SECONDS = 10.0
SERVICE = "s"

hosts = strategies.integers(0, HOSTS - 1)


class BudgetMachine(RuleBasedStateMachine):
    """Hosts retry in bursts while the network partitions and heals."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.names = [f"h{n}" for n in range(HOSTS)]
        self.isolated = set()
        self.groups = [0] * HOSTS
        self.budgets = [self.make_budget() for _ in range(HOSTS)]
        self.requests = collections.deque()
        self.repeats = collections.deque()
        self.exchange()

    def make_budget(self):
        return HostRetryBudget(RATIO, SLACK, WINDOW_SECONDS, lambda: HOSTS)

    @rule(host=hosts, count=strategies.integers(1, 20))
    def take_requests(self, host, count):
        for _ in range(count):
            self.budgets[host].count(SERVICE, self.now)
            self.requests.append(self.now)

    @rule(host=hosts, wanted=strategies.integers(1, 60))
    def repeat(self, host, wanted):
        for _ in range(wanted):
            if self.budgets[host].try_acquire(SERVICE, self.now):
                self.repeats.append(self.now)

    @rule(host=hosts, wanted=strategies.integers(1, 60))
    def repeat_early(self, host, wanted):
        for _ in range(wanted):
            if self.budgets[host].try_acquire_early(SERVICE, self.now):
                self.repeats.append(self.now)

    @rule()
    def all_repeat_at_once(self):
        for host in range(HOSTS):
            self.repeat(host, 60)

    @rule(seconds=strategies.sampled_from([0.2, 0.4, 2.0]))
    def exchange_after(self, seconds):
        self.now += seconds
        self.exchange()

    @rule(host=hosts)
    def isolate(self, host):
        self.isolated.add(host)

    @rule(size=strategies.integers(1, HOSTS - 1))
    def partition(self, size):
        self.groups = [int(n < size) for n in range(HOSTS)]

    @rule()
    def heal(self):
        self.isolated.clear()
        self.groups = [0] * HOSTS
        self.exchange()

    def exchange(self):
        for host, retry_budget in enumerate(self.budgets):
            counts = retry_budget.counts(self.now)
            for other, peer in enumerate(self.budgets):
                if other != host and self.can_reach(host, other):
                    peer.update_peer(self.names[host], counts, self.now)

    def can_reach(self, host, other):
        is_isolated = {host, other} & self.isolated
        return not is_isolated and self.groups[host] == self.groups[other]

    @invariant()
    def budget_is_kept(self):
        start = self.now - WINDOW_SECONDS
        repeats = sum(at > start for at in self.repeats)
        requests = sum(at > start - WINDOW_SECONDS for at in self.requests)
        assert repeats <= RATIO * requests + SLACK


TestBudget = BudgetMachine.TestCase
