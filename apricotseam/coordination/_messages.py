"""Messages between hosts about the store's items."""

import msgspec

from apricotseam.decoding import Amount
from apricotseam.decoding import Count
from apricotseam.decoding import decode_json
from apricotseam.decoding import is_address
from apricotseam.decoding import Name
from apricotseam.errors import InvalidInputError
from apricotseam.positions import Position

# Length of the part of an invalid address that an error shows.
MAX_SHOWN_CHARACTERS = 64


class MirrorItem(msgspec.Struct, frozen=True, array_like=True):
    """A key of the store; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    position: Position


class ChangesRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the changes after a position in the store.

    If ``accepts_packed`` is set, the answer may be `PackedChanges`.
    """

    after: Position
    accepts_packed: bool = False


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Changes up to ``position``, the latest that the answering host knows.

    If ``is_whole`` is set, ``items`` lists all items of the store, and a
    key that is not listed does not exist.
    """

    position: Position
    items: list[MirrorItem]
    is_whole: bool = False


class PackedChanges(msgspec.Struct, frozen=True, array_like=True):
    """`Changes` whose items are packed, see `pack_changes`."""

    position: Position
    packed: bytes
    is_whole: bool


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
    ``link_mbps`` is the bandwidth of its link in 10**6 bits a second, 0 if it
    is not known.
    """

    peers_address: str
    callers_address: str
    zone: Name
    started_ms: Count
    relay_address: str = ""
    link_mbps: Amount = 0.0


_HOST_RECORD_DECODER = msgspec.json.Decoder(HostRecord)


def decode_host_record(value):
    """Return the `HostRecord` in an entry of the store.

    Parameters
    ----------
    value : bytes
        JSON value of the entry; another program may have written it.

    Raises
    ------
    InvalidInputError
        If it is not a record, or names an address that cannot be used.
    """
    record = decode_json(_HOST_RECORD_DECODER, value)
    addresses = [record.peers_address, record.callers_address]
    if record.relay_address:
        addresses.append(record.relay_address)
    for address in addresses:
        if not is_address(address):
            raise InvalidInputError(
                f"invalid address {address[:MAX_SHOWN_CHARACTERS]!r}",
                "write a host and a port from 1 to 65535",
            )
    return record
