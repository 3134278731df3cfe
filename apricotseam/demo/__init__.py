"""Demonstration: a whole small system in one process."""

from apricotseam.demo._checks import Promise
from apricotseam.demo._demo import run_demo
from apricotseam.demo._demo import summarize
from apricotseam.demo._system import LocalSystem
from apricotseam.demo._system import OPERATOR_KEY

__all__ = [
    "LocalSystem",
    "OPERATOR_KEY",
    "Promise",
    "run_demo",
    "summarize",
]
