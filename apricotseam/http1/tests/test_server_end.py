"""A request that was read is answered before its connection ends."""

import asyncio
import socket

import pytest

from apricotseam.http1._sockets import CLIENT_USER_TIMEOUT_MILLISECONDS
from apricotseam.http1._sockets import USER_TIMEOUT_MILLISECONDS
from apricotseam.http1 import Limits
from apricotseam.http1 import Server
from apricotseam.http1 import TransportTimeoutError
from apricotseam.web import free_address

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
TIMEOUT_SECONDS = 3.0
LARGE_BODY = b"x" * (4 << 20)


class Fixture:
    """A server with limits that a test may change, and a client."""

    def __init__(self, handler, **limits):
        self.limits = Limits(**limits)
        self.server = Server(handler, lambda: self.limits)
        self.reader = None
        self.writer = None

    async def __aenter__(self):
        address = free_address()
        await self.server.start(address)
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        return self

    async def __aexit__(self, *_):
        self.writer.close()
        self.server.abort()

    async def read_all(self):
        """Return what the client receives until the connection ends."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.reader.read()

    async def read_head(self):
        """Return the head of a response."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.reader.readuntil(b"\r\n\r\n")


async def answer_ok(request, exchange):
    """Answer with status 200."""
    exchange.answer(200)


async def answer_large(request, exchange):
    """Answer with more than the send buffers hold."""
    exchange.answer(200, LARGE_BODY)


async def return_without_answer(request, exchange):
    """Return without an answer."""


async def await_cancelled_task(request, exchange):
    """Wait for a task that something else cancels."""
    task = asyncio.get_running_loop().create_task(asyncio.sleep(30))
    asyncio.get_running_loop().call_soon(task.cancel)
    await task


async def send_invalid_header(request, exchange):
    """Start an answer that cannot be sent."""
    exchange.answer(200, headers=[(b"bad name", b"a")])


# Description, handler.
HANDLERS_THAT_DO_NOT_ANSWER = [
    ("returns", return_without_answer),
    ("is cancelled by a shared task", await_cancelled_task),
    ("sends an invalid header", send_invalid_header),
]


@pytest.mark.parametrize(
    "handler",
    [case[1] for case in HANDLERS_THAT_DO_NOT_ANSWER],
    ids=[case[0] for case in HANDLERS_THAT_DO_NOT_ANSWER],
)
def test_handler_that_does_not_answer_yields_500(handler):
    """Guards against a request that gets neither answer nor refusal."""

    async def scenario():
        async with Fixture(handler) as fixture:
            fixture.writer.write(REQUEST)
            return await fixture.read_all()

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 500")


def test_half_received_request_is_answered_after_the_listener_closed():
    """Guards against a request that is cut while the process ends."""

    async def scenario():
        async with Fixture(answer_ok) as fixture:
            fixture.writer.write(REQUEST[:10])
            await asyncio.sleep(0.05)
            fixture.server.stop_listening()
            fixture.writer.write(REQUEST[10:])
            return await fixture.read_all()

    answer = asyncio.run(scenario()).lower()
    assert answer.startswith(b"http/1.1 200")
    assert b"connection: close" in answer


def test_answer_that_is_not_sent_yet_counts_as_unfinished():
    """Guards against an end of the process that discards an answer."""

    async def scenario():
        async with Fixture(answer_large) as fixture:
            fixture.writer.write(REQUEST)
            await fixture.read_head()
            fixture.server.stop_listening()
            before = fixture.server.has_unfinished
            async with asyncio.timeout(TIMEOUT_SECONDS):
                body = await fixture.reader.read()
            await asyncio.sleep(0.05)
            return before, len(body), fixture.server.has_unfinished

    assert asyncio.run(scenario()) == (True, len(LARGE_BODY), False)


def test_refusal_arrives_although_the_client_is_still_sending():
    """Guards against a reset that destroys a refusal on its way."""

    async def scenario():
        async with Fixture(answer_ok, body_bytes=16) as fixture:
            fixture.writer.write(
                b"POST /a HTTP/1.1\r\nHost: a\r\n"
                b"Content-Length: 4000000\r\n\r\n"
            )
            for _ in range(40):
                fixture.writer.write(b"x" * 100000)
                await asyncio.sleep(0)
            await asyncio.sleep(0.1)
            return await fixture.read_all()

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 413")


