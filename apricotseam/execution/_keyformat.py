"""Callers' idempotency keys: identity, and the deadline of each."""

import hashlib
import re
import uuid

import msgspec

from apricotseam.errors import InvalidRequestError
from apricotseam.execution._shards import shard_of

TIMED_KEY_SECONDS = 600.0
PLAIN_KEY_SECONDS = 86_400.0
MAX_SKEW_SECONDS = 60.0
MAX_KEY_CHARACTERS = 255
IDENTIFIER_BYTES = 16

_ALLOWED = re.compile(r"[\x21-\x7e]+\Z")


class CallerKey(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's key: digest, when it was made if it says so, expiry.

    Times are in seconds since 1970. A key that states its own time is
    recognised as late for ever; another one only while it is kept.
    """

    identifier: bytes
    made: float | None
    expires: float

    @property
    def shard(self):
        """Number of the shard in which it is claimed."""
        return shard_of(self.identifier, self.made)

    def is_late(self, now):
        """Return whether the key may not be run any more."""
        return self.made is not None and now >= self.expires


def read_key(scope, customer, text, now):
    """Return the `CallerKey` of a header's text.

    A UUID of version 7 states when it was made and expires
    `TIMED_KEY_SECONDS` later.

    Raises
    ------
    InvalidRequestError
        If the text is empty, too long, not printable, or of the future.

    Examples
    --------
    >>> key = read_key("s", "c", "booking-17", 1000.0)
    >>> key.made, key.expires
    (None, 87400.0)
    """
    if len(text) > MAX_KEY_CHARACTERS or not _ALLOWED.match(text):
        raise InvalidRequestError(
            "the idempotency key is not 1 to 255 printable characters",
            "send a UUID of version 7",
        )
    made = _made_at(text)
    if made is not None and made > now + MAX_SKEW_SECONDS:
        raise InvalidRequestError(
            "the idempotency key states a time that is not yet",
            "set the clock that makes your keys, or use a ticket",
        )
    expires = now + PLAIN_KEY_SECONDS
    if made is not None:
        expires = made + TIMED_KEY_SECONDS
    return CallerKey(
        identifier=_identifier(scope, customer, text),
        made=made,
        expires=expires,
    )


def _made_at(text):
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


def _identifier(scope, customer, text):
    whole = "\n".join((scope, customer, text.lower()))
    digest = hashlib.blake2b(whole.encode(), digest_size=IDENTIFIER_BYTES)
    return digest.digest()
