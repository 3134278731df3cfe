"""Demonstration of a complete small system in one process."""

from apricotseam.demo._checks import CheckResult
from apricotseam.demo._demo import run_demo
from apricotseam.demo._demo import summarize
from apricotseam.demo._system import LocalSystem
from apricotseam.demo._system import OPERATOR_KEY

__all__ = [
    "LocalSystem",
    "OPERATOR_KEY",
    "CheckResult",
    "run_demo",
    "summarize",
]
