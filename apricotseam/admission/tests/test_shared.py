"""Shared limits over real messages between hosts."""

import time

import pytest

from apricotseam.admission import SharedLimits
from apricotseam.admission.tests.works import work
from apricotseam.clock import SystemClock
from apricotseam.errors import LimitExceededError
from apricotseam.peers import ControlLoop
from apricotseam.peers import PeerTransport
from apricotseam.web import free_address

QUIET_IS_OVER_SECONDS = 60.0


class LaterClock(SystemClock):
    """A clock that can be moved forward."""

    def __init__(self):
        self.skipped = 0.0

    def monotonic(self):
        """Return the monotonic time in seconds."""
        return super().monotonic() + self.skipped


@pytest.fixture
def fleet():
    """Three hosts with shared limits past the quiet time."""
    loop = ControlLoop()
    loop.start()
    clock = LaterClock()
    addresses = [free_address() for _ in range(3)]
    transports = [PeerTransport(loop, a, 1) for a in addresses]
    hosts = [
        SharedLimits(t, clock, lambda: addresses, lambda: 3)
        for t in transports
    ]
    for transport, host in zip(transports, hosts, strict=True):
        transport.start()
        host._refresh()
    clock.skipped = QUIET_IS_OVER_SECONDS
    yield hosts
    for transport in transports:
        transport.stop()
    loop.stop()


def count_admitted(host, works):
    """Return how many requests a host lets pass at once."""
    admitted = 0
    for one in works:
        try:
            host.take(one)
        except LimitExceededError:
            continue
        admitted += 1
    return admitted


def test_first_requests_of_a_customer_get_a_share_at_once(fleet):
    works = [
        work(n, requests_per_second=1000.0, max_streams=1000)
        for n in range(200)
    ]
    begun = time.monotonic()
    passed = [count_admitted(host, works) for host in fleet]
    seconds = time.monotonic() - begun
    assert all(count > 0 for count in passed)
    assert sum(passed) <= 1000 * (1 + seconds) + len(fleet)
    for host in fleet:
        assert host._holder.share("s/c", host._clock.monotonic()) <= 1.0


def test_limit_is_refused_with_the_time_to_come_back(fleet):
    works = [work(n, requests_per_second=3.0) for n in range(50)]
    count_admitted(fleet[0], works)
    with pytest.raises(LimitExceededError) as caught:
        fleet[0].take(work(99, requests_per_second=3.0))
    assert caught.value.retry_after > 0
