"""Cost of admission by the number of customers and requests."""

import time

from apricotseam.admission import FairAdmission
from apricotseam.admission import Work
from apricotseam.clock import SystemClock
from apricotseam.config import Bounds
from measure.slopes._slope import Slope

REQUEST_SECONDS = 60.0


def admission_of_customers(size):
    """Return an admission that has seen a number of customers."""
    admission = FairAdmission(Bounds(), SystemClock())
    _admit(admission, size)
    return admission


def _admit(admission, size):
    for number in range(size):
        work = Work(
            request=f"request-{number}",
            scope="measured",
            customer=f"customer-{number}",
            customer_weight=1.0,
            pool="engines",
            priority="routine",
            rank=1,
            weight=1.0,
            deadline=time.monotonic() + REQUEST_SECONDS,
            tokens=32,
        )
        admission.admit(work).close(32)


def _processor(size):
    admission = FairAdmission(Bounds(), SystemClock())
    _admit(admission, 100)
    before = time.thread_time()
    _admit(admission, size)
    return (time.thread_time() - before) * 1e3


ADMISSION_SLOPES = [
    Slope(
        name="processor time of an admission",
        unit="ms",
        per="request",
        measure=_processor,
    )
]
