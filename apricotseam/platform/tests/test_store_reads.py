"""Reads of the store over slow connections, with real sockets."""

import asyncio
import contextlib
import json
import time

import pytest

from apricotseam.platform import _store
from apricotseam.platform import StoreClient
from apricotseam.platform import StoreError
from apricotseam.positions import Position

ITEMS = 4
PAGE = json.dumps(
    {
        "Entries": [
            {"Key": f"k{number}", "Value": "", "Revision": number + 1}
            for number in range(ITEMS)
        ],
        "HasMore": False,
        "At": ITEMS,
    }
).encode()
# A call that is not answered may end so much later than its timeout.
LATE_SECONDS = 0.5


def read_page(parts, pause_seconds, expected_bytes=len(PAGE)):
    """Return a listing that a server sends in parts.

    Parameters
    ----------
    parts : iterable of bytes
        Parts of the body.
    pause_seconds : float
        Time before each part.
    expected_bytes : int
        Length that the head states.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {expected_bytes}\r\n\r\n"
        writer.write(head.encode())
        with contextlib.suppress(OSError):
            for part in parts:
                await asyncio.sleep(pause_seconds)
                writer.write(part)
                await writer.drain()
            await reader.read()
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            return await StoreClient(f"127.0.0.1:{port}").list_page("")

    return asyncio.run(scenario())


def test_a_listing_may_take_longer_than_a_call():
    """Guards against CONFIG: reads that are ended while they progress."""
    count = 5
    size = -(-len(PAGE) // count)
    parts = [PAGE[n * size : (n + 1) * size] for n in range(count)]
    pause = 1.2 * _store.CALL_TIMEOUT_SECONDS / count
    page = read_page(parts, pause)
    assert (len(page.items), page.position) == (ITEMS, Position(ITEMS))


# Case, parts of the body, pause before each, seconds after which it ends.
ENDED = [
    ("no progress", [PAGE[:9]], 0.0, _store.READ_STALL_SECONDS),
    ("no end", [b" "] * 1000, 0.1, 1.5),
]


@pytest.mark.parametrize(
    ("parts", "pause", "seconds"),
    [case[1:] for case in ENDED],
    ids=[case[0] for case in ENDED],
)
def test_a_listing_without_progress_or_end_is_given_up(
    parts, pause, seconds, monkeypatch
):
    monkeypatch.setattr(_store, "MAX_READ_SECONDS", 1.5)
    begun_at = time.monotonic()
    with pytest.raises(StoreError):
        read_page(parts, pause)
    assert time.monotonic() - begun_at < seconds + LATE_SECONDS
