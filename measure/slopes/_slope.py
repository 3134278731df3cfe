"""Definition of a cost that is measured at several sizes."""

import collections.abc

import msgspec


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A cost that grows with a size.

    ``measure`` takes the size and returns the cost in ``unit``; ``per``
    names what the size counts, such as ``customer``.
    """

    name: str
    unit: str
    per: str
    measure: collections.abc.Callable
