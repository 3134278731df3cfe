"""Target tables and the policies that choose targets and chains."""

from apricotseam.routing._baselines import LeastReportedChooser
from apricotseam.routing._baselines import RandomChooser
from apricotseam.routing._baselines import RoundRobinChooser
from apricotseam.routing._build import build_chooser
from apricotseam.routing._chooser import Chooser
from apricotseam.routing._chooser import Demand
from apricotseam.routing._chooser import TargetLoad
from apricotseam.routing._chooser import VersionChooser
from apricotseam.routing._distance import LinkDistances
from apricotseam.routing._ejection import OutlierEjector
from apricotseam.routing._least_cost import LeastCostChooser
from apricotseam.routing._merge import merge_targets
from apricotseam.routing._merger import TargetMerger
from apricotseam.routing._metrics import count_retry
from apricotseam.routing._metrics import pool_label
from apricotseam.routing._observed import ObservedEngine
from apricotseam.routing._planned import ChainPlans
from apricotseam.routing._prefixes import PrefixTable
from apricotseam.routing._replacement import TableStageChooser
from apricotseam.routing._retry import RetryBudget
from apricotseam.routing._retry import RetryPolicy
from apricotseam.routing._subset import choose_subset
from apricotseam.routing._table import TargetState
from apricotseam.routing._table import TargetTable

__all__ = [
    "ChainPlans",
    "Chooser",
    "Demand",
    "LeastCostChooser",
    "LeastReportedChooser",
    "LinkDistances",
    "ObservedEngine",
    "OutlierEjector",
    "PrefixTable",
    "RandomChooser",
    "RetryBudget",
    "RetryPolicy",
    "RoundRobinChooser",
    "VersionChooser",
    "TableStageChooser",
    "TargetLoad",
    "TargetMerger",
    "TargetState",
    "TargetTable",
    "build_chooser",
    "choose_subset",
    "count_retry",
    "merge_targets",
    "pool_label",
]
