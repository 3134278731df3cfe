"""Messages between hosts about the store's items."""

import msgspec


class MirrorItem(msgspec.Struct, frozen=True, array_like=True):
    """A key of the store; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


class ChangesRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the changes after a revision."""

    after: int


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Changes up to ``revision``, the latest that the answering host knows.

    If ``is_whole`` is set, ``items`` lists all items of the store, and a
    key that is not listed does not exist.
    """

    revision: int
    items: list[MirrorItem]
    is_whole: bool = False


class Push(msgspec.Struct, frozen=True, array_like=True):
    """Message from a reader of the store to the other hosts of its zone.

    ``items`` are all changes after ``base`` up to ``revision``. Without
    items the message is a heartbeat: the reader still follows the store.
    """

    base: int
    revision: int
    items: list[MirrorItem]


class PackedPush(msgspec.Struct, frozen=True, array_like=True):
    """A `Push` whose items are packed, see `pack_push`."""

    base: int
    revision: int
    packed: bytes


class HostRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record that a host writes about itself to the store.

    ``started_ms`` is the start time in milliseconds since the epoch.
    """

    peers_address: str
    callers_address: str
    zone: str
    started_ms: int
