"""Targets and the choice between them."""

from apricotseam.routing._merge import merge_targets
from apricotseam.routing._table import TargetState
from apricotseam.routing._table import TargetTable

__all__ = ["TargetState", "TargetTable", "merge_targets"]
