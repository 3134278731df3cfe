"""Demonstration: a whole small system in one process."""

from apricotseam.demo._system import free_address
from apricotseam.demo._system import LocalSystem
from apricotseam.demo._system import OPERATOR_KEY

__all__ = ["LocalSystem", "OPERATOR_KEY", "free_address"]
