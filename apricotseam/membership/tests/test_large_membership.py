"""Membership of hundreds and thousands of hosts, some of them slow.

The pattern is that of a large fleet on small machines: answers of slow hosts
come late, messages get lost, and the cost of a host has to stay the same.
"""

import heapq
import itertools
import math
import random

import pytest

from apricotseam.membership import Member
from apricotseam.membership import Membership
from apricotseam.membership import MemberState

TICK_SECONDS = 0.2
REGULAR_DELAY_SECONDS = 0.01
RECORD_BYTES = 60
MESSAGE_BYTES = 80


def make_member(number, incarnation=1):
    """Return the record of a host."""
    return Member(
        name=f"host-{number}",
        peers_address=f"h{number}",
        callers_address=f"c{number}",
        operators_address="",
        availability_zone=f"zone-{number % 5}",
        incarnation=incarnation,
    )


class Fleet:
    """Hosts on a simulated network with delays and loss.

    Parameters
    ----------
    count : int
        Number of hosts, which all know one another from a list.
    loss : float
        Fraction of the messages that are lost.
    slow : int
        Number of hosts whose messages take `slow_seconds`, both ways.
    """

    def __init__(self, count, loss=0.0, slow=0, slow_seconds=0.0, seed=1):
        self.now = 100.0
        self.loss = loss
        self.slow = {f"h{n}" for n in range(slow)}
        self.slow_seconds = slow_seconds
        self.random = random.Random(seed)
        self.sent = 0
        self.sent_bytes = 0
        self._queue = []
        self._order = itertools.count()
        self.dead = set()
        members = [make_member(number) for number in range(count)]
        self.hosts = {}
        for number, member in enumerate(members):
            host = Membership(member, random.Random(number), self.now)
            host.add_listed(members)
            self.hosts[member.peers_address] = host
            start = self.now + self.random.random() * TICK_SECONDS
            self._push(start, member.peers_address, None, None)

    def _push(self, at, address, source, message):
        entry = (at, next(self._order), address, source, message)
        heapq.heappush(self._queue, entry)

    def run(self, seconds):
        """Run all ticks and deliver all messages of some seconds."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, address, source, message = heapq.heappop(self._queue)
            if address in self.dead:
                continue
            host = self.hosts[address]
            if message is None:
                pairs = host.tick(self.now)
                self._push(self.now + TICK_SECONDS, address, None, None)
            else:
                pairs = host.receive(source, message, self.now)
            for target, reply in pairs:
                self._send(address, target, reply)
        self.now = until

    def _send(self, source, address, message):
        self.sent += 1
        records = getattr(message, "records", [])
        self.sent_bytes += MESSAGE_BYTES + RECORD_BYTES * len(records)
        if self.random.random() < self.loss:
            return
        delay = REGULAR_DELAY_SECONDS
        if {source, address} & self.slow:
            delay += self.slow_seconds
        self._push(self.now + delay, address, source, message)

    def live(self):
        """Return the hosts that run."""
        return [h for a, h in self.hosts.items() if a not in self.dead]

    def believed_dead(self):
        """Return the members that some running host takes for dead."""
        return {
            member.peers_address
            for host in self.live()
            for member in host.snapshot().all
            if member.state is MemberState.DEAD
        }

    def left_out(self):
        """Return the number of hosts that leave out all dead members."""
        count = 0
        for host in self.live():
            live = {m.peers_address for m in host.snapshot().live()}
            count += not live & self.dead
        return count


# Hosts, fraction of lost messages, slow hosts and their delay in seconds.
CALM = [
    (30, 0.0, 0, 0.0),
    (200, 0.0, 0, 0.0),
    (200, 0.02, 0, 0.0),
    (200, 0.0, 20, 0.5),
    (200, 0.01, 10, 0.8),
]


@pytest.mark.parametrize(("count", "loss", "slow", "slow_seconds"), CALM)
def test_nobody_that_lives_is_called_dead(count, loss, slow, slow_seconds):
    fleet = Fleet(count, loss, slow, slow_seconds)
    fleet.run(30)
    assert not fleet.believed_dead()


@pytest.mark.parametrize("count", [30, 200, 1000])
def test_cost_of_a_settled_host_is_constant(count):
    fleet = Fleet(count)
    fleet.run(5)
    fleet.sent = fleet.sent_bytes = 0
    fleet.run(10)
    per_host = 10 * count
    # A probe and its answer at each tick at most, and a digest each 2 s.
    assert fleet.sent / per_host <= 2 / TICK_SECONDS + 1
    assert fleet.sent_bytes / per_host <= 1000
    if count >= 200:
        assert fleet.sent / per_host <= 3.5


# Hosts, number of them that die at once, seconds in which nine in ten of the
# others leave them out of answers to callers.
DEATHS = [(30, 1, 6.0), (200, 1, 8.0), (200, 40, 15.0)]


@pytest.mark.parametrize(("count", "deaths", "seconds"), DEATHS)
def test_deaths_are_noticed(count, deaths, seconds):
    fleet = Fleet(count)
    fleet.run(5)
    fleet.dead = {f"h{n}" for n in range(0, 2 * deaths, 2)}
    fleet.run(seconds)
    assert fleet.left_out() >= 0.9 * len(fleet.live())
    fleet.run(30)
    assert fleet.believed_dead() == fleet.dead


def test_hosts_that_know_one_another_from_a_list_tell_nothing():
    fleet = Fleet(200)
    fleet.run(2)
    assert fleet.sent_bytes <= fleet.sent * (MESSAGE_BYTES + RECORD_BYTES)


def test_a_table_that_lost_records_is_completed():
    fleet = Fleet(30)
    late = Membership(make_member(99), random.Random(99), fleet.now)
    late.set_seeds(["h0"])
    fleet.hosts["h99"] = late
    fleet._push(fleet.now, "h99", None, None)
    fleet.run(20)
    known = [len(host.snapshot()) for host in fleet.live()]
    assert known == [31] * 31


@pytest.mark.parametrize("count", [10, 100, 1000])
def test_time_to_refute_grows_with_the_hops(count):
    fleet = Fleet(count)
    host = fleet.hosts["h0"]
    expected = 3.0 * max(1.0, math.log10(count))
    assert host._records.suspicion_seconds == pytest.approx(expected)
