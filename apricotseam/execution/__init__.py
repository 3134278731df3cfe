"""At-most-once execution of requests that are not idempotent."""

from apricotseam.execution._claims import ClaimBatches
from apricotseam.execution._claims import ShardClaims
from apricotseam.execution._claims import ShardStore
from apricotseam.execution._execution import AtMostOnceExecution
from apricotseam.execution._execution import DirectExecution
from apricotseam.execution._execution import Execution
from apricotseam.execution._execution import ExecutionRequest
from apricotseam.execution._keys import IdempotencyKeyRunner
from apricotseam.execution._messages import PeerLink
from apricotseam.execution._messages import TransportLink
from apricotseam.execution._records import RunRecords
from apricotseam.execution._ticket import TicketSigner
from apricotseam.execution._tickets import TicketRunner
from apricotseam.execution._waiter import SystemWaiter
from apricotseam.execution._waiter import Waiter

__all__ = [
    "AtMostOnceExecution",
    "ClaimBatches",
    "DirectExecution",
    "Execution",
    "ExecutionRequest",
    "IdempotencyKeyRunner",
    "PeerLink",
    "RunRecords",
    "ShardClaims",
    "ShardStore",
    "SystemWaiter",
    "TicketRunner",
    "TicketSigner",
    "TransportLink",
    "Waiter",
]
