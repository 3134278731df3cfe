"""Decoding of what other programs write, which may hold any value."""

from apricotseam.decoding._json import decode_json
from apricotseam.decoding._values import Amount
from apricotseam.decoding._values import Count
from apricotseam.decoding._values import is_address
from apricotseam.decoding._values import Name
from apricotseam.decoding._values import parse_count
from apricotseam.decoding._values import Signed

__all__ = [
    "Amount",
    "Count",
    "Name",
    "Signed",
    "decode_json",
    "is_address",
    "parse_count",
]
