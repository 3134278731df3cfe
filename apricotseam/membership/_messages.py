"""Messages of the membership protocol."""

import msgspec

from apricotseam.membership._member import Member


class Ping(msgspec.Struct, frozen=True, array_like=True):
    """Probe of a member, with recently changed records.

    ``number`` identifies the probe in its `Ack`, ``revision`` is the
    revision of the sender's configuration and ``host_list_revision`` that
    of its host list.
    """

    number: int
    revision: int
    host_list_revision: int
    records: list[Member] = []


class Ack(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a `Ping`, sent directly or through a relaying host."""

    number: int
    revision: int
    host_list_revision: int
    records: list[Member] = []


class PingRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to probe another member on behalf of the sender."""

    number: int
    address: str


class RecordKey(msgspec.Struct, frozen=True, array_like=True):
    """Address and version of one member record."""

    address: str
    incarnation: int
    sequence: int
    health: int

    @property
    def order(self):
        """Sort key, which is greater for the newer of two records."""
        return (self.incarnation, self.sequence, self.health)


class TableDigest(msgspec.Struct, frozen=True, array_like=True):
    """Digest of the sender's member table.

    A receiver whose table differs answers with a `Sync`.
    """

    digest: bytes


class Sync(msgspec.Struct, frozen=True, array_like=True):
    """Record keys of an address range, to be compared by the receiver.

    The range excludes ``after`` and includes ``last``; if ``last`` is
    empty it extends to the end of the table.
    """

    after: str
    last: str
    keys: list[RecordKey]


class SyncAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a `Sync`, and to a `SyncAnswer` that wants records.

    ``records`` are those that the receiver lacks or has in an older
    version; ``wanted`` are the addresses of records that the sender wants
    in return.
    """

    records: list[Member]
    wanted: list[str] = []


class TableRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the page of the table that follows an address."""

    after: str


class TablePage(msgspec.Struct, frozen=True, array_like=True):
    """One page of the table; the final page has an empty ``last``."""

    after: str
    last: str
    records: list[Member]


MESSAGE_TYPES = (
    Ping,
    Ack,
    PingRequest,
    Sync,
    SyncAnswer,
    TableDigest,
    TableRequest,
    TablePage,
)
