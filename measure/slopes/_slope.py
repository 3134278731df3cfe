"""What is measured at several sizes."""

import collections.abc

import msgspec


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A cost and what it grows with.

    ``measure`` takes the size and returns the cost in ``unit``; ``per``
    names what the size counts.
    """

    name: str
    unit: str
    per: str
    measure: collections.abc.Callable
