"""The threads around the schedulers, on real threads."""

import concurrent.futures
import threading

import pytest

from apricotseam.admission import FairAdmission
from apricotseam.admission.tests.works import work
from apricotseam.clock import SystemClock
from apricotseam.config import Bounds
from apricotseam.errors import OverloadedError

CLOCK = SystemClock()


def admission(threads=16):
    """Return an admission over a small number of threads."""
    return FairAdmission(Bounds(caller_threads=threads), CLOCK)


def until(seconds):
    """Return a deadline."""
    return CLOCK.monotonic() + seconds


def test_waiting_request_starts_when_another_ends():
    gate = admission()
    first = [gate.admit(work(n, deadline=until(60))) for n in range(3)]
    pool = gate._pools[("s", "g")]
    pool.limit.resize(4, 1)
    first.append(gate.admit(work(4, deadline=until(60))))
    with concurrent.futures.ThreadPoolExecutor() as threads:
        later = threads.submit(gate.admit, work(5, deadline=until(60)))
        while not pool.waiting:
            threading.Event().wait(0.001)
        assert not later.done()
        first[0].close(10)
        first[0].close(10)
        later.result(60).close()
    assert pool.running == 3


def test_request_whose_deadline_passes_is_refused_then():
    gate = admission()
    gate.admit(work(0, deadline=until(60)))
    pool = gate._pools[("s", "g")]
    pool.limit.resize(4, 1)
    for number in range(3):
        gate.admit(work(number, deadline=until(60)))
    with pytest.raises(OverloadedError):
        gate.admit(work(5, deadline=until(0.05)))
    assert pool.waiting == 0


def test_rush_in_one_pool_leaves_threads_for_another():
    gate = admission(16)
    with concurrent.futures.ThreadPoolExecutor(16) as threads:
        rush = [
            threads.submit(gate.admit, work(n, f"c{n}", deadline=until(0.3)))
            for n in range(16)
        ]
        for _ in range(3):
            gate.admit(work(90, pool="portal", deadline=until(60)))
        outcomes = [future.exception() for future in rush]
    refused = [e for e in outcomes if e is not None]
    assert all(isinstance(e, OverloadedError) for e in refused)
    assert len(rush) - len(refused) <= 14
