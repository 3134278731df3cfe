"""Client connections against servers that send fixed bytes."""

import asyncio
import socket
import struct

import pytest

from apricotseam.http1 import connect
from apricotseam.http1 import ConnectError
from apricotseam.http1 import ConnectionPool
from apricotseam.http1 import LostConnectionError
from apricotseam.http1 import MalformedAnswerError
from apricotseam.http1 import RefusedConnectionError
from apricotseam.http1 import TransportTimeoutError
from apricotseam.web import free_address

WAIT_SECONDS = 2.0

# Name, bytes that the server sends, whether it then resets the connection,
# expected body or exception, whether the connection can be reused.
ANSWERS = [
    (
        "body with Content-Length",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        False,
        b"ab",
        True,
    ),
    (
        "chunked body",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
        False,
        b"ab",
        True,
    ),
    (
        "body up to the end of the connection",
        b"HTTP/1.1 200 OK\r\n\r\nab",
        False,
        b"ab",
        False,
    ),
    (
        "reset before the end of a body without a length",
        b"HTTP/1.1 200 OK\r\n\r\nab",
        True,
        LostConnectionError,
        False,
    ),
    (
        "body shorter than its Content-Length",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
        False,
        LostConnectionError,
        False,
    ),
    (
        "not HTTP",
        b"\x00\x01garbage\r\n\r\n",
        False,
        MalformedAnswerError,
        False,
    ),
    (
        "bytes after the end of the body",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK",
        False,
        b"ab",
        False,
    ),
    (
        "Connection: close",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab",
        False,
        b"ab",
        False,
    ),
]


class RawPeer:
    """Server that answers any bytes with fixed bytes.

    Parameters
    ----------
    data : bytes
        Bytes that it sends.
    resets : bool
        Whether it resets the connection afterwards.
    """

    def __init__(self, data, resets):
        self.data = data
        self.resets = resets

    async def serve(self, reader, writer):
        """Serve one connection."""
        await reader.read(100)
        writer.write(self.data)
        await writer.drain()
        if self.resets:
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        elif b"ngth: 2" not in self.data and b"chunked" not in self.data:
            writer.close()


async def exchange(data, resets):
    """Return the body that is read and whether the connection is usable."""
    address = free_address()
    host, _, port = address.rpartition(":")
    peer = RawPeer(data, resets)
    server = await asyncio.start_server(peer.serve, host, int(port))
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WAIT_SECONDS
    connection = await connect(address, deadline)
    try:
        connection.send(b"GET", b"/", [(b"Host", b"a")])
        await connection.head(deadline)
        body = await connection.read_all(deadline, 100)
        return body, connection.is_usable
    finally:
        connection.close()
        server.close()


@pytest.mark.parametrize(
    ("data", "resets", "expected", "is_reusable"),
    [case[1:] for case in ANSWERS],
    ids=[case[0] for case in ANSWERS],
)
def test_answers(data, resets, expected, is_reusable):
    if isinstance(expected, bytes):
        found = asyncio.run(exchange(data, resets))
        assert found == (expected, is_reusable)
        return
    with pytest.raises(expected):
        asyncio.run(exchange(data, resets))


def test_silence_ends_at_the_deadline():
    async def scenario():
        address = free_address()
        host, _, port = address.rpartition(":")

        async def serve(reader, writer):
            await reader.read()

        server = await asyncio.start_server(serve, host, int(port))
        loop = asyncio.get_running_loop()
        connection = await connect(address, loop.time() + WAIT_SECONDS)
        connection.send(b"GET", b"/", [(b"Host", b"a")])
        try:
            await connection.head(loop.time() + 0.05)
        finally:
            connection.close()
            server.close()

    with pytest.raises(TransportTimeoutError):
        asyncio.run(scenario())


# Seconds until the deadline, and whether the connection counts as refused.
UNOPENED = [
    ("no listener", WAIT_SECONDS, True),
    ("no time left", -1.0, False),
]


@pytest.mark.parametrize(
    ("seconds", "is_refused"),
    [case[1:] for case in UNOPENED],
    ids=[case[0] for case in UNOPENED],
)
def test_no_connection_is_a_connect_error(seconds, is_refused):
    async def scenario():
        loop = asyncio.get_running_loop()
        await connect(free_address(), loop.time() + seconds)

    with pytest.raises(ConnectError) as caught:
        asyncio.run(scenario())
    assert isinstance(caught.value, RefusedConnectionError) is is_refused


def test_pool_drops_a_connection_that_got_stray_bytes():
    async def scenario():
        address = free_address()
        host, _, port = address.rpartition(":")
        writers = []

        async def serve(reader, writer):
            writers.append(writer)
            while await reader.read(100):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, host, int(port))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_SECONDS
        pool = ConnectionPool()
        first = await pool.acquire("a", address, deadline)
        first.send(b"GET", b"/", [(b"Host", b"a")])
        await first.head(deadline)
        await first.read_all(deadline, 10)
        pool.release("a", first)
        writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(0.05)
        second = await pool.acquire("a", address, deadline)
        server.close()
        found = (first.is_usable, second is first)
        second.close()
        return found

    assert asyncio.run(scenario()) == (False, False)
