"""Fakes at the interfaces of execution, failing at every call point."""

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ServiceUnavailableError
from apricotseam.execution import KeyRuns
from apricotseam.execution import PeerLink
from apricotseam.execution import ShardStore
from apricotseam.execution import TicketRuns
from apricotseam.execution import TicketSigner
from apricotseam.execution import Waiter
from apricotseam.external import KeyValueService
from apricotseam.external import Versioned
from apricotseam.peers import PeerAnswerLostError
from apricotseam.peers import PeerUnreachableError

SIGNER = TicketSigner(["key"])


class Chaos:
    """Faults in the order in which the call points meet them.

    ``before``: lost before its effect; ``after``: its answer lost;
    ``late``: lost now, takes effect later; ``gone``: not connected. Any
    callable is run before the call, as if the caller were paused there.
    """

    def __init__(self):
        self.faults = []
        self.late = []

    def call(self, action, lost, refused):
        """Carry out one call under the next fault."""
        fault = self.faults.pop(0) if self.faults else "ok"
        if callable(fault):
            fault()
        if fault == "gone":
            raise refused
        if fault == "late":
            self.late.append(action)
        if fault in ("before", "late"):
            raise lost
        result = action()
        if fault == "after":
            raise lost
        return result

    def deliver_late(self):
        """Let what was delayed take its effect."""
        late, self.late = self.late, []
        for action in late:
            try:
                action()
            except PeerUnreachableError:
                continue


class Network:
    """Handlers of the live process at each address."""

    def __init__(self, chaos):
        self.chaos = chaos
        self.handlers = {}
        self.down = set()

    def deliver(self, address, record):
        """Give a record to the process that is at an address now."""
        if address in self.down or address not in self.handlers:
            raise PeerUnreachableError("no connection", "none")
        body = msgspec.msgpack.encode(record)
        copy = msgspec.msgpack.decode(body, type=type(record))
        answer = self.handlers[address][type(record)]("peer", copy)
        if not hasattr(answer, "send"):
            return answer
        try:
            answer.send(None)
        except StopIteration as stop:
            return stop.value
        raise AssertionError("a handler waits for something real")


class FakeLink(PeerLink):
    """Link of one process over the fake network."""

    def __init__(self, network, address, incarnation):
        self._network = network
        self._address = address
        self._incarnation = incarnation
        network.handlers[address] = {}

    @property
    def address(self):
        return self._address

    @property
    def incarnation(self):
        return self._incarnation

    def ask(self, address, record):
        return self._network.chaos.call(
            lambda: self._network.deliver(address, record),
            PeerAnswerLostError("lost", "none"),
            PeerUnreachableError("gone", "none"),
        )

    def tell(self, address, record):
        try:
            self.ask(address, record)
        except (PeerAnswerLostError, PeerUnreachableError):
            return

    def handle(self, record_type, handler, answer_type=None):
        self._network.handlers[self._address][record_type] = handler


class FakeWaiter(Waiter):
    """Waits by moving the clock."""

    def __init__(self, clock):
        self._clock = clock

    def wait(self, seconds):
        self._clock.advance(1.0)

    async def hold(self, seconds):
        self._clock.advance(1.0)


class FakeService(KeyValueService):
    """Versions and swaps; leases are not needed here."""

    def __init__(self, chaos):
        self._chaos = chaos
        self.values = {}
        self.is_down = False
        self.calls = 0

    def get(self, key):
        return self._call(lambda: self.values.get(key))

    def compare_and_swap(self, key, version, value, lease=None):
        return self._call(lambda: self._swap(key, version, value))

    def _swap(self, key, version, value):
        assert len(value) < 1 << 20
        found = self.values.get(key)
        if (found.version if found else 0) != version:
            return 0
        self.values[key] = Versioned(key, value, version + 1)
        return version + 1

    def _call(self, action):
        self.calls += 1
        refused = ServiceUnavailableError("down", "wait")
        if self.is_down:
            raise refused
        return self._chaos.call(action, AnswerLostError("lost", "?"), refused)

    def get_prefix(self, prefix):
        raise NotImplementedError

    put = delete = grant_lease = keep_alive = revoke = watch = get_prefix


class DirectClaims:
    """Claims without a batch."""

    def __init__(self, store):
        self._store = store

    def claim(self, entry):
        return self._store.claim(entry.shard, [entry])[0]


class FakeHost:
    """The real code of one host process between the fakes."""

    def __init__(self, network, service, clock, address, incarnation):
        link = FakeLink(network, address, incarnation)
        waiter = FakeWaiter(clock)
        store = ShardStore(service, "/test/", clock)
        self.tickets = TicketRuns(link, SIGNER, clock, waiter)
        self.keys = KeyRuns(link, DirectClaims(store), clock, waiter)
