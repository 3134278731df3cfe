"""Shards of claimed keys, and the pure merge of new claims into one."""

import msgspec

MAX_SHARD_CLAIMS = 2000
PLAIN_SHARDS = 256
BUCKET_SECONDS = 10.0
BUCKET_SHARDS = 4
RING_BUCKETS = 96
RING_SHARDS = RING_BUCKETS * BUCKET_SHARDS
PRUNE_MARGIN_SECONDS = 120.0


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """The one attempt that may run a claimed request.

    ``expires`` is the time in seconds since 1970 until which the claim
    is kept at least.
    """

    address: str
    incarnation: int
    attempt: str
    digest: bytes
    expires: float


class Shard(msgspec.Struct, frozen=True, array_like=True):
    """Claims of one shard as they stand in the key-value service."""

    holders: dict[bytes, Holder] = {}


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A claim of one key, which falls in a shard, by one attempt."""

    shard: int
    identifier: bytes
    holder: Holder


def shard_of(identifier, made):
    """Return the number of the shard that a key falls in.

    Keys that state when they were made share few shards with those made
    in the same seconds, so that claims of one moment travel together.
    These shards are used again in a ring, long after their claims expired.

    Parameters
    ----------
    identifier : bytes
        Digest of the key.
    made : float or None
        When the key was made, in seconds since 1970, if it says so.

    Examples
    --------
    >>> shard_of(bytes(16), 1000.0), shard_of(bytes(16), 1000.0 + 960)
    (16, 16)
    >>> shard_of(bytes([255] * 16), None)
    639
    """
    spread = int.from_bytes(identifier[:4], "big")
    if made is None:
        return RING_SHARDS + spread % PLAIN_SHARDS
    place = int(made // BUCKET_SECONDS) % RING_BUCKETS
    return place * BUCKET_SHARDS + spread % BUCKET_SHARDS


def encode_shard(shard):
    """Return the value of a shard in the key-value service."""
    return msgspec.msgpack.encode(shard)


def decode_shard(value):
    """Return the shard that a value stands for."""
    return msgspec.msgpack.decode(value, type=Shard)


def merge_claims(shard, entries, now, limit=MAX_SHARD_CLAIMS):
    """Merge new claims into a shard.

    Parameters
    ----------
    shard : Shard
        Claims that stand.
    entries : list of Entry
        New claims; the first of one identifier wins.
    now : float
        Seconds since 1970.
    limit : int
        Bound on the claims of a shard.

    Returns
    -------
    merged : Shard
        The shard to swap in; `shard` itself if nothing was added.
    holders : list of Holder or None
        Who holds each entry's key once the swap took place; None if the
        shard is full.
    """
    standing = {
        identifier: holder
        for identifier, holder in shard.holders.items()
        if holder.expires + PRUNE_MARGIN_SECONDS > now
    }
    added = False
    answers = []
    for entry in entries:
        holder = standing.get(entry.identifier)
        if holder is None and len(standing) < limit:
            holder = entry.holder
            standing[entry.identifier] = holder
            added = True
        answers.append(holder)
    return (Shard(standing) if added else shard), answers
