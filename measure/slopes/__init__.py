"""Slopes: costs that grow with a size, measured at several sizes."""

from measure.slopes._admission import ADMISSION_SLOPES
from measure.slopes._execution import EXECUTION_SLOPES
from measure.slopes._membership import MEMBERSHIP_SLOPES
from measure.slopes._memory import MEMORY_SLOPES
from measure.slopes._peers import PEER_SLOPES
from measure.slopes._processor import PROCESSOR_SLOPES
from measure.slopes._service import SERVICE_SLOPES
from measure.slopes._slope import Slope

ALL_SLOPES = {
    slope.name: slope
    for slope in (
        *ADMISSION_SLOPES,
        *EXECUTION_SLOPES,
        *MEMBERSHIP_SLOPES,
        *MEMORY_SLOPES,
        *PEER_SLOPES,
        *PROCESSOR_SLOPES,
        *SERVICE_SLOPES,
    )
}

__all__ = ["ALL_SLOPES", "Slope"]
