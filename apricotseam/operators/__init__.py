"""The operators' interface: the administration API."""

from apricotseam.operators._application import build_operators_application
from apricotseam.operators._configuration import ScopeAnswer
from apricotseam.operators._context import OperatorContext
from apricotseam.operators._status import HostStatus
from apricotseam.operators._status import Status

__all__ = [
    "HostStatus",
    "OperatorContext",
    "ScopeAnswer",
    "Status",
    "build_operators_application",
]
