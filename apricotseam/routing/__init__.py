"""Targets and the choice between them."""

from apricotseam.routing._chooser import Chooser
from apricotseam.routing._chooser import Demand
from apricotseam.routing._chooser import RandomChooser
from apricotseam.routing._merge import merge_targets
from apricotseam.routing._replacement import TableStageChooser
from apricotseam.routing._table import TargetState
from apricotseam.routing._table import TargetTable

__all__ = [
    "Chooser",
    "Demand",
    "RandomChooser",
    "TableStageChooser",
    "TargetState",
    "TargetTable",
    "merge_targets",
]
