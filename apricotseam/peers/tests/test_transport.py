"""Tests of messages between hosts over real sockets."""

import threading

import grpclib.client
import grpclib.exceptions
import msgspec
import pytest

from apricotseam.peers import _peers_grpc
from apricotseam.peers import _peers_pb2
from apricotseam.peers._transport import MAX_MESSAGE_BYTES
from apricotseam.peers import ControlLoop
from apricotseam.peers import PeerAnswerLostError
from apricotseam.peers import PeerMessageError
from apricotseam.peers import PeerTransport
from apricotseam.peers import PeerUnreachableError
from apricotseam.web import free_address


class Text(msgspec.Struct, frozen=True):
    """A message for tests."""

    text: str


@pytest.fixture
def pair():
    """Two transports on one loop, and the messages the second received."""
    loop = ControlLoop()
    loop.start()
    first = PeerTransport(loop, free_address(), 1)
    second = PeerTransport(loop, free_address(), 2)
    received = []
    arrived = threading.Event()

    def receive(sender, record):
        if record.text == "fail":
            raise ValueError(record.text)
        received.append((sender, record.text))
        arrived.set()
        return Text(record.text.upper())

    first.handle(Text, lambda sender, record: None, Text)
    second.handle(Text, receive, Text)
    first.start()
    second.start()
    yield loop, first, second, received, arrived
    first.stop()
    second.stop()
    loop.stop()


def test_question_is_answered(pair):
    _, first, second, received, _ = pair
    assert first.ask(second.address, Text("a")) == Text("A")
    assert received == [(first.address, "a")]


def test_one_way_message_arrives(pair):
    loop, first, second, received, arrived = pair

    async def send():
        first.send(second.address, Text("b"))

    loop.run(send())
    assert arrived.wait(10)
    assert received == [(first.address, "b")]


def test_failure_of_the_handler_is_a_lost_answer(pair):
    _, first, second, _, _ = pair
    with pytest.raises(PeerAnswerLostError):
        first.ask(second.address, Text("fail"))
    assert first.ask(second.address, Text("c")) == Text("C")


def test_nobody_at_the_address_is_unreachable(pair):
    _, first, _, _, _ = pair
    with pytest.raises(PeerUnreachableError):
        first.ask(free_address(), Text("a"))


@pytest.mark.parametrize(
    "address",
    ["", "10.0.0.1", "127.0.0.1:99999", "a..b:80", f"{'a' * 70}:80", "h:x"],
)
def test_address_that_cannot_be_used_is_unreachable(pair, address):
    """Guards against hosts that end on an odd address of another host."""
    _, first, _, _, _ = pair
    with pytest.raises(PeerUnreachableError):
        first.ask(address, Text("a"))


class Number(msgspec.Struct):
    """Message with a number."""

    value: int


@pytest.mark.parametrize(
    "message",
    [Text("x" * (MAX_MESSAGE_BYTES + 1)), Number(1 << 64), Number(-(1 << 64))],
    ids=["too large", "number too large", "number too small"],
)
def test_message_that_cannot_be_sent_is_dropped(pair, message):
    """Guards against components that fail on what they tell others."""
    loop, first, second, received, arrived = pair

    async def send():
        first.send(second.address, message)
        first.send(second.address, Text("next"))

    loop.run(send())
    assert arrived.wait(10)
    assert received == [(first.address, "next")]


def test_message_over_the_bound_is_not_sent(pair):
    _, first, second, received, _ = pair
    with pytest.raises(PeerMessageError):
        first.ask(second.address, Text("x" * (MAX_MESSAGE_BYTES + 1)))
    assert received == []


@pytest.mark.parametrize(
    "sender, kind, body",
    [
        # The sender's address is not that of the connection.
        ("10.9.9.9:1", "Text", msgspec.msgpack.encode(Text("a"))),
        # No such type is registered.
        ("127.0.0.1:1", "Unknown", b""),
        # The body is not valid MessagePack.
        ("127.0.0.1:1", "Text", b"\xc1"),
        # The type is known as an answer only and has no handler.
        ("127.0.0.1:1", "Nothing", msgspec.msgpack.encode({})),
        # The body is too large.
        ("127.0.0.1:1", "Text", bytes(MAX_MESSAGE_BYTES + 1)),
    ],
)
def test_forged_or_damaged_envelopes_are_refused(pair, sender, kind, body):
    loop, first, second, received, _ = pair

    async def ask():
        host, port = second.address.rsplit(":", 1)
        channel = grpclib.client.Channel(host, int(port))
        envelope = _peers_pb2.Envelope(kind=kind, sender=sender, body=body)
        try:
            return await _peers_grpc.PeersStub(channel).Ask(envelope)
        finally:
            channel.close()

    with pytest.raises(grpclib.exceptions.GRPCError):
        loop.run(ask())
    assert received == []
    assert first.ask(second.address, Text("a")) == Text("A")


def test_connection_in_use_is_not_the_one_that_is_evicted(monkeypatch):
    """The limit closes the connection that was unused for the longest time."""
    monkeypatch.setattr("apricotseam.peers._channels.MAX_CHANNELS", 2)
    loop = ControlLoop()
    loop.start()
    transports = [PeerTransport(loop, free_address(), 1) for _ in range(4)]
    for transport in transports:
        transport.handle(Text, lambda sender, record: None, Text)
        transport.start()
    first, *others = transports
    addresses = [transport.address for transport in others]

    async def send_in_turn():
        for address in addresses:
            await first._channels.connect(address, 1.0)
            first.send(addresses[0], Text("a"))

    loop.run(send_in_turn())
    assert list(first._channels._channels) == [addresses[2], addresses[0]]
    assert first.traffic.connections_opened == 3
    assert first.traffic.connections_evicted == 1
    for transport in transports:
        transport.stop()
    loop.stop()


def test_one_way_message_is_not_answered(pair):
    _, first, second, _, arrived = pair
    loop = first._loop
    loop.run(_send(first, second.address))
    assert arrived.wait(10)
    assert second.traffic.messages_sent == 0


async def _send(transport, address):
    transport.send(address, Text("a"))
