"""Pipelines over layer ranges: planning, execution and recovery."""

from apricotseam.pipelines._carrier import StepBatcher
from apricotseam.pipelines._chain import Chain
from apricotseam.pipelines._chain import enumerate_chains
from apricotseam.pipelines._chain import Stage
from apricotseam.pipelines._choosing import NoReplacement
from apricotseam.pipelines._choosing import StageChooser
from apricotseam.pipelines._placement import Holder
from apricotseam.pipelines._placement import Move
from apricotseam.pipelines._placement import Placement
from apricotseam.pipelines._placement import plan_placement
from apricotseam.pipelines._planner import ChainPlan
from apricotseam.pipelines._planner import plan_chains
from apricotseam.pipelines._runner import ChainRunner
from apricotseam.pipelines._runner import StreamPlan
from apricotseam.pipelines._runner import Token

__all__ = [
    "Chain",
    "ChainPlan",
    "ChainRunner",
    "Holder",
    "Move",
    "NoReplacement",
    "Placement",
    "Stage",
    "StageChooser",
    "StepBatcher",
    "StreamPlan",
    "Token",
    "enumerate_chains",
    "plan_chains",
    "plan_placement",
]
