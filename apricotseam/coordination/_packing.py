"""Compression of pushes that contain many changes."""

import zlib

import msgspec

from apricotseam.coordination._messages import MirrorItem
from apricotseam.coordination._messages import PackedPush
from apricotseam.coordination._messages import Push
from apricotseam.errors import InvalidInputError
from apricotseam.positions import decode_hook
from apricotseam.positions import encode_hook

MAX_UNPACKED_BYTES = 256 << 10
COMPRESSION_LEVEL = 1


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
    encoded = msgspec.msgpack.encode(push.items, enc_hook=encode_hook)
    packed = zlib.compress(encoded, COMPRESSION_LEVEL)
    return PackedPush(push.base, push.position, packed)


def unpack_push(packed_push):
    """Return the `Push` of a `PackedPush`.

    Raises
    ------
    InvalidInputError
        If the changes cannot be read, or are larger than a reader sends.
    """
    unpacker = zlib.decompressobj()
    try:
        encoded = unpacker.decompress(packed_push.packed, MAX_UNPACKED_BYTES)
        items = msgspec.msgpack.decode(
            encoded, type=list[MirrorItem], dec_hook=decode_hook
        )
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError(
            f"push of changes up to {packed_push.position} cannot"
            f" be read ({error})",
            "run the same version on all hosts",
        ) from None
    return Push(packed_push.base, packed_push.position, items)
