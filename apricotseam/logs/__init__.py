"""Structured logging, with one JSON object per line."""

from apricotseam.logs._bounded import BoundedHandler
from apricotseam.logs._bounded import configure_bounded_logging
from apricotseam.logs._explain import explain
from apricotseam.logs._logging import configure_logging
from apricotseam.logs._periods import LogPeriods

__all__ = [
    "BoundedHandler",
    "LogPeriods",
    "configure_bounded_logging",
    "configure_logging",
    "explain",
]
