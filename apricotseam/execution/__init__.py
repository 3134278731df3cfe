"""Execution at most once of requests that are not idempotent."""

from apricotseam.execution._execution import DirectExecution
from apricotseam.execution._execution import Execution
from apricotseam.execution._execution import ExecutionRequest

__all__ = ["DirectExecution", "Execution", "ExecutionRequest"]
