"""Format, identity and expiry of callers' idempotency keys."""

import hashlib
import re
import uuid

import msgspec

from apricotseam.errors import InvalidRequestError
from apricotseam.execution._shards import shard_of

# Validity of keys that contain their creation time, and of other keys.
TIMED_KEY_SECONDS = 600.0
UNTIMED_KEY_SECONDS = 86_400.0
# Time by which a caller's clock may be ahead of the host's.
MAX_CLOCK_SKEW_SECONDS = 60.0
MAX_KEY_CHARACTERS = 255
IDENTIFIER_BYTES = 16

_KEY_PATTERN = re.compile(r"[\x21-\x7e]+\Z")


class CallerKey(msgspec.Struct, frozen=True, kw_only=True):
    """Digest, creation time and expiry of an idempotency key.

    Times are in seconds since 1970. ``made`` is the creation time if the
    key contains it. Only such a key can be recognised as expired; another
    key is forgotten with its claim, and a later copy would run again.
    """

    identifier: bytes
    made: float | None
    expires: float

    @property
    def shard(self):
        """Number of the shard in which the key is claimed."""
        return shard_of(self.identifier, self.made)

    def is_expired(self, now):
        """Return whether the key is known to have expired."""
        return self.made is not None and now >= self.expires


def parse_key(scope, customer, text, now):
    """Parse the idempotency key of a request header.

    A UUID of version 7 contains its creation time and expires
    `TIMED_KEY_SECONDS` after it. Any other key expires
    `UNTIMED_KEY_SECONDS` from now.

    Parameters
    ----------
    scope, customer : str
        Customer that sent the key; keys of different customers differ.
    text : str
        Text of the header.
    now : float
        Seconds since 1970.

    Returns
    -------
    CallerKey

    Raises
    ------
    InvalidRequestError
        If the text is empty, too long or not printable, or if its creation
        time is in the future.

    Examples
    --------
    >>> key = parse_key("s", "c", "booking-17", 1000.0)
    >>> key.made, key.expires
    (None, 87400.0)
    """
    if len(text) > MAX_KEY_CHARACTERS or not _KEY_PATTERN.match(text):
        raise InvalidRequestError(
            "the idempotency key does not have 1 to 255 printable characters",
            "send a UUID of version 7",
        )
    made = _creation_time(text)
    if made is not None and made > now + MAX_CLOCK_SKEW_SECONDS:
        raise InvalidRequestError(
            "the creation time in the idempotency key is in the future",
            "correct the clock that creates your keys, or use a ticket",
        )
    expires = now + UNTIMED_KEY_SECONDS
    if made is not None:
        expires = made + TIMED_KEY_SECONDS
    return CallerKey(
        identifier=_identifier(scope, customer, text),
        made=made,
        expires=expires,
    )


def _creation_time(text):
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


def _identifier(scope, customer, text):
    qualified_key = "\n".join((scope, customer, text.lower()))
    digest = hashlib.blake2b(
        qualified_key.encode(), digest_size=IDENTIFIER_BYTES
    )
    return digest.digest()
