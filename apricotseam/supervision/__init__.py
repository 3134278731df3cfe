"""Supervisors that start, restart and stop the parts of a process."""

from apricotseam.supervision._supervisor import Child
from apricotseam.supervision._supervisor import Supervisor
from apricotseam.supervision._tasks import TaskSupervisor

__all__ = ["Child", "Supervisor", "TaskSupervisor"]