def test_idle_connection_follows_a_raised_limit():
    """Guards against a close that crosses a request after a change."""

    async def scenario():
        async with Fixture(answer_ok, idle_seconds=0.2) as fixture:
            fixture.limits = Limits(idle_seconds=5.0)
            await asyncio.sleep(0.4)
            fixture.writer.write(REQUEST)
            return await fixture.read_head()

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")


def test_kept_connection_follows_a_raised_size_limit():
    """Guards against a refusal for a limit that is no longer in force."""

    async def scenario():
        async with Fixture(answer_ok, head_bytes=256) as fixture:
            fixture.limits = Limits(head_bytes=4096)
            head = REQUEST[:-2] + b"X: " + b"a" * 1000
            fixture.writer.write(head)
            await asyncio.sleep(0.05)
            fixture.writer.write(b"\r\n\r\n")
            return await fixture.read_head()

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")


def test_client_that_reads_nothing_for_seconds_gets_its_whole_answer():
    """Guards against an answer that is cut as its client reads slowly."""

    async def scenario():
        async with Fixture(answer_large) as fixture:
            fixture.writer.write(REQUEST)
            await fixture.read_head()
            await asyncio.sleep(1.2 * USER_TIMEOUT_MILLISECONDS / 1000)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return len(await fixture.reader.readexactly(len(LARGE_BODY)))

    assert asyncio.run(scenario()) == len(LARGE_BODY)


def test_request_after_an_answer_that_announced_no_close_is_answered():
    """Guards against a request that is read and thrown away."""
    release = asyncio.Event()

    async def stream(request, exchange):
        exchange.start(200, [(b"Content-Length", b"1")])
        await release.wait()
        await exchange.write(b"a")
        exchange.end()

    async def scenario():
        async with Fixture(stream) as fixture:
            fixture.writer.write(REQUEST)
            head = await fixture.read_head()
            fixture.server.stop_listening()
            release.set()
            await fixture.reader.readexactly(1)
            fixture.writer.write(REQUEST)
            return head.lower(), (await fixture.read_head()).lower()

    first, second = asyncio.run(scenario())
    assert b"connection: close" not in first
    assert second.startswith(b"http/1.1 200")
    assert b"connection: close" in second


def test_refusal_arrives_although_the_server_stops():
    """Guards against a refusal that the end of the process destroys."""

    async def scenario():
        async with Fixture(answer_ok, body_bytes=16) as fixture:
            fixture.writer.write(
                b"POST /a HTTP/1.1\r\nHost: a\r\n"
                b"Content-Length: 4000000\r\n\r\n"
            )
            for _ in range(20):
                fixture.writer.write(b"x" * 100000)
                await asyncio.sleep(0)
            fixture.server.stop_listening()
            for _ in range(20):
                fixture.writer.write(b"x" * 100000)
                await asyncio.sleep(0)
            await asyncio.sleep(0.1)
            return await fixture.read_all()

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 413")


def test_write_to_a_client_that_reads_nothing_ends_at_its_deadline():
    """Guards against a stream that outlives its request's time."""

    async def stream(request, exchange):
        deadline = asyncio.get_running_loop().time() + 0.3
        exchange.start(200, [])
        try:
            while True:
                await exchange.write(LARGE_BODY, deadline)
        except TransportTimeoutError:
            exchange.abort_response()
            ended.append(request.path)

    ended = []

    async def scenario():
        async with Fixture(stream) as fixture:
            fixture.writer.write(REQUEST)
            await fixture.read_head()
            await asyncio.sleep(0.6)

    asyncio.run(scenario())
    assert ended == ["/a"]


def test_vanished_client_is_noticed_soon_unless_bytes_wait_for_it():
    """Guards against work for a caller that is gone without a word."""

    async def scenario():
        async with Fixture(answer_large) as fixture:
            await asyncio.sleep(0.05)
            (connection,) = fixture.server.connections
            before = user_timeout(connection)
            fixture.writer.write(REQUEST)
            await fixture.read_head()
            during = user_timeout(connection)
            await fixture.reader.readexactly(len(LARGE_BODY))
            return before, during, user_timeout(connection)

    assert asyncio.run(scenario()) == (
        USER_TIMEOUT_MILLISECONDS,
        CLIENT_USER_TIMEOUT_MILLISECONDS,
        USER_TIMEOUT_MILLISECONDS,
    )


def user_timeout(connection):
    """Return the time after which the kernel gives up a connection in ms."""
    sock = connection.transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
