"""Cost of the membership protocol on a host by the size of the fleet."""

import functools
import random
import time

import msgspec

from apricotseam.membership import Facts
from apricotseam.membership import Membership
from measure.slopes import _fixtures
from measure.slopes._slope import Slope

TICK_SECONDS = 0.2
MESSAGE_DELAY_SECONDS = 0.001
JOIN_TIMEOUT_SECONDS = 30.0
SETTLE_SECONDS = 20.0
MEASURED_SECONDS = 10.0
SEED_ADDRESSES = 8
RANDOM_SEED = 1


class _SimulatedNetwork:
    """Membership nodes that exchange messages in simulated time.

    Parameters
    ----------
    size : int
        Number of nodes.
    """

    def __init__(self, size):
        self._random = random.Random(RANDOM_SEED)
        self._now = 0.0
        self._nodes = {}
        addresses = [_fixtures.peer_address(n) for n in range(size)]
        for number in range(size):
            own = _fixtures.member(number)
            generator = random.Random(number)
            node = Membership(own, generator, self._now)
            count = min(SEED_ADDRESSES, size)
            node.set_seeds(self._random.sample(addresses, count))
            self._nodes[own.peers_address] = node
        self.sent_messages = 0
        self.sent_bytes = 0

    def run(self, seconds):
        """Advance the simulated time, ticking every node with a new load."""
        end = self._now + seconds
        while self._now < end:
            self._now += TICK_SECONDS
            for address, node in self._nodes.items():
                load = self._random.randrange(40)
                node.set_facts(Facts(revision=1, load=load))
                self._deliver(address, node.tick(self._now))

    def has_converged(self):
        """Return whether every node knows every other."""
        size = len(self._nodes)
        return all(
            len(node.snapshot()) == size for node in self._nodes.values()
        )

    def _deliver(self, sender, messages):
        """Deliver ``(address, message)`` pairs and all replies to them."""
        pending = [(sender, *pair) for pair in messages]
        while pending:
            origin, address, message = pending.pop()
            self.sent_messages += 1
            self.sent_bytes += len(msgspec.msgpack.encode(message))
            replies = self._nodes[address].receive(
                origin, message, self._now + MESSAGE_DELAY_SECONDS
            )
            pending.extend((address, *reply) for reply in replies)


@functools.lru_cache
def _steady_rates(hosts):
    """Return the cost of the protocol after all hosts have joined.

    Returns
    -------
    tuple of float
        Messages, bytes and milliseconds of processor time, each per host
        and simulated second.
    """
    network = _SimulatedNetwork(hosts)
    for _ in range(int(JOIN_TIMEOUT_SECONDS)):
        network.run(1.0)
        if network.has_converged():
            break
    else:
        raise TimeoutError(f"membership of {hosts} hosts did not converge")
    network.run(SETTLE_SECONDS)
    messages_before, bytes_before = network.sent_messages, network.sent_bytes
    before = time.process_time()
    network.run(MEASURED_SECONDS)
    processor_seconds = time.process_time() - before
    host_seconds = hosts * MEASURED_SECONDS
    return (
        (network.sent_messages - messages_before) / host_seconds,
        (network.sent_bytes - bytes_before) / host_seconds,
        processor_seconds / host_seconds * 1e3,
    )


def _steady_rate(index, doublings):
    """Return one of the rates of a fleet of ``2**doublings`` hosts."""
    return _steady_rates(2**doublings)[index]


MEMBERSHIP_SLOPES = [
    Slope(
        name="membership messages of a host",
        unit="1/s",
        per="doubling of hosts",
        measure=functools.partial(_steady_rate, 0),
    ),
    Slope(
        name="membership bytes of a host",
        unit="B/s",
        per="doubling of hosts",
        measure=functools.partial(_steady_rate, 1),
    ),
    Slope(
        name="membership decisions of a host",
        unit="ms/s",
        per="doubling of hosts",
        measure=functools.partial(_steady_rate, 2),
    ),
]
