"""HTTP interface for callers: completions, services and addresses."""

from apricotseam.callers._application import build_callers_application
from apricotseam.callers._context import bearer_key
from apricotseam.callers._context import CallerContext
from apricotseam.callers._context import hash_key

__all__ = [
    "CallerContext",
    "bearer_key",
    "build_callers_application",
    "hash_key",
]
