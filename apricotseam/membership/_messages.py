"""Messages of the membership protocol."""

import msgspec

from apricotseam.membership._member import Member


class Ping(msgspec.Struct, frozen=True, array_like=True):
    """Probe of a member, with changed records.

    ``revision`` is that of the sender's configuration and ``listed`` that
    of its listed hosts.
    """

    number: int
    revision: int
    listed: int
    records: list[Member] = []


class Ack(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a `Ping`, directly or through a relay."""

    number: int
    revision: int
    listed: int
    records: list[Member] = []


class PingRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to probe another member on behalf of the sender."""

    number: int
    address: str


class RecordKey(msgspec.Struct, frozen=True, array_like=True):
    """Address and age of one record."""

    address: str
    incarnation: int
    sequence: int
    health: int

    @property
    def order(self):
        """Key by which the newer of two records is found."""
        return (self.incarnation, self.sequence, self.health)


class Sync(msgspec.Struct, frozen=True, array_like=True):
    """Keys of a range of addresses, to be compared by the receiver.

    ``after`` is the address before the range and ``last`` its end; an
    empty ``last`` means the end of the table.
    """

    after: str
    last: str
    keys: list[RecordKey]


class SyncAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Records that the sender of a `Sync` lacks, and those it has newer."""

    records: list[Member]
    wanted: list[str] = []


class TableRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for one page of the table, past an address."""

    after: str


class TablePage(msgspec.Struct, frozen=True, array_like=True):
    """One page of the table; an empty ``last`` means its end."""

    after: str
    last: str
    records: list[Member]


MESSAGE_TYPES = (
    Ping,
    Ack,
    PingRequest,
    Sync,
    SyncAnswer,
    TableRequest,
    TablePage,
)
