"""What targets say about themselves, valid and malformed."""

import pytest

from apricotseam.http1 import ResponseHead
from apricotseam.platform import Announcement
from apricotseam.platform import decode_announcement

LEAVING = Announcement(is_leaving=True)
NOTHING = Announcement()
INVALID = Announcement(has_invalid_rest=True)


def rest(seconds, has_invalid_rest=False):
    """Return an announcement of a rest."""
    return Announcement(
        rest_seconds=seconds, has_invalid_rest=has_invalid_rest
    )


# Description, status, headers, what they mean.
CASES = [
    ("answer", 200, {b"Server-Leaving": b"1"}, LEAVING),
    ("other case", 200, {b"server-leaving": b" 1 "}, LEAVING),
    ("refusal", 503, {b"Server-Leaving": b"1"}, LEAVING),
    ("not leaving", 200, {b"Server-Leaving": b"0"}, NOTHING),
    ("empty", 200, {b"Server-Leaving": b""}, NOTHING),
    ("whole seconds", 503, {b"Retry-After": b"2"}, rest(2.0)),
    ("fraction", 503, {b"Retry-After": b"0.25"}, rest(0.25)),
    ("very large", 503, {b"Retry-After": b"9" * 30}, rest(1e30)),
    ("larger than a float", 503, {b"Retry-After": b"9" * 400}, rest(1e400)),
    ("missing", 503, {}, NOTHING),
    ("another status", 429, {b"Retry-After": b"2"}, NOTHING),
    ("answer with a value", 200, {b"Retry-After": b"2"}, NOTHING),
    ("negative", 503, {b"Retry-After": b"-1"}, INVALID),
    ("word", 503, {b"Retry-After": b"soon"}, INVALID),
    ("not a number", 503, {b"Retry-After": b"nan"}, INVALID),
    ("infinite", 503, {b"Retry-After": b"inf"}, INVALID),
    ("empty value", 503, {b"Retry-After": b""}, INVALID),
    ("exponent", 503, {b"Retry-After": b"1e3"}, INVALID),
    ("other digits", 503, {b"Retry-After": "٣".encode()}, INVALID),
    ("two in one", 503, {b"Retry-After": b"2, 1"}, rest(2.0)),
    ("one of two valid", 503, {b"Retry-After": b"x, 1"}, rest(1.0, True)),
]


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_announcement(status, headers, expected):
    head = ResponseHead(status, b"", list(headers.items()))
    assert decode_announcement(head) == expected


@pytest.mark.parametrize("values", [(b"1", b"3"), (b"3", b"1"), (b"3", b"")])
def test_longest_of_two_headers_counts(values):
    headers = [(b"Retry-After", value) for value in values]
    head = ResponseHead(503, b"", headers)
    assert decode_announcement(head).rest_seconds == 3.0


def limit(requests_per_second, has_invalid_limit=False):
    """Return an announcement of a limit."""
    return Announcement(
        requests_per_second=requests_per_second,
        has_invalid_limit=has_invalid_limit,
    )


# Description, status, values of Server-Limit, what is decoded.
LIMITS = [
    ("whole", 200, [b"3"], limit(3.0)),
    ("fraction", 200, [b"2.5"], limit(2.5)),
    ("zero", 200, [b"0"], limit(0.0)),
    ("refusal", 503, [b"2.5"], limit(2.5)),
    ("failure", 500, [b"2.5"], limit(2.5)),
    ("very large", 200, [b"9" * 400], limit(float("inf"))),
    ("negative", 200, [b"-1"], limit(None, True)),
    ("word", 200, [b"few"], limit(None, True)),
    ("not a number", 200, [b"nan"], limit(None, True)),
    ("exponent", 200, [b"1e1"], limit(None, True)),
    ("empty", 200, [b""], limit(None, True)),
    ("two headers", 200, [b"4", b"2"], limit(2.0)),
    ("two in one", 200, [b"2, 4"], limit(2.0)),
    ("one of two valid", 200, [b"x", b"4"], limit(4.0, True)),
    ("none", 200, [], NOTHING),
]


@pytest.mark.parametrize(
    ("status", "values", "expected"),
    [case[1:] for case in LIMITS],
    ids=[case[0] for case in LIMITS],
)
def test_limit(status, values, expected):
    headers = [(b"Server-Limit", value) for value in values]
    assert decode_announcement(ResponseHead(status, b"", headers)) == expected
