"""Shards of claimed idempotency keys, and the merge of new claims."""

import msgspec

MAX_SHARD_CLAIMS = 2000
# Shards of keys without a creation time.
UNTIMED_SHARDS = 256
# Keys with a creation time are grouped in buckets of this length.
BUCKET_SECONDS = 10.0
BUCKET_SHARDS = 4
# A ring of 96 buckets spans 960 s. A claim of a key with a creation time is
# needed for 720 s, so it can be pruned before its shard is used again.
RING_BUCKETS = 96
RING_SHARDS = RING_BUCKETS * BUCKET_SHARDS
# Time for which a claim is stored after it expired.
PRUNE_MARGIN_SECONDS = 120.0


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """The only attempt that may run the request of a claimed key.

    ``address`` and ``incarnation`` identify the host and its process, and
    ``digest`` the request. The claim is stored at least until ``expires``,
    in seconds since 1970.
    """

    address: str
    incarnation: int
    attempt: str
    digest: bytes
    expires: float


class Shard(msgspec.Struct, frozen=True, array_like=True):
    """Claims of one shard, as stored in the key-value service."""

    holders: dict[bytes, Holder] = {}


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A claim of one key in a shard by one attempt."""

    shard: int
    identifier: bytes
    holder: Holder


def shard_of(identifier, made):
    """Return the number of the shard in which a key is claimed.

    Keys that were created within the same `BUCKET_SECONDS` share
    `BUCKET_SHARDS` shards, so that claims made at the same time can be
    batched. The buckets form a ring, whose shards are used again long after
    their claims expired.

    Parameters
    ----------
    identifier : bytes
        Digest of the key.
    made : float or None
        Creation time of the key in seconds since 1970, if it contains it.

    Examples
    --------
    >>> shard_of(bytes(16), 1000.0), shard_of(bytes(16), 1000.0 + 960)
    (16, 16)
    >>> shard_of(bytes([255] * 16), None)
    639
    """
    key_hash = int.from_bytes(identifier[:4], "big")
    if made is None:
        return RING_SHARDS + key_hash % UNTIMED_SHARDS
    bucket = int(made // BUCKET_SECONDS) % RING_BUCKETS
    return bucket * BUCKET_SHARDS + key_hash % BUCKET_SHARDS


def encode_shard(shard):
    """Return the value to store for a shard in the key-value service."""
    return msgspec.msgpack.encode(shard)


def decode_shard(value):
    """Return the shard that a stored value encodes."""
    return msgspec.msgpack.decode(value, type=Shard)


def merge_claims(shard, entries, now, limit=MAX_SHARD_CLAIMS):
    """Merge new claims into a shard and prune those that expired.

    Parameters
    ----------
    shard : Shard
        Current claims.
    entries : list of Entry
        New claims; the first one for an identifier wins.
    now : float
        Seconds since 1970.
    limit : int
        Maximum number of claims in the shard.

    Returns
    -------
    merged : Shard
        The new shard; `shard` itself if no claim was added.
    holders : list of Holder or None
        Holder of each entry's key after the swap; None if the shard is
        full.
    """
    live_claims = {
        identifier: holder
        for identifier, holder in shard.holders.items()
        if holder.expires + PRUNE_MARGIN_SECONDS > now
    }
    added = False
    holders = []
    for entry in entries:
        holder = live_claims.get(entry.identifier)
        if holder is None and len(live_claims) < limit:
            holder = entry.holder
            live_claims[entry.identifier] = holder
            added = True
        holders.append(holder)
    return (Shard(live_claims) if added else shard), holders
