"""Servers that send bytes without end, and what they may cost a host."""

import asyncio
import time

import pytest

from apricotseam.http1._client import Connection
from apricotseam.http1 import EventSplitter
from apricotseam.http1 import MalformedAnswerError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError

DEADLINE_SECONDS = 0.3
# Longest time after the deadline at which a call may end.
LATE_SECONDS = 0.1
# A hanging test fails after this time.
GIVE_UP_SECONDS = 5.0
PIECE_BYTES = 1 << 14
# Bytes that a connection may hold unread, and an event that is incomplete.
MAX_BUFFERED_BYTES = 1 << 20
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class FakeTransport:
    """Transport of which the test plays the server's side."""

    def __init__(self):
        self.is_closed = False
        self.is_paused = False

    def get_extra_info(self, name):
        """Return that there is no socket."""

    def write(self, data):
        """Accept all data."""

    def get_write_buffer_size(self):
        """Return that all was sent."""
        return 0

    def pause_reading(self):
        """Stop the server."""
        self.is_paused = True

    def resume_reading(self):
        """Let the server go on."""
        self.is_paused = False

    def abort(self):
        """Close the connection."""
        self.is_closed = True


class EndlessServer:
    """Sends a beginning, and then a part again and again.

    Parameters
    ----------
    begin, part : bytes
        What is sent first, and what is repeated.
    seconds : float
        Time between two pieces; 0 is as fast as it can.
    """

    def __init__(self, begin, part, seconds):
        self.received_bytes = 0
        self.transport = FakeTransport()
        self.connection = Connection("10.0.0.1:80")
        self.connection.connection_made(self.transport)
        self._begin = begin
        self._part = part
        self._seconds = seconds

    async def run(self):
        """Send until the connection is closed."""
        self._send(self._begin)
        piece = self._part
        if not self._seconds:
            piece *= max(1, PIECE_BYTES // len(piece))
        while not self.transport.is_closed:
            await asyncio.sleep(self._seconds)
            if not (self.transport.is_paused or self.transport.is_closed):
                self._send(piece)

    def _send(self, data):
        self.received_bytes += len(data)
        self.connection.data_received(data)


async def read_answer(connection, deadline):
    """Read a whole answer, of at most 8 MB."""
    await connection.head(deadline)
    return await connection.read_all(deadline, 8 << 20)


# Description, first bytes, what is repeated, seconds between repeats.
ENDLESS = [
    ("heads as fast as possible", b"", CONTINUE, 0.0),
    ("heads now and then", b"", CONTINUE, 0.02),
    ("one head as fast as possible", HEAD, b"X-Filler: abcdefgh\r\n", 0.0),
    ("one head now and then", HEAD, b"X", 0.02),
    ("body as fast as possible", CHUNKED, b"4\r\nabcd\r\n", 0.0),
    ("body in small chunks", CHUNKED, b"1\r\na\r\n", 0.0),
    ("body now and then", CHUNKED, b"1\r\na\r\n", 0.02),
    ("body without length", HEAD + b"\r\n", b"abcdefgh", 0.0),
    ("chunk header", CHUNKED + b"1;", b"x", 0.0),
]


# Guards against hosts that a server keeps busy beyond the deadline of a call.
@pytest.mark.parametrize(
    ("begin", "part", "seconds"),
    [case[1:] for case in ENDLESS],
    ids=[case[0] for case in ENDLESS],
)
def test_answer_without_end_is_given_up_by_the_deadline(begin, part, seconds):
    async def scenario():
        loop = asyncio.get_running_loop()
        server = EndlessServer(begin, part, seconds)
        server.connection.send(b"GET", b"/", [(b"Host", b"a")])
        sending = loop.create_task(server.run())
        deadline = loop.time() + DEADLINE_SECONDS
        try:
            async with asyncio.timeout(GIVE_UP_SECONDS):
                with pytest.raises(TransportError):
                    await read_answer(server.connection, deadline)
            return loop.time() - deadline
        finally:
            server.connection.close()
            await sending

    assert asyncio.run(scenario()) <= LATE_SECONDS


# Guards against one server's bytes that keep a host from its other work.
@pytest.mark.parametrize(
    ("begin", "part"),
    [case[1:3] for case in ENDLESS if not case[3]],
    ids=[case[0] for case in ENDLESS if not case[3]],
)
def test_bytes_without_end_do_not_stop_the_host(begin, part):
    async def scenario():
        loop = asyncio.get_running_loop()
        server = EndlessServer(begin, part, 0.0)
        server.connection.send(b"GET", b"/", [(b"Host", b"a")])
        deadline = loop.time() + DEADLINE_SECONDS
        sending = loop.create_task(server.run())
        reading = loop.create_task(read_answer(server.connection, deadline))
        longest_turn = 0.0
        while not reading.done() and loop.time() < deadline + LATE_SECONDS:
            turn_began_at = time.process_time()
            await asyncio.sleep(0)
            turn_seconds = time.process_time() - turn_began_at
            longest_turn = max(longest_turn, turn_seconds)
        is_done = reading.done()
        reading.cancel()
        server.connection.close()
        await asyncio.gather(sending, reading, return_exceptions=True)
        return is_done, longest_turn

    is_done, longest_turn = asyncio.run(scenario())
    assert is_done
    assert longest_turn <= LATE_SECONDS


@pytest.mark.parametrize("reads_head", [False, True])
def test_unread_bytes_are_bounded(reads_head):
    """The reader waits for its caller meanwhile."""

    async def scenario():
        loop = asyncio.get_running_loop()
        server = EndlessServer(CHUNKED, b"4\r\nabcd\r\n", 0.0)
        server.connection.send(b"GET", b"/", [(b"Host", b"a")])
        sending = loop.create_task(server.run())
        if reads_head:
            await server.connection.head(loop.time() + GIVE_UP_SECONDS)
        for _ in range(2000):
            await asyncio.sleep(0)
        held = server.received_bytes
        server.connection.close()
        await sending
        return held

    assert asyncio.run(scenario()) <= MAX_BUFFERED_BYTES


def test_reader_gets_all_bytes_although_the_server_was_paused():
    body = bytes(range(256)) * 4096

    async def scenario():
        loop = asyncio.get_running_loop()
        server = EndlessServer(b"", b"", 0.0)
        connection = server.connection
        connection.send(b"GET", b"/", [(b"Host", b"a")])
        size = str(len(body)).encode()
        data = HEAD + b"Content-Length: " + size + b"\r\n\r\n" + body

        async def send():
            for start in range(0, len(data), PIECE_BYTES):
                while server.transport.is_paused:
                    await asyncio.sleep(0)
                connection.data_received(data[start : start + PIECE_BYTES])

        sending = loop.create_task(send())
        deadline = loop.time() + GIVE_UP_SECONDS
        await connection.head(deadline)
        await asyncio.sleep(0.05)
        found = await connection.read_all(deadline, len(body))
        await sending
        return found, connection.is_usable, server.transport.is_paused

    assert asyncio.run(scenario()) == (body, True, False)


def test_reading_goes_on_after_an_answer_that_came_at_once():
    """Guards against a kept connection that stays paused."""
    body = b"x" * MAX_BUFFERED_BYTES

    async def scenario():
        loop = asyncio.get_running_loop()
        server = EndlessServer(b"", b"", 0.0)
        connection = server.connection
        connection.send(b"GET", b"/", [(b"Host", b"a")])
        size = str(len(body)).encode()
        connection.data_received(
            HEAD + b"Content-Length: " + size + b"\r\n\r\n" + body
        )
        deadline = loop.time() + GIVE_UP_SECONDS
        await connection.head(deadline)
        found = await connection.read_all(deadline, len(body))
        return found, connection.is_usable, server.transport.is_paused

    assert asyncio.run(scenario()) == (body, True, False)


def feed_event(size, pieces=PIECE_BYTES):
    """Feed an event that never ends; return the processor time."""
    splitter = EventSplitter()
    piece = b"x" * pieces
    started_at = time.process_time()
    for _ in range(size // pieces):
        splitter.feed(piece)
    return time.process_time() - started_at


def test_event_without_end_is_malformed():
    splitter = EventSplitter()
    with pytest.raises(MalformedAnswerError):
        for _ in range(4 * MAX_BUFFERED_BYTES // PIECE_BYTES):
            splitter.feed(b"x" * PIECE_BYTES)


def test_cost_of_an_event_grows_with_its_size_only():
    """A ratio of 64 would be that of a quadratic cost."""
    large = 1 << 19
    seconds = min(feed_event(large, 256) for _ in range(3))
    small = min(feed_event(large // 8, 256) for _ in range(3))
    assert seconds <= 12 * small + 0.01


def test_deadline_is_that_of_the_call_although_bytes_arrive():
    async def scenario():
        loop = asyncio.get_running_loop()
        server = EndlessServer(CHUNKED, b"1\r\na\r\n", 0.0)
        server.connection.send(b"GET", b"/", [(b"Host", b"a")])
        sending = loop.create_task(server.run())
        deadline = loop.time() + DEADLINE_SECONDS
        try:
            await server.connection.head(deadline)
            async with asyncio.timeout(GIVE_UP_SECONDS):
                while True:
                    await server.connection.read(deadline)
        finally:
            server.connection.close()
            await sending

    with pytest.raises(TransportTimeoutError):
        asyncio.run(scenario())


def test_bytes_before_the_first_request_close_the_connection():
    connection = Connection("10.0.0.1:80")
    connection.connection_made(FakeTransport())
    connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
    assert not connection.is_usable
