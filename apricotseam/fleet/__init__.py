"""State and health of the targets, as seen by one host."""

from apricotseam.fleet._fleet import Fleet
from apricotseam.fleet._health import Health
from apricotseam.fleet._states import is_outdated
from apricotseam.fleet._target import LayerRange
from apricotseam.fleet._target import Target
from apricotseam.fleet._target import TargetRecord

__all__ = [
    "Fleet",
    "Health",
    "LayerRange",
    "Target",
    "TargetRecord",
    "is_outdated",
]
