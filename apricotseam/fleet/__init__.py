"""State and health of the targets, as seen by one host."""

from apricotseam.fleet._announcements import Announcements
from apricotseam.fleet._announcements import AnnouncementSource
from apricotseam.fleet._announcements import MAX_REST_SECONDS
from apricotseam.fleet._fleet import Fleet
from apricotseam.fleet._health import Health
from apricotseam.fleet._pace import Pace
from apricotseam.fleet._pace import PaceNotice
from apricotseam.fleet._states import is_outdated
from apricotseam.fleet._target import LayerRange
from apricotseam.fleet._target import Target
from apricotseam.fleet._target import TargetRecord

__all__ = [
    "Announcements",
    "Fleet",
    "Health",
    "LayerRange",
    "AnnouncementSource",
    "MAX_REST_SECONDS",
    "Pace",
    "PaceNotice",
    "Target",
    "TargetRecord",
    "is_outdated",
]
