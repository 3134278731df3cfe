"""Malformed messages of peers: refused, and the host goes on."""

import grpclib.client
import grpclib.exceptions
import hypothesis
import hypothesis.strategies as some
import msgspec
import pytest

from apricotseam.demo import LocalSystem
from apricotseam.peers import _peers_grpc
from apricotseam.peers import _peers_pb2
from apricotseam.peers import ControlLoop

PLAIN = (
    some.none()
    | some.booleans()
    | some.integers(-(2**63), 2**63 - 1)
    | some.text(max_size=8)
    | some.binary(max_size=8)
)
NESTED = some.recursive(
    PLAIN,
    lambda inner: (
        some.lists(inner, max_size=5)
        | some.dictionaries(some.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)
BODIES = some.binary(max_size=64) | NESTED.map(msgspec.msgpack.encode)


@pytest.fixture(scope="module")
def system():
    """Two hosts that know each other."""
    local = LocalSystem([], ["a", "b"]).start()
    assert local.wait_until(lambda: knows_all(local), 30)
    yield local
    local.stop()


@pytest.fixture(scope="module")
def sender():
    """A loop to send from."""
    loop = ControlLoop()
    loop.start()
    yield loop
    loop.stop()


def knows_all(system):
    """Return whether each host takes both for live."""
    return all(
        len(host.snapshots.members.live()) == 2
        for host in system.hosts.values()
    )


async def send(address, envelope):
    """Send one envelope by each call; return what each ended with."""

    host, port = address.rsplit(":", 1)
    channel = grpclib.client.Channel(host, int(port))
    try:
        stub = _peers_grpc.PeersStub(channel)
        async with stub.Exchange.open(timeout=10) as stream:
            await stream.send_message(envelope, end=True)
        try:
            return await stub.Ask(envelope, timeout=10)
        except grpclib.exceptions.GRPCError as error:
            return error.status
    finally:
        channel.close()


def test_malformed_messages_change_nothing(system, sender):
    host = next(iter(system.hosts.values()))
    kinds = sorted(host.transport.kinds)
    assert len(kinds) > 5

    @hypothesis.given(
        kind=some.sampled_from(kinds) | some.text(max_size=8),
        sender_address=some.sampled_from(["127.0.0.1:9", "", "x"]),
        body=BODIES,
    )
    @hypothesis.settings(max_examples=150)
    def check(kind, sender_address, body):
        envelope = _peers_pb2.Envelope(
            kind=kind, sender=sender_address, incarnation=1, body=body
        )
        address = host.settings.peers_address
        assert sender.run(send(address, envelope), 30) is not None

    check()
    assert not host.has_failed
    assert system.wait_until(lambda: knows_all(system), 30)
