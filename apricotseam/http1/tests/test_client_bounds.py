"""What one client may make a server hold, and who is closed at a bound."""

import asyncio

import pytest

from apricotseam.http1 import ClientBounds
from apricotseam.http1 import ConnectionBudget
from apricotseam.http1 import Server
from apricotseam.web import free_address

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
TIMEOUT_SECONDS = 3.0
END_SECONDS = 0.5


class Clients:
    """A server with bounds, and clients that a test lets send.

    Parameters
    ----------
    handler : callable
        Handler of the server.
    **bounds
        Fields of `ClientBounds`.
    """

    def __init__(self, handler, **bounds):
        loop = asyncio.get_running_loop()
        self.budget = ConnectionBudget(ClientBounds(**bounds), loop.time, None)
        self.server = Server(handler, budget=self.budget)
        self.address = free_address()
        self._writers = []

    async def connect(self, data=b""):
        """Return reader and writer of a new client that sends some bytes."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self._writers.append(writer)
        writer.write(data)
        await asyncio.sleep(0.02)
        return reader, writer

    async def __aenter__(self):
        await self.server.start(self.address)
        return self

    async def __aexit__(self, *_):
        for writer in self._writers:
            writer.transport.abort()
        self.server.abort()


async def is_ended(reader):
    """Return whether the server has ended a connection."""
    try:
        async with asyncio.timeout(0.1):
            await reader.read()
            return True
    except TimeoutError:
        return False
    except ConnectionError:
        return True


# Guards against a client whose leaving is noticed late, as nothing that it
# sent ahead is read any more.
@pytest.mark.parametrize("ahead", [0, 1, 100_000, 1 << 20])
def test_end_of_a_client_is_noticed_whatever_it_sent_ahead(ahead):
    async def scenario():
        cancelled = asyncio.Event()

        async def handle(request, exchange):
            try:
                await asyncio.sleep(TIMEOUT_SECONDS)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        async with Clients(handle) as clients:
            _, writer = await clients.connect(REQUEST + b"x" * ahead)
            writer.transport.abort()
            async with asyncio.timeout(END_SECONDS):
                await cancelled.wait()

    asyncio.run(scenario())


# Guards against a client that sends many requests and reads no answer.
def test_requests_sent_ahead_wait_until_their_client_reads():
    handled = []

    async def handle(request, exchange):
        handled.append(request)
        exchange.answer(200, b"x" * (256 << 10))

    async def scenario():
        async with Clients(handle) as clients:
            reader, writer = await clients.connect()
            writer.transport.set_write_buffer_limits(0)
            reader._transport.pause_reading()
            writer.write(100 * REQUEST)
            await asyncio.sleep(0.3)
            before = len(handled)
            reader._transport.resume_reading()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while len(handled) < 100:
                    await reader.read(1 << 20)
            return before

    assert asyncio.run(scenario()) < 50


# Description, what the clients before the last one sent, which of them are
# closed as it connects.
SHED = [
    ("the longest idle one", [b"", b"", b""], [True, False, False]),
    (
        "an idle one before one that sends",
        [REQUEST[:9], b"", REQUEST[:9]],
        [False, True, False],
    ),
    (
        "none whose request is handled",
        [REQUEST, REQUEST, REQUEST[:9]],
        [False, False, True],
    ),
]


# Guards against new callers that are turned away for connections that make
# no progress, and against answers that are cut off for them.
@pytest.mark.parametrize(
    ("sent", "closed"), [case[1:] for case in SHED], ids=[c[0] for c in SHED]
)
def test_connection_without_progress_makes_room_for_a_new_one(sent, closed):
    async def handle(request, exchange):
        await asyncio.sleep(TIMEOUT_SECONDS)

    async def scenario():
        async with Clients(handle, max_connections=3) as clients:
            readers = [(await clients.connect(data))[0] for data in sent]
            newest, _ = await clients.connect()
            ended = [await is_ended(reader) for reader in readers]
            return ended, await is_ended(newest)

    assert asyncio.run(scenario()) == (closed, False)


# Guards against an unfinished body that takes the room of a small one.
def test_client_that_holds_the_most_is_refused():
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n"

    async def handle(request, exchange):
        exchange.answer(200)

    async def scenario():
        async with Clients(handle, max_held_bytes=100_000) as clients:
            large, _ = await clients.connect(head + b"x" * 80000)
            small, _ = await clients.connect(head + b"x" * 40000)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                refusal = await large.read()
            return refusal, await is_ended(small)

    refusal, is_small_ended = asyncio.run(scenario())
    assert refusal.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in refusal
    assert not is_small_ended
