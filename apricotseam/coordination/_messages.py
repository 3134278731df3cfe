"""Messages between hosts about the store's items."""

import msgspec


class MirrorItem(msgspec.Struct, frozen=True, array_like=True):
    """One key as a host knows it; ``value`` is None where it is deleted."""

    key: str
    value: bytes | None
    revision: int


class ChangesRequest(msgspec.Struct, frozen=True, array_like=True):
    """Question for what changed after a revision."""

    after: int


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """What changed, and up to which revision the answerer knows.

    ``is_whole`` says that the items are all there are: what is not among
    them does not exist.
    """

    revision: int
    items: list[MirrorItem]
    is_whole: bool = False


class Push(msgspec.Struct, frozen=True, array_like=True):
    """What a reader of the store tells the hosts of its availability zone.

    The items are all changes after ``base`` up to ``revision``; without
    items it says that the reader still follows the store.
    """

    base: int
    revision: int
    items: list[MirrorItem]


class HostRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What a host writes of itself into the store."""

    peers_address: str
    callers_address: str
    zone: str
    started_ms: int
