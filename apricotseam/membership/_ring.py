"""Hash ring that determines which members each member contacts."""

import functools
import hashlib

SUCCESSORS = 3
MAX_CACHED_POSITIONS = 16_384


@functools.lru_cache(MAX_CACHED_POSITIONS)
def ring_position(address):
    """Return the position of an address on the ring.

    Examples
    --------
    >>> ring_position("127.0.0.1:1") == ring_position("127.0.0.1:1")
    True
    """
    digest = hashlib.blake2b(address.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_partners(ring_size, position):
    """Return the indices of the partners of one member on a ring.

    The partners are the next `SUCCESSORS` members and the members at
    distances that are powers of two. Their number, and the number of hops
    in which an update reaches all members, are therefore logarithmic in
    the size of the ring.

    Parameters
    ----------
    ring_size : int
        Number of members on the ring.
    position : int
        Index of the member.

    Returns
    -------
    list of int

    Examples
    --------
    >>> choose_partners(8, 0)
    [1, 2, 3, 4]
    >>> len(choose_partners(2200, 5))
    13
    """
    distances = set(range(1, SUCCESSORS + 1))
    step = 1
    while step < ring_size:
        distances.add(step)
        step *= 2
    return [
        (position + distance) % ring_size
        for distance in sorted(distances)
        if distance < ring_size
    ]
