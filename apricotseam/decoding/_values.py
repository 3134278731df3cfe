"""Bounds of numbers, names and addresses that other programs write."""

import re
from typing import Annotated

import msgspec

# Numbers fit in the integers of all message formats, also if one is added.
MAX_INTEGER = (1 << 62) - 1
# Sums and products of a few amounts are finite.
MAX_AMOUNT = 1e18
MAX_NAME_CHARACTERS = 256
MAX_PORT = (1 << 16) - 1
# All numbers with so many digits are below `MAX_INTEGER`.
MAX_DIGITS = 18

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Signed = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]

# Addresses are sent to targets in headers, and as parts of chains, which
# ``,`` and ``=`` divide. Labels of host names have 1 to 63 characters.
_LABEL = r"[0-9A-Za-z_-]{1,63}"
_ADDRESS = re.compile(
    rf"({_LABEL}(\.{_LABEL}){{0,15}}|\[[0-9A-Fa-f:.]{{2,45}}\]):[0-9]{{1,5}}"
)
_COUNT = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}")


def is_address(text):
    """Return whether a connection to an address can be tried.

    Parameters
    ----------
    text : str
        Host or IP address, a colon and a port.

    Examples
    --------
    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1:99999")
    (True, False)
    """
    if not _ADDRESS.fullmatch(text):
        return False
    return 0 < int(text.rpartition(":")[2]) <= MAX_PORT


def parse_count(text):
    """Return the number in a text of ASCII digits, or None.

    Parameters
    ----------
    text : str
        The text; one of more than `MAX_DIGITS` digits is not a number.

    Examples
    --------
    >>> parse_count("12"), parse_count("²"), parse_count("9" * 5000)
    (12, None, None)
    """
    return int(text) if _COUNT.fullmatch(text) else None
