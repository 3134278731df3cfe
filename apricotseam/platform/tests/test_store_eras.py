"""Eras that the store states in its answers."""

import asyncio

import pytest

from apricotseam.http1 import ResponseHead
from apricotseam.platform import Item
from apricotseam.platform import Lease
from apricotseam.platform import LeaseEndedError
from apricotseam.platform import StaleAnswerError
from apricotseam.platform import StoreClient
from apricotseam.platform import StoreConflictError
from apricotseam.platform import StoreError
from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position

PAGE = b'{"Entries": [], "HasMore": false, "At": 5}'


class FakeConnection:
    """Connection whose calls get prepared answers; also its own pool."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.calls = 0

    async def acquire(self, key, address, deadline, max_idle):
        """Return the connection."""
        return self

    def release(self, key, connection, response):
        """Keep the connection."""

    def send(self, *call):
        """Count a call."""
        self.calls += 1

    async def head(self, deadline):
        """Return the head of the next answer."""
        headers, self.body = self.answers.pop(0)
        return ResponseHead(200, b"", headers)

    async def read_all(self, deadline, limit, extend=None):
        """Return the body of the answer."""
        return self.body

    def close(self):
        """Close the connection."""


def make_client(*eras, body=PAGE):
    """Return a client whose answers state these eras, and its connection."""
    client = StoreClient("10.0.0.1:80")
    client._pool = FakeConnection(
        [([(b"Store-Era", era)] if era else [], body) for era in eras]
    )
    return client, client._pool


# Values of the header in a row, resulting position of the last listing.
ERAS = [
    ([None], Position.of(0, 5)),
    ([b"0"], Position.of(0, 5)),
    ([b"3"], Position.of(3, 5)),
    ([b"1", b"2"], Position.of(2, 5)),
    ([b"1", None], Position.of(1, 5)),
    ([b"8191"], Position.of(8191, 5)),
]


@pytest.mark.parametrize(("eras", "expected"), ERAS)
def test_position_of_a_listing(eras, expected):
    client, _ = make_client(*eras)
    pages = [asyncio.run(client.list_page("")) for _ in eras]
    assert pages[-1].position == expected
    assert client.era == expected.era


@pytest.mark.parametrize(
    "era", [b"x", b"-1", b"1.5", b"8192", b" ", b"\xb2", b"9" * 5000]
)
def test_invalid_era(era):
    client, _ = make_client(era)
    with pytest.raises(StoreError, match="invalid era"):
        asyncio.run(client.list_page(""))
    assert client.era == 0


def test_answer_of_an_earlier_era_is_dropped():
    client, _ = make_client(b"1", b"1")
    asyncio.run(client.list_page(""))
    client.notice_era(2)
    with pytest.raises(StaleAnswerError):
        asyncio.run(client.list_page(""))


# Calls that need a lease or position of an earlier era, and their errors.
OUTDATED = [
    (lambda c: c.keep_lease(Lease(0, 7)), LeaseEndedError),
    (lambda c: c.end_lease(Lease(0, 7)), LeaseEndedError),
    (
        lambda c: c.change(puts=[Item("a", b"", lease=Lease(0, 7))]),
        LeaseEndedError,
    ),
    (
        lambda c: c.change(expected=[("a", Position.of(0, 7))]),
        StoreConflictError,
    ),
]


@pytest.mark.parametrize(("call", "error"), OUTDATED)
def test_leases_and_positions_of_an_earlier_era_are_not_sent(call, error):
    client, connection = make_client()
    client.notice_era(1)
    with pytest.raises(error):
        asyncio.run(call(client))
    assert connection.calls == 0


# The same calls while the answer is the first one of the next era.
OVERTAKEN = [
    lambda c: c.keep_lease(Lease(0, 7)),
    lambda c: c.change(
        [("a", NO_POSITION)], [Item("a", b"", lease=Lease(0, 7))]
    ),
]


@pytest.mark.parametrize("call", OVERTAKEN)
def test_a_lease_ends_with_the_first_answer_of_the_next_era(call):
    client, _ = make_client(b"1", body=b'{"Revision": 5}')
    noticed = []
    client.on_new_era = lambda: noticed.append(client.era)
    with pytest.raises(LeaseEndedError):
        asyncio.run(call(client))
    assert noticed == [1]


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b'{"x":' + b"[" * 100_000, b'{"At": 1e999}', b'{"At": -1}'],
    ids=range(5),
)
def test_listing_that_cannot_be_read(body):
    """Guards against hosts that end on an answer of the store."""
    client, _ = make_client(b"1", body=body)
    with pytest.raises(StoreError, match="invalid response"):
        asyncio.run(client.list_page(""))
