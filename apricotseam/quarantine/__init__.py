"""Requests that end the processes of targets, and how they are held back."""

from apricotseam.quarantine._evidence import Evidence
from apricotseam.quarantine._evidence import SURVIVAL_SECONDS
from apricotseam.quarantine._evidence import TargetEnd
from apricotseam.quarantine._quarantine import Hold
from apricotseam.quarantine._quarantine import Quarantine
from apricotseam.quarantine._traits import part_trait
from apricotseam.quarantine._traits import request_trait

__all__ = [
    "Evidence",
    "Hold",
    "Quarantine",
    "SURVIVAL_SECONDS",
    "TargetEnd",
    "part_trait",
    "request_trait",
]
