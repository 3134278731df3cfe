"""What the platform's key-value store holds and answers."""

import msgspec

from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position


class Lease(msgspec.Struct, frozen=True):
    """Identifier of a lease in the era in which it was granted.

    The store forgets leases when it goes back, and may give out their
    numbers again.
    """

    era: int
    number: int


class Item(msgspec.Struct, frozen=True):
    """Key, value and position; ``value`` is None if the key was deleted.

    ``lease`` is the lease to which the key is bound, or None.
    """

    key: str
    value: bytes | None
    position: Position = NO_POSITION
    lease: Lease | None = None


class Listing(msgspec.Struct, frozen=True):
    """One page of keys and the position of the store at that time."""

    items: list[Item]
    has_more: bool
    position: Position


class WatchResult(msgspec.Struct, frozen=True):
    """Changes in order; empty if there were none within the wait time.

    ``position`` is the position after which to watch next.
    """

    items: list[Item]
    position: Position
