"""Processor time of admitting requests, and state for the memory slopes."""

import time

from apricotseam.admission import FairAdmission
from apricotseam.admission import Work
from apricotseam.clock import SystemClock
from apricotseam.config import Bounds
from measure.slopes._slope import Slope

REQUEST_TIMEOUT_SECONDS = 60.0


def admission_with_customers(size):
    """Return an admission that has seen a number of customers."""
    admission = FairAdmission(Bounds(), SystemClock())
    _admit_requests(admission, size)
    return admission


def _admit_requests(admission, count):
    """Admit and finish one request of each of a number of customers."""
    for number in range(count):
        work = Work(
            request=f"request-{number}",
            scope="measured",
            customer=f"customer-{number}",
            customer_weight=1.0,
            pool="engines",
            priority="routine",
            rank=1,
            weight=1.0,
            deadline=time.monotonic() + REQUEST_TIMEOUT_SECONDS,
            tokens=32,
        )
        admission.admit(work).close(32)


def _admission_milliseconds(requests):
    """Return the processor time of admitting a number of requests, in ms."""
    admission = FairAdmission(Bounds(), SystemClock())
    # The first requests are not timed, so that one-off costs are left out.
    _admit_requests(admission, 100)
    before = time.thread_time()
    _admit_requests(admission, requests)
    return (time.thread_time() - before) * 1e3


ADMISSION_SLOPES = [
    Slope(
        name="processor time of an admission",
        unit="ms",
        per="request",
        measure=_admission_milliseconds,
    )
]
