"""What a target says about itself in the head of any response."""

import re

import msgspec

from apricotseam.platform._requests import RETRY_AFTER_HEADER

LEAVING_HEADER = b"server-leaving"
LEAVING_VALUE = "1"
LIMIT_HEADER = b"server-limit"
SERVICE_UNAVAILABLE = 503

_RETRY_AFTER_LOWER = RETRY_AFTER_HEADER.lower()
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?")


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says about itself in a response.

    ``is_leaving`` is True if its process is about to exit. ``rest_seconds``
    is the time for which it wants no requests from this host, None if it
    states none. ``has_invalid_rest`` is True if it states a time that
    cannot be read. ``requests_per_second`` is the rate that it accepts from
    all hosts together, None if it states none, and ``has_invalid_limit`` is
    True if it states one that cannot be read.
    """

    is_leaving: bool = False
    rest_seconds: float | None = None
    has_invalid_rest: bool = False
    requests_per_second: float | None = None
    has_invalid_limit: bool = False


def decode_announcement(response):
    """Return the `Announcement` of a response.

    Only a refusal with status 503 states a rest. Of several values the
    longest valid one counts. A value is invalid if it is not a number of
    seconds, whole or with a fraction; a negative one or a date is not.
    Any response may state a limit; of several values the lowest valid one
    counts.

    Parameters
    ----------
    response : ResponseHead
        Head of the response.

    Examples
    --------
    >>> from apricotseam.http1 import ResponseHead
    >>> head = ResponseHead(503, b"", [(b"Retry-After", b"1.5")])
    >>> decode_announcement(head).rest_seconds
    1.5
    >>> head = ResponseHead(200, b"", [(b"Server-Limit", b"2.5")])
    >>> decode_announcement(head).requests_per_second
    2.5
    """
    is_leaving = (response.header(LEAVING_HEADER) or "").strip()
    rest_seconds = None
    has_invalid_rest = False
    if response.status == SERVICE_UNAVAILABLE:
        texts = _values(response, _RETRY_AFTER_LOWER)
        valid = _decimals(texts)
        rest_seconds = max(valid, default=None)
        has_invalid_rest = len(valid) < len(texts)
    limit_texts = _values(response, LIMIT_HEADER)
    limits = _decimals(limit_texts)
    return Announcement(
        is_leaving=is_leaving == LEAVING_VALUE,
        rest_seconds=rest_seconds,
        has_invalid_rest=has_invalid_rest,
        requests_per_second=min(limits, default=None),
        has_invalid_limit=len(limits) < len(limit_texts),
    )


def _decimals(texts):
    """Return the texts that are decimal numbers, as numbers."""
    return [float(text) for text in texts if _DECIMAL.fullmatch(text)]


def _values(response, name):
    """Return all values of a header, also of one that occurs repeatedly."""
    return [
        part.strip()
        for header, value in response.headers
        if header.lower() == name
        for part in value.decode("latin-1").split(",")
    ]
