"""Cost of the membership protocol on a host by the size of the fleet."""

import functools
import random
import time

import msgspec

from apricotseam.membership import Facts
from apricotseam.membership import Membership
from measure.slopes import _objects
from measure.slopes._slope import Slope

TICK_SECONDS = 0.2
DELAY_SECONDS = 0.001
JOIN_SECONDS = 30.0
SETTLE_SECONDS = 20.0
WATCHED_SECONDS = 10.0
SEEDS = 8
SEED = 1


class _Network:
    """Memberships that exchange messages in simulated time."""

    def __init__(self, size):
        self._random = random.Random(SEED)
        self._now = 0.0
        self._nodes = {}
        addresses = [_objects.peer_address(n) for n in range(size)]
        for number in range(size):
            own = _objects.member(number)
            generator = random.Random(number)
            node = Membership(own, generator, self._now)
            count = min(SEEDS, size)
            node.set_seeds(self._random.sample(addresses, count))
            self._nodes[own.peers_address] = node
        self.messages = 0
        self.bytes = 0

    def run(self, seconds):
        """Let every node tick for a time."""
        end = self._now + seconds
        while self._now < end:
            self._now += TICK_SECONDS
            for address, node in self._nodes.items():
                load = self._random.randrange(40)
                node.set_facts(Facts(revision=1, load=load))
                self._pass(address, node.tick(self._now))

    def know_all(self):
        """Return whether every node knows every other."""
        size = len(self._nodes)
        return all(
            len(node.snapshot()) == size for node in self._nodes.values()
        )

    def _pass(self, sender, pairs):
        pending = [(sender, *pair) for pair in pairs]
        while pending:
            origin, address, message = pending.pop()
            self.messages += 1
            self.bytes += len(msgspec.msgpack.encode(message))
            answers = self._nodes[address].receive(
                origin, message, self._now + DELAY_SECONDS
            )
            pending.extend((address, *answer) for answer in answers)


@functools.lru_cache
def _settled(size):
    """Return messages, bytes and milliseconds a host and second."""
    network = _Network(size)
    for _ in range(int(JOIN_SECONDS)):
        network.run(1.0)
        if network.know_all():
            break
    else:
        raise TimeoutError(f"{size} members do not all know each other")
    network.run(SETTLE_SECONDS)
    messages, sent = network.messages, network.bytes
    before = time.process_time()
    network.run(WATCHED_SECONDS)
    used = time.process_time() - before
    share = size * WATCHED_SECONDS
    return (
        (network.messages - messages) / share,
        (network.bytes - sent) / share,
        used / share * 1e3,
    )


def _rate(index, doublings):
    return _settled(2**doublings)[index]


MEMBERSHIP_SLOPES = [
    Slope(
        name="membership messages of a host",
        unit="1/s",
        per="doubling of hosts",
        measure=functools.partial(_rate, 0),
    ),
    Slope(
        name="membership bytes of a host",
        unit="B/s",
        per="doubling of hosts",
        measure=functools.partial(_rate, 1),
    ),
    Slope(
        name="membership decisions of a host",
        unit="ms/s",
        per="doubling of hosts",
        measure=functools.partial(_rate, 2),
    ),
]
