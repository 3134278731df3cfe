"""HTTP interface for operators: the administration API."""

from apricotseam.operators._application import build_operators_application
from apricotseam.operators._configuration import AuditAnswer
from apricotseam.operators._configuration import ScopeAnswer
from apricotseam.operators._context import OperatorContext
from apricotseam.operators._status import HostStatus
from apricotseam.operators._status import SpreadState
from apricotseam.operators._status import Status

__all__ = [
    "AuditAnswer",
    "HostStatus",
    "OperatorContext",
    "ScopeAnswer",
    "SpreadState",
    "Status",
    "build_operators_application",
]
