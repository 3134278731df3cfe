"""Messages by which a reader passes changes of the store on."""

from apricotseam.coordination._messages import Push
from apricotseam.coordination._packing import MAX_PLAIN_BYTES
from apricotseam.coordination._packing import MAX_UNPACKED_BYTES
from apricotseam.coordination._packing import pack_push
from apricotseam.coordination._packing import size_bytes
from apricotseam.positions import Position

# Default limit on compressed changes.
MAX_PUSHED_BYTES = 16 << 10


def make_push(changes, base, max_pushed_bytes):
    """Return a message with changes for the other hosts of a zone.

    Parameters
    ----------
    changes : Changes
        All changes after ``base``.
    base : Position
        Position up to which the other hosts know the changes.
    max_pushed_bytes : int
        Limit on compressed changes.

    Returns
    -------
    Push or PackedPush
        If the changes are too large, or not all known, it contains only the
        position, from which the other hosts see that they miss changes.
    """
    push = Push(base, changes.position, changes.items)
    size = size_bytes(changes.items)
    if changes.is_whole or size > MAX_UNPACKED_BYTES // 2:
        return position_push(changes.position)
    if size <= MAX_PLAIN_BYTES:
        return push
    packed = pack_push(push)
    if len(packed.packed) <= max_pushed_bytes:
        return packed
    return position_push(changes.position)


def position_push(position):
    """Return a push that says only that the sender knows a position."""
    return Push(position, position, [])


def unread_push(position):
    """Return a push that says that there are changes after a position.

    The sender has not read them yet, and names the next position.
    """
    return position_push(Position(position + 1))
