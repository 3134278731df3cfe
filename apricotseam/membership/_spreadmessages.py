"""Messages for the replication of documents between hosts."""

import msgspec


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """Notice that the sender has a revision of a kind of document."""

    kind: str
    revision: int


class ChangeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a page of the changes since a revision.

    The page holds the parts whose names follow ``after``.
    """

    kind: str
    revision: int
    after: str = ""


class ChangePage(msgspec.Struct, frozen=True, array_like=True):
    """One page of a `DocumentChange`; the final page has an empty ``last``.

    ``base`` is the revision that the change applies to, ``removed`` the
    names of removed parts.
    """

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
    """Requested chunks by reference, as many as fit into one message."""

    chunks: dict[str, bytes]
