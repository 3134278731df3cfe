"""Admission: which request may start now, which waits, which is refused."""

from apricotseam.admission._admission import Admission
from apricotseam.admission._admission import OpenAdmission
from apricotseam.admission._admission import Permit
from apricotseam.admission._admission import Work
from apricotseam.admission._capacity import pool_capacity
from apricotseam.admission._capacity import PoolCapacity
from apricotseam.admission._fair import FairAdmission
from apricotseam.admission._limits import CustomerLimits
from apricotseam.admission._limits import UnlimitedCustomers
from apricotseam.admission._pool import PoolScheduler
from apricotseam.admission._pool import QueueBounds
from apricotseam.admission._queue import FairQueue

__all__ = [
    "Admission",
    "CustomerLimits",
    "FairAdmission",
    "FairQueue",
    "OpenAdmission",
    "Permit",
    "PoolCapacity",
    "PoolScheduler",
    "QueueBounds",
    "UnlimitedCustomers",
    "Work",
    "pool_capacity",
]
