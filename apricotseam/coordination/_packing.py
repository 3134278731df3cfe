"""Compression of messages that contain many changes."""

import zlib

import msgspec

from apricotseam.coordination._messages import Changes
from apricotseam.coordination._messages import MirrorItem
from apricotseam.coordination._messages import PackedChanges
from apricotseam.coordination._messages import PackedPush
from apricotseam.coordination._messages import Push
from apricotseam.errors import InvalidInputError
from apricotseam.positions import decode_hook
from apricotseam.positions import encode_hook

# Larger messages are compressed.
MAX_PLAIN_BYTES = 4096
# Limit on the items of one message; larger ones could exhaust the memory of
# the host that reads them.
MAX_UNPACKED_BYTES = 8 << 20
COMPRESSION_LEVEL = 1


def size_bytes(items):
    """Return the size of the values of some items."""
    return sum(len(item.value or b"") for item in items)


def pack_push(push):
    """Return the `PackedPush` with the same changes as a `Push`.

    Examples
    --------
    >>> from apricotseam.positions import Position
    >>> last = Position(2)
    >>> push = Push(Position(1), last, [MirrorItem("a", b"v", last)])
    >>> unpack_push(pack_push(push)) == push
    True
    """
    return PackedPush(push.base, push.position, _pack(push.items))


def unpack_push(packed_push):
    """Return the `Push` of a `PackedPush`.

    Raises
    ------
    InvalidInputError
        If the changes cannot be read, or are larger than a reader sends.
    """
    items = _unpack(packed_push.packed, packed_push.position)
    return Push(packed_push.base, packed_push.position, items)


def pack_changes(changes):
    """Return the `PackedChanges` with the same items as some `Changes`.

    Examples
    --------
    >>> from apricotseam.positions import Position
    >>> last = Position(2)
    >>> changes = Changes(last, [MirrorItem("a", b"v", last)], True)
    >>> unpack_changes(pack_changes(changes)) == changes
    True
    """
    return PackedChanges(
        changes.position, _pack(changes.items), changes.is_whole
    )


def unpack_changes(packed_changes):
    """Return the `Changes` of `PackedChanges`.

    Raises
    ------
    InvalidInputError
        As `unpack_push`.
    """
    position = packed_changes.position
    items = _unpack(packed_changes.packed, position)
    return Changes(position, items, packed_changes.is_whole)


def _pack(items):
    encoded = msgspec.msgpack.encode(items, enc_hook=encode_hook)
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def _unpack(packed, position):
    unpacker = zlib.decompressobj()
    try:
        encoded = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
        return msgspec.msgpack.decode(
            encoded, type=list[MirrorItem], dec_hook=decode_hook
        )
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError(
            f"changes up to {position} cannot be read ({error})",
            "run the same version on all hosts",
        ) from None
