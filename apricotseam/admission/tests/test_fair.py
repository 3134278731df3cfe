"""`FairAdmission` on real threads."""

import concurrent.futures
import threading

import pytest

from apricotseam.admission import FairAdmission
from apricotseam.admission.tests.factories import make_work
from apricotseam.admission import UnlimitedCustomers
from apricotseam.clock import ManualClock
from apricotseam.clock import SystemClock
from apricotseam.config import Bounds
from apricotseam.errors import LimitExceededError
from apricotseam.errors import OverloadedError

CLOCK = SystemClock()


def make_admission(threads=16):
    """Return an admission with a small number of caller threads."""
    return FairAdmission(Bounds(caller_threads=threads), CLOCK)


def deadline_in(seconds):
    """Return the monotonic time a number of seconds from now."""
    return CLOCK.monotonic() + seconds


def test_waiting_request_starts_when_another_ends():
    admission = make_admission()
    permits = [
        admission.admit(make_work(n, deadline=deadline_in(60)))
        for n in range(3)
    ]
    pool = admission._pools[("s", "g")]
    pool.limit.resize(4, 1)
    permits.append(admission.admit(make_work(4, deadline=deadline_in(60))))
    with concurrent.futures.ThreadPoolExecutor() as threads:
        waiting = threads.submit(
            admission.admit, make_work(5, deadline=deadline_in(60))
        )
        while not pool.waiting:
            threading.Event().wait(0.001)
        assert not waiting.done()
        permits[0].close(10)
        permits[0].close(10)
        waiting.result(60).close()
    assert pool.running == 3


def test_request_whose_deadline_passes_is_refused_then():
    admission = make_admission()
    admission.admit(make_work(0, deadline=deadline_in(60)))
    pool = admission._pools[("s", "g")]
    pool.limit.resize(4, 1)
    for number in range(3):
        admission.admit(make_work(number, deadline=deadline_in(60)))
    with pytest.raises(OverloadedError):
        admission.admit(make_work(5, deadline=deadline_in(0.05)))
    assert pool.waiting == 0


def test_rush_in_one_pool_leaves_threads_for_another():
    admission = make_admission(16)
    with concurrent.futures.ThreadPoolExecutor(16) as threads:
        surge = [
            threads.submit(
                admission.admit,
                make_work(n, f"c{n}", deadline=deadline_in(0.3)),
            )
            for n in range(16)
        ]
        for _ in range(3):
            admission.admit(
                make_work(90, pool="portal", deadline=deadline_in(60))
            )
        errors = [future.exception() for future in surge]
    refused = [e for e in errors if e is not None]
    assert all(isinstance(e, OverloadedError) for e in refused)
    assert len(surge) - len(refused) <= 14


class SlowLimits(UnlimitedCustomers):
    """Refuses each request after it has waited for an answer."""

    def __init__(self, clock, wait_seconds):
        self._clock = clock
        self._wait_seconds = wait_seconds

    def acquire(self, work):
        """Let time pass, then refuse."""
        self._clock.advance(self._wait_seconds)
        raise LimitExceededError("over the limit", "retry", 1.0)


# Seconds until the deadline, seconds that the customer's limit takes to
# refuse, and the error. The deadline decides if it passes before the answer.
LATE_LIMITS = [
    ("deadline-passes-during-the-question", 0.001, 0.05, OverloadedError),
    ("deadline-passed-before", -0.001, 0.0, OverloadedError),
    ("deadline-is-far", 10.0, 0.05, LimitExceededError),
]


@pytest.mark.parametrize(
    ("left", "wait", "error"),
    [case[1:] for case in LATE_LIMITS],
    ids=[case[0] for case in LATE_LIMITS],
)
def test_error_of_a_request_whose_limit_is_asked_for(left, wait, error):
    clock = ManualClock()
    admission = FairAdmission(
        Bounds(caller_threads=16), clock, SlowLimits(clock, wait)
    )
    work = make_work(1, deadline=clock.monotonic() + left)
    with pytest.raises(error):
        admission.admit(work)
