"""Cost of messages between hosts, over `grpclib` on loopback."""

import asyncio
import functools
import time

import msgspec

from apricotseam.peers import ControlLoop
from apricotseam.peers import PeerTransport
from apricotseam.web import free_address
from measure.slopes._slope import Slope

BODY_BYTES = 200
SENDS_A_TURN = 32
RECEIVE_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.002
RELAY_BYTES = 1 << 16


class Note(msgspec.Struct, frozen=True):
    """A message of a fixed size."""

    number: int
    body: bytes = b"x" * BODY_BYTES


class _Pair:
    """Two transports, with a relay between them that counts bytes."""

    def __init__(self):
        self._loops = [ControlLoop(), ControlLoop()]
        for loop in self._loops:
            loop.start()
        self.transports = [
            PeerTransport(loop, free_address(), 1) for loop in self._loops
        ]
        self.received = 0
        self.bytes = 0
        self._server = None
        for transport in self.transports:
            transport.handle(Note, self._receive)
            transport.start()

    def address(self, is_counted):
        """Return the second transport's address, or that of the relay."""
        if not is_counted:
            return self.transports[1].address
        relay = free_address()
        self._loops[0].run(self._listen(relay))
        return relay

    def send(self, address, count):
        """Send notes one way and wait until all have arrived."""
        deadline = time.monotonic() + RECEIVE_TIMEOUT_SECONDS
        wanted = self.received + count
        for first in range(0, count, SENDS_A_TURN):
            numbers = range(first, min(first + SENDS_A_TURN, count))
            self._loops[0].run(self._send(address, numbers))
            done = wanted - count + numbers[-1] + 1
            while self.received < done and time.monotonic() < deadline:
                time.sleep(POLL_SECONDS)
        if self.received < wanted:
            raise TimeoutError("messages were lost")

    def close(self):
        """Stop both transports and loops."""
        if self._server is not None:
            self._server.close()
        for transport in self.transports:
            transport.stop()
        for loop in self._loops:
            loop.run(_end_tasks())
            loop.stop()

    async def _send(self, address, numbers):
        for number in numbers:
            self.transports[0].send(address, Note(number))

    def _receive(self, sender, note):
        self.received += 1

    async def _listen(self, address):
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._relay, host, int(port))

    async def _relay(self, reader, writer):
        host, port = self.transports[1].address.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._copy(reader, far_writer), self._copy(far_reader, writer)
        )

    async def _copy(self, reader, writer):
        while part := await reader.read(RELAY_BYTES):
            self.bytes += len(part)
            writer.write(part)


async def _end_tasks():
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _cost(is_counted, size):
    pair = _Pair()
    try:
        address = pair.address(is_counted)
        pair.send(address, SENDS_A_TURN)
        bytes_before = pair.bytes
        before = time.process_time()
        pair.send(address, size)
        if is_counted:
            return pair.bytes - bytes_before
        return (time.process_time() - before) * 1e3
    finally:
        pair.close()


PEER_SLOPES = [
    Slope(
        name="processor time of a message, both sides",
        unit="ms",
        per="message",
        measure=functools.partial(_cost, False),
    ),
    Slope(
        name="bytes of a message of 200 bytes on the wire",
        unit="B",
        per="message",
        measure=functools.partial(_cost, True),
    ),
]
