"""Hosts and a store that goes back, with lost, late and doubled messages."""

import asyncio
import random
import unittest.mock

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from apricotseam.node._held import REWRITE_SECONDS
from apricotseam.node.tests.memory_fleet import MemoryFleet
from apricotseam.node.tests.store_writers import SILENCE_SECONDS
from apricotseam.node.tests.store_writers import StoreWriters
from apricotseam.supervision.tests.virtual_time import VirtualTimeLoop

ZONES = 2
IDENTITIES = ["t0", "t1", "t2"]
LOST_SHARE = 0.2
# A listing has several pages, so that the store may go back between two.
PAGE_SIZE = 2
# Time within which all hosts agree with the store after the last fault.
SETTLE_SECONDS = REWRITE_SECONDS + SILENCE_SECONDS + 2.0


class StoreEraMachine(RuleBasedStateMachine):
    """Hosts of two zones, the writers of the store, and faults."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        loop = self.runner.get_loop()
        self.clock = unittest.mock.patch(
            "apricotseam.coordination._election._boot_time", loop.time
        )
        self.clock.start()

    @initialize(
        hosts=strategies.sampled_from([4, 6, 8]),
        is_large=strategies.booleans(),
        seed=strategies.integers(0, 2**16),
    )
    def begin(self, hosts, is_large, seed):
        random.seed(seed)
        self.runner.run(self._begin(hosts, is_large))

    async def _begin(self, hosts, is_large):
        self.fleet = MemoryFleet(hosts, ZONES, LOST_SHARE, is_large)
        self.fleet.store.page_size = PAGE_SIZE
        self.writers = StoreWriters(self.fleet)
        self.writers.configure()
        self.writers.copy_store()
        self.fleet.start()
        # A host that starts in an era relies on the fencing tokens.
        while not all(host.mirror.position for host in self.fleet.hosts):
            await asyncio.sleep(1)

    @rule()
    def configure(self):
        self._write(self.writers.configure)

    @rule(identity=strategies.sampled_from(IDENTITIES))
    def start_or_order(self, identity):
        self._write(self.writers.start, identity)

    @rule(identity=strategies.sampled_from(IDENTITIES))
    def drain(self, identity):
        self._write(self.writers.drain, identity)

    @rule(identity=strategies.sampled_from(IDENTITIES))
    def end(self, identity):
        self._write(self.writers.end, identity)

    @rule()
    def copy_store(self):
        self._write(self.writers.copy_store)

    @rule(
        copies=strategies.integers(1, 3),
        keeps_leases=strategies.booleans(),
        milliseconds=strategies.integers(0, 300),
    )
    def go_back(self, copies, keeps_leases, milliseconds):
        self._write(self.writers.go_back, copies, keeps_leases)
        self._run(milliseconds / 1000)

    @rule(number=strategies.integers(0, 7), is_silent=strategies.booleans())
    def cut_off(self, number, is_silent):
        name = self._name(number)
        cut = self.fleet.silenced if is_silent else self.fleet.store.refused
        cut.add(name)

    @rule(copies=strategies.integers(1, 3))
    def go_back_without_the_holder(self, copies):
        for host in self.fleet.holders():
            self.fleet.silenced.add(host.name)
        self._write(self.writers.go_back, copies)
        self._run(0.5)

    @rule(number=strategies.integers(0, 7))
    def reconnect(self, number):
        self.fleet.silenced.discard(self._name(number))
        self.fleet.store.refused.discard(self._name(number))

    @rule(milliseconds=strategies.integers(1, 3000))
    def wait(self, milliseconds):
        self._run(milliseconds / 1000)

    @invariant()
    def nothing_went_back(self):
        if hasattr(self, "fleet"):
            assert self.fleet.violations == []

    def teardown(self):
        try:
            if hasattr(self, "fleet"):
                self._settle()
        finally:
            self.clock.stop()
            self.runner.close()

    def _settle(self):
        self.fleet.silenced.clear()
        self.fleet.store.refused.clear()
        self.fleet.lost_share = 0.0
        self._run(SETTLE_SECONDS)
        holders = len(self.fleet.holders())
        disagreements = self.fleet.disagreements()
        self.runner.run(self.fleet.stop())
        assert (disagreements, holders) == ([], 1)
        assert self.fleet.violations == []

    def _name(self, number):
        return self.fleet.hosts[number % len(self.fleet.hosts)].name

    def _write(self, write, *arguments):
        async def call():
            write(*arguments)

        self.runner.run(call())

    def _run(self, seconds):
        self.runner.run(asyncio.sleep(seconds))


StoreEraMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None
)
TestStoreEras = StoreEraMachine.TestCase
