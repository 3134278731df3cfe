"""Supervisor tree of one process."""

from apricotseam.supervision._supervisor import Child
from apricotseam.supervision._supervisor import Supervisor

__all__ = ["Child", "Supervisor"]
