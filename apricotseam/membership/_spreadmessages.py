"""Messages by which documents spread between hosts."""

import msgspec


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """The sender has a revision of a kind of document."""

    kind: str
    revision: int


class ChangeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for what follows a revision, past a name of a part."""

    kind: str
    revision: int
    after: str = ""


class ChangePage(msgspec.Struct, frozen=True, array_like=True):
    """One page of a `DocumentChange`; an empty ``last`` ends it."""

    base: int
    revision: int
    parts: dict[str, list[str]]
    removed: list[str]
    last: str


class ChunkRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for chunks by their references."""

    kind: str
    references: list[str]


class ChunkAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Chunks by reference, as many as fit into one message."""

    chunks: dict[str, bytes]
