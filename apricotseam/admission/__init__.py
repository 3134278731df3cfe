"""Admission control: starts, queues or refuses each request."""

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
from apricotseam.admission._shared import EXCHANGE_SECONDS
from apricotseam.admission._shared import SharedLimits

__all__ = [
    "Admission",
    "CustomerLimits",
    "EXCHANGE_SECONDS",
    "FairAdmission",
    "FairQueue",
    "OpenAdmission",
    "Permit",
    "PoolCapacity",
    "PoolScheduler",
    "QueueBounds",
    "SharedLimits",
    "UnlimitedCustomers",
    "Work",
    "pool_capacity",
]
