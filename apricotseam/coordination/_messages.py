"""Messages between hosts about the store's items."""

import msgspec

from apricotseam.positions import Position


class MirrorItem(msgspec.Struct, frozen=True, array_like=True):
    """A key of the store; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    position: Position


class ChangesRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the changes after a position in the store."""

    after: Position


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Changes up to ``position``, the latest that the answering host knows.

    If ``is_whole`` is set, ``items`` lists all items of the store, and a
    key that is not listed does not exist.
    """

    position: Position
    items: list[MirrorItem]
    is_whole: bool = False


class Push(msgspec.Struct, frozen=True, array_like=True):
    """Message from a reader of the store to the other hosts of its zone.

    ``items`` are all changes after ``base`` up to ``position``. Without
    items the message is a heartbeat: the reader still follows the store.
    """

    base: Position
    position: Position
    items: list[MirrorItem]


class PackedPush(msgspec.Struct, frozen=True, array_like=True):
    """A `Push` whose items are packed, see `pack_push`."""

    base: Position
    position: Position
    packed: bytes


class HostRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record that a host writes about itself to the store.

    ``started_ms`` is the start time in milliseconds since the epoch.
    ``relay_address`` is where it takes requests of other hosts, or empty.
    """

    peers_address: str
    callers_address: str
    zone: str
    started_ms: int
    relay_address: str = ""
