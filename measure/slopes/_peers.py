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
# Messages that are sent before the sender waits for all of them to arrive.
MESSAGES_PER_BATCH = 32
RECEIVE_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.002
RELAY_READ_BYTES = 1 << 16


class Note(msgspec.Struct, frozen=True):
    """A message of a fixed size."""

    number: int
    body: bytes = b"x" * BODY_BYTES


class _TransportPair:
    """Two peer transports, optionally with a byte-counting relay between."""

    def __init__(self):
        self._loops = [ControlLoop(), ControlLoop()]
        for loop in self._loops:
            loop.start()
        self.transports = [
            PeerTransport(loop, free_address(), 1) for loop in self._loops
        ]
        self.received_messages = 0
        self.relayed_bytes = 0
        self._relay_server = None
        for transport in self.transports:
            transport.handle(Note, self._receive)
            transport.start()

    def receiver_address(self, uses_relay):
        """Return the address to send to.

        Parameters
        ----------
        uses_relay : bool
            Whether to start a relay to the second transport and return
            its address, instead of that of the second transport itself.
        """
        if not uses_relay:
            return self.transports[1].address
        relay_address = free_address()
        self._loops[0].run(self._start_relay(relay_address))
        return relay_address

    def send(self, address, count):
        """Send messages one way and wait until all have arrived."""
        deadline = time.monotonic() + RECEIVE_TIMEOUT_SECONDS
        expected = self.received_messages + count
        for first in range(0, count, MESSAGES_PER_BATCH):
            numbers = range(first, min(first + MESSAGES_PER_BATCH, count))
            self._loops[0].run(self._send_batch(address, numbers))
            batch_end = expected - count + numbers[-1] + 1
            while (
                self.received_messages < batch_end
                and time.monotonic() < deadline
            ):
                time.sleep(POLL_SECONDS)
        if self.received_messages < expected:
            raise TimeoutError("not all messages arrived before the deadline")

    def close(self):
        """Stop the relay, both transports and their loops."""
        if self._relay_server is not None:
            self._relay_server.close()
        for transport in self.transports:
            transport.stop()
        for loop in self._loops:
            loop.run(_cancel_tasks())
            loop.stop()

    async def _send_batch(self, address, numbers):
        for number in numbers:
            self.transports[0].send(address, Note(number))

    def _receive(self, sender, note):
        self.received_messages += 1

    async def _start_relay(self, address):
        host, port = address.rsplit(":", 1)
        self._relay_server = await asyncio.start_server(
            self._relay_connection, host, int(port)
        )

    async def _relay_connection(self, reader, writer):
        host, port = self.transports[1].address.rsplit(":", 1)
        receiver_reader, receiver_writer = await asyncio.open_connection(
            host, int(port)
        )
        await asyncio.gather(
            self._copy(reader, receiver_writer),
            self._copy(receiver_reader, writer),
        )

    async def _copy(self, reader, writer):
        """Copy one direction of a connection and count its bytes."""
        while chunk := await reader.read(RELAY_READ_BYTES):
            self.relayed_bytes += len(chunk)
            writer.write(chunk)


async def _cancel_tasks():
    """Cancel all other tasks of the running loop and wait for their end."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _message_cost(counts_bytes, messages):
    """Return the cost of a number of messages over an open stream.

    Parameters
    ----------
    counts_bytes : bool
        Whether to measure bytes on the wire instead of processor time.
    messages : int
        Messages to send.

    Returns
    -------
    float
        Bytes in both directions, or milliseconds of processor time of
        sender and receiver.
    """
    pair = _TransportPair()
    try:
        address = pair.receiver_address(counts_bytes)
        # Opens the stream, so that its set-up is not measured.
        pair.send(address, MESSAGES_PER_BATCH)
        bytes_before = pair.relayed_bytes
        before = time.process_time()
        pair.send(address, messages)
        if counts_bytes:
            return pair.relayed_bytes - bytes_before
        return (time.process_time() - before) * 1e3
    finally:
        pair.close()


PEER_SLOPES = [
    Slope(
        name="processor time of a message, both sides",
        unit="ms",
        per="message",
        measure=functools.partial(_message_cost, False),
    ),
    Slope(
        name="bytes of a message of 200 bytes on the wire",
        unit="B",
        per="message",
        measure=functools.partial(_message_cost, True),
    ),
]
