"""What operators and targets write to a store, also after it went back."""

import asyncio
import random

import msgspec

from apricotseam.platform import CONFIGURATION_KEY
from apricotseam.platform import TARGETS_PREFIX

# Longest time after the store went back until its writers have written again.
MAX_REWRITE_SECONDS = 1.5
# Time after which the store deletes the entry of a process that has ended.
SILENCE_SECONDS = 3.6


class TargetProcess:
    """State of the process of a target."""

    def __init__(self, identity, born):
        self.identity = identity
        self.born = born
        self.orders = 0
        self.is_draining = False

    @property
    def incarnation(self):
        """Identity and start of the process."""
        return (self.identity, self.born)

    def entry(self):
        """Return the entry that the process writes."""
        number = int(self.identity[1:])
        return msgspec.json.encode(
            {
                "Service": "s",
                "Address": f"10.0.{self.born}.{number}:80",
                "Zone": "a",
                "State": "draining" if self.is_draining else "ready",
                "Slots": 1,
                "Sequence": self.orders,
                "born": self.born,
            }
        )


class StoreWriters:
    """The operator and the targets, which write to a store in memory.

    Parameters
    ----------
    fleet : MemoryFleet
        Has the store, and learns which processes have ended.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._store = fleet.store
        self._version = 0
        self._starts = 0
        self._copies = []
        self.processes = {}

    def configure(self):
        """Write the next version of the configuration."""
        self._version += 1
        self._sync(CONFIGURATION_KEY)

    def start(self, identity):
        """Start a process if it does not run, else let it count an order."""
        process = self.processes.get(identity)
        if process is None:
            self._starts += 1
            process = TargetProcess(identity, self._starts)
            self.processes[identity] = process
        else:
            process.orders += 1
        self._sync(TARGETS_PREFIX + identity)

    def drain(self, identity):
        """Let a process drain if it runs."""
        if identity in self.processes:
            self.processes[identity].is_draining = True
            self._sync(TARGETS_PREFIX + identity)

    def end(self, identity):
        """End a process if it runs, and delete its entry."""
        process = self.processes.pop(identity, None)
        if process is not None:
            self._fleet.ended.add(process.incarnation)
            self._sync(TARGETS_PREFIX + identity)

    def copy_store(self):
        """Keep a copy of the store."""
        self._copies.append(self._store.copy())

    def go_back(self, copies=1, keeps_leases=False):
        """Let the store go back to one of its latest copies.

        The operator and the targets write what it lost again within
        `MAX_REWRITE_SECONDS`; entries of ended processes are deleted later.
        """
        if not self._copies:
            return
        index = max(0, len(self._copies) - copies)
        del self._copies[index + 1 :]
        self._store.go_back(self._copies[index], keeps_leases)
        loop = asyncio.get_running_loop()
        for key in self._keys():
            is_ended = self._value(key) is None
            seconds = random.uniform(0, MAX_REWRITE_SECONDS)
            loop.call_later(
                SILENCE_SECONDS if is_ended else seconds, self._sync, key
            )

    def _keys(self):
        keys = {TARGETS_PREFIX + identity for identity in self.processes}
        keys.update(
            key for key in self._store.keys() if key.startswith(TARGETS_PREFIX)
        )
        return [CONFIGURATION_KEY, *sorted(keys)]

    def _value(self, key):
        """Return what a key should have, None if it should not exist."""
        if key == CONFIGURATION_KEY:
            services = [{"Name": "s"}]
            return msgspec.json.encode(
                {"Version": self._version, "Services": services}
            )
        process = self.processes.get(key.removeprefix(TARGETS_PREFIX))
        return None if process is None else process.entry()

    def _sync(self, key):
        """Write or delete a key unless the store has what it should have."""
        value = self._value(key)
        if value == self._store.get(key):
            return
        if value is None:
            self._store.delete(key)
        else:
            self._store.put(key, value)
