"""Permits for targets with limits, over partitions, restarts and loss."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from apricotseam.coordination._permits import HANDOVER_SECONDS
from apricotseam.coordination._permits import MAX_WAIT_SECONDS
from apricotseam.coordination import PermitIssuer
from apricotseam.coordination import PermitRequest

HOSTS = [f"10.0.0.{number}:7" for number in range(6)]
HOST = st.sampled_from(HOSTS)
TARGET = "i-1"
WINDOW_SECONDS = 4.0
# Requests that the platform accepts beyond a limit: a factor, and a number in
# each window.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
SETTLED_SECONDS = HANDOVER_SECONDS + 0.1


def allowed(rate):
    """Return how many requests a window may contain."""
    return ALLOWED_FACTOR * rate * WINDOW_SECONDS + ALLOWED_EXTRA


def make_request(rate, born_ms=1):
    """Return a request for a permit."""
    return PermitRequest(TARGET, born_ms, rate)


def make_issuers(count):
    """Return the issuers of a fleet that has been running, by address."""
    hosts = [f"10.0.{n // 200}.{n % 200}:7" for n in range(count)]
    issuers = {}
    for host in hosts:
        issuers[host] = PermitIssuer(host, 0.0)
        issuers[host].set_members(hosts, count, 0.0)
    return issuers


def ask(issuers, host, rate, now, born_ms=1):
    """Let a host ask the owner by its own list; return the answer."""
    owner = issuers[host].owner(TARGET, born_ms)
    return issuers[owner].answer(make_request(rate, born_ms), now)


# Guards against more requests at a target than its limit, however many hosts
# send them.
@pytest.mark.parametrize("rate", [0.0, 0.3, 2.4, 25.0])
@pytest.mark.parametrize("count", [1, 8, 22, 195])
def test_number_of_hosts_does_not_matter(count, rate):
    issuers = make_issuers(count)
    granted = collections.deque()
    for step in range(400):
        now = SETTLED_SECONDS + step / 40
        for host in issuers:
            if ask(issuers, host, rate, now).is_granted:
                granted.append(now)
        while granted and granted[0] < now - WINDOW_SECONDS:
            granted.popleft()
        assert len(granted) <= allowed(rate)
    if rate >= 1.0:
        # What the target accepts is used.
        assert len(granted) >= 0.9 * rate * WINDOW_SECONDS


# Description, what differs from the first request, whether a permit is left.
OTHERS = [
    ("same process", {}, False),
    ("new process under the same name", {"born_ms": 2}, True),
]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [case[1:] for case in OTHERS],
    ids=[case[0] for case in OTHERS],
)
def test_permits_belong_to_one_process(changes, expected):
    (issuer,) = make_issuers(1).values()
    issuer.answer(make_request(1.0), SETTLED_SECONDS)
    issuer.answer(make_request(1.0, 2), SETTLED_SECONDS)
    now = SETTLED_SECONDS + 0.1
    assert issuer.answer(make_request(1.0), now).is_granted
    answer = issuer.answer(make_request(1.0, **changes), now)
    assert answer.is_granted is expected


def test_refused_hosts_return_one_after_another():
    issuers = make_issuers(8)
    waits = []
    for host in issuers:
        answer = ask(issuers, host, 4.0, SETTLED_SECONDS)
        waits.append(answer.wait_seconds)
    assert waits == sorted(waits)
    assert all(later - wait >= 0.24 for wait, later in zip(waits, waits[1:]))
    assert all(0 < wait <= MAX_WAIT_SECONDS for wait in waits)


def test_new_owner_grants_nothing_while_the_earlier_one_may():
    """Guards against two owners that both issue around a hand-over."""
    issuers = make_issuers(8)
    owner = issuers[HOSTS[0]].owner(TARGET, 1)
    left = [host for host in issuers if host != owner]
    for host in left:
        issuers[host].set_members(left, 8, 10.0)
    until = 10.0 + HANDOVER_SECONDS
    answer = ask(issuers, left[0], 2.0, 10.5)
    assert not answer.is_granted
    assert answer.wait_seconds >= HANDOVER_SECONDS - 0.5
    assert not ask(issuers, left[0], 2.0, until - 0.01).is_granted
    assert ask(issuers, left[0], 2.0, until + 0.01).is_granted


class PermitsMachine(stateful.RuleBasedStateMachine):
    """Hosts under partitions, restarts, lost and late answers.

    Each host detects a change within `HANDOVER_SECONDS`, in any order. An
    answer that comes late is used then.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.rate = 2.4
        self.partition_of = dict.fromkeys(HOSTS, 0)
        self.issuers = {}
        self.due = {}
        self.sent = collections.deque()
        for host in HOSTS:
            self.restart(host)
        self.now += SETTLED_SECONDS

    @stateful.initialize(rate=st.sampled_from([0.0, 0.5, 2.4, 12.0]))
    def state_limit(self, rate):
        self.rate = rate

    @stateful.rule(host=HOST)
    def restart(self, host):
        self.issuers[host] = PermitIssuer(host, self.now)
        self.detect(host)

    @stateful.rule(
        partitions=st.lists(st.integers(0, 2), min_size=6, max_size=6)
    )
    def change_partitions(self, partitions):
        """Change the partitions after all hosts detected the last change."""
        for host in list(self.due):
            self.detect(host)
        self.partition_of = dict(zip(HOSTS, partitions, strict=True))
        # Detection and the use of a permit together take this long at most.
        self.due = dict.fromkeys(HOSTS, self.now + HANDOVER_SECONDS - 0.5)

    @stateful.rule(host=HOST)
    def detect(self, host):
        self.due.pop(host, None)
        members = [
            other
            for other in HOSTS
            if self.partition_of[other] == self.partition_of[host]
        ]
        self.issuers[host].set_members(members, len(HOSTS), self.now)

    @stateful.rule(
        seconds=st.sampled_from([0.05, 0.3, 1.0, 2.5]),
        loads=st.lists(st.integers(0, 30), min_size=6, max_size=6),
    )
    def send(self, seconds, loads):
        """Let the hosts send for some time, as many as they may."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for host, deadline in list(self.due.items()):
                if deadline <= self.now:
                    self.detect(host)
            for host, load in zip(HOSTS, loads, strict=True):
                for _ in range(load):
                    if not self.ask(host):
                        break
            self.check()

    def ask(self, host):
        """Ask for a permit and use it; return whether it was granted."""
        owner = self.issuers[host].owner(TARGET, 1)
        if self.partition_of[owner] != self.partition_of[host]:
            return False
        answer = self.issuers[owner].answer(make_request(self.rate), self.now)
        if answer.is_granted:
            self.sent.append(self.now)
        return answer.is_granted

    def check(self):
        while self.sent and self.sent[0] < self.now - WINDOW_SECONDS:
            self.sent.popleft()
        assert len(self.sent) <= allowed(self.rate)

    @stateful.invariant()
    def waits_are_bounded(self):
        for issuer in self.issuers.values():
            request = make_request(self.rate, born_ms=7)
            answer = issuer.answer(request, self.now)
            assert 0.0 <= answer.wait_seconds <= MAX_WAIT_SECONDS


TestPermits = PermitsMachine.TestCase
TestPermits.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25
)
