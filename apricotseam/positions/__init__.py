"""Positions in the history of the store that all hosts share."""

from apricotseam.positions._position import decode_hook
from apricotseam.positions._position import encode_hook
from apricotseam.positions._position import MAX_ERA
from apricotseam.positions._position import MAX_REVISION
from apricotseam.positions._position import NO_POSITION
from apricotseam.positions._position import Position

__all__ = [
    "MAX_ERA",
    "MAX_REVISION",
    "NO_POSITION",
    "Position",
    "decode_hook",
    "encode_hook",
]
