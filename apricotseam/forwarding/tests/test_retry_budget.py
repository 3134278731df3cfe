"""Number of retries that hosts may send from the shared budget."""

import pytest

from apricotseam.forwarding import HostRetryBudget
from apricotseam.forwarding import RepeatCount

HOSTS = 8
RATIO = 0.2
SLACK = 350.0
WINDOW_SECONDS = 10.0

# Number of hosts, peers that reported, least retries this host may send.
FLEETS = [
    ("single-host", 1, 0, 290),
    ("eight-hosts-connected", 8, 7, 36),
    ("partitioned, one zone of three", 90, 29, 3),
    ("partitioned, single host", 8, 0, 36),
]


@pytest.mark.parametrize(
    ("host_count", "reporting_peers", "least"),
    [case[1:] for case in FLEETS],
    ids=[case[0] for case in FLEETS],
)
def test_share_of_one_host(host_count, reporting_peers, least):
    retry_budget = HostRetryBudget(
        RATIO, SLACK, WINDOW_SECONDS, lambda: host_count
    )
    for number in range(reporting_peers):
        retry_budget.update_peer(f"h{number}", {}, 0.0)
    count = 0
    while retry_budget.try_acquire("s", 0.0):
        count += 1
    assert least <= count <= SLACK * (1 + reporting_peers) / host_count


def test_requests_of_unreachable_hosts_add_no_retries():
    """Unreachable hosts may be spending these retries themselves."""
    retry_budget = HostRetryBudget(RATIO, 0.0, WINDOW_SECONDS, lambda: 2)
    retry_budget.update_peer("h1", {"s": RepeatCount(1000, 0)}, 0.0)
    assert not retry_budget.try_acquire("s", 5.0)


class Fleet:
    """Hosts that exchange their counts every 0.2 s and share the requests.

    Parameters
    ----------
    requests_per_second : float
        Requests to one service, over all hosts.
    """

    def __init__(self, requests_per_second):
        self.now = 0.0
        self.budgets = [
            HostRetryBudget(RATIO, 100.0, WINDOW_SECONDS, lambda: HOSTS)
            for _ in range(HOSTS)
        ]
        self._requests_per_second = requests_per_second

    def step(self):
        """Let 0.2 s pass, with their requests and an exchange of counts."""
        self.now += 0.2
        for number in range(round(0.2 * self._requests_per_second)):
            self.budgets[number % HOSTS].count("s", self.now)
        counts = [budget.counts(self.now) for budget in self.budgets]
        for host, budget in enumerate(self.budgets):
            for other, count in enumerate(counts):
                if other != host:
                    budget.update_peer(f"h{other}", count, self.now)

    def acquire(self, wanted, is_early):
        """Let all hosts together ask for retries; return how many they get."""
        got = 0
        for number in range(wanted):
            budget = self.budgets[number % HOSTS]
            acquire = (
                budget.try_acquire_early if is_early else (budget.try_acquire)
            )
            got += acquire("s", self.now)
        return got


# Requests a second, and streams that are on silent targets in each step of a
# spell: a tenth of the targets is part of four in ten chains of five.
SPELLS = [
    ("small site", 60, 36),
    ("busy site", 600, 360),
]


@pytest.mark.parametrize(
    ("requests_per_second", "moving"),
    [case[1:] for case in SPELLS],
    ids=[case[0] for case in SPELLS],
)
def test_silence_leaves_retries_for_broken_answers(
    requests_per_second, moving
):
    """Spells of 1.4 s in every 2.4 s take at most half of the budget."""
    fleet = Fleet(requests_per_second)
    for _ in range(50):
        fleet.step()
    allowed = RATIO * requests_per_second * WINDOW_SECONDS + 100.0
    moved = 0
    for step in range(48):
        fleet.step()
        if step % 12 < 7:
            moved += fleet.acquire(moving, is_early=True)
    # Those of the spells lie within one window.
    assert 0.3 * allowed <= moved <= 0.5 * allowed
    assert fleet.acquire(10 * HOSTS, is_early=False) >= 3 * HOSTS


def test_broken_answers_may_use_the_whole_budget():
    fleet = Fleet(60)
    fleet.step()
    assert fleet.acquire(100, is_early=False) >= 80
    fleet.step()
    assert fleet.acquire(HOSTS, is_early=True) == 0
