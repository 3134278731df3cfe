"""What the emulated targets of one simulation share."""

import msgspec

from apricotseam.positions import Position
from measure.emulator._fatal import FatalRequests
from measure.emulator._store import EmulatedStore

# Time from a change of a record until the hosts see it.
WATCH_SECONDS = 0.02
# Time from the death of a target until its record is removed.
LEASE_SECONDS = 3.6


class AnswerSize(msgspec.Struct, frozen=True):
    """Tokens of a request's prompt and of its answer."""

    prompt: int
    answer: int


class Registry:
    """Records of the targets, as the hosts see them in the store.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Clock and timers.
    """

    def __init__(self, loop):
        self._loop = loop
        self._revision = 0
        self._records = {}
        self._watchers = []

    def watch(self, watcher):
        """Tell a `RecordWatcher` all records and their changes."""
        self._watchers.append(watcher)
        watcher.replace_all(dict(self._records))

    def unwatch(self, watcher):
        """Tell a watcher nothing more."""
        self._watchers.remove(watcher)

    def publish(self, target):
        """Write the record of a target."""
        self._revision += 1
        target.record = msgspec.structs.replace(
            target.record, position=Position(self._revision)
        )
        self._records[target.identity] = target.record
        self._loop.call_later(WATCH_SECONDS, self._tell)

    def remove(self, target):
        """Remove the record of a target, unless another has its identity."""
        if self._records.get(target.identity) is target.record:
            del self._records[target.identity]
            self._loop.call_later(WATCH_SECONDS, self._tell)

    def remove_expired(self, target):
        """Remove the record of a dead target once its lease has ended."""
        self._loop.call_later(LEASE_SECONDS, self.remove, target)

    def _tell(self):
        for watcher in list(self._watchers):
            watcher.replace_all(self._records)


class RecordWatcher:
    """Keeps the fleet of one host equal to the registry.

    Parameters
    ----------
    fleet : Fleet
        The targets that the host knows.
    now : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    has_store : bool
        Whether the host reaches the store; without it the fleet stays as
        it is.
    """

    def __init__(self, fleet, now):
        self._fleet = fleet
        self._now = now
        self._known = {}
        self.has_store = True

    def replace_all(self, records):
        """Apply all differences to the last records."""
        if not self.has_store:
            return
        for identity in [i for i in self._known if i not in records]:
            del self._known[identity]
            self._fleet.remove(identity, self._now())
        for identity, record in records.items():
            if self._known.get(identity) is not record:
                self._known[identity] = record
                self._fleet.update(record)


class Site:
    """Network, registry, profile and clock that all targets share.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Clock and timers.
    profile : EngineProfile
        Sizes and durations of the engines.
    network : Network
        Connections and links.
    """

    def __init__(self, loop, profile, network):
        self.loop = loop
        self.profile = profile
        self.network = network
        self.registry = Registry(loop)
        self.store = EmulatedStore(loop)
        self.fatal = FatalRequests()
        self._loads = 0
        self._sizes = {}

    def declare(self, request_id, size):
        """Set the `AnswerSize` of a request."""
        self._sizes[request_id] = size

    def size_of(self, request_id):
        """Return the `AnswerSize` of a request."""
        return self._sizes[request_id]

    def begin_load(self, layers):
        """Count a load of layers; return its duration in seconds.

        More simultaneous loads than the profile states slow each other.
        """
        self._loads += 1
        profile = self.profile
        share = layers / profile.layers
        factor = max(1.0, self._loads / profile.simultaneous_loads)
        return profile.load_seconds * share * factor

    def end_load(self):
        """Count the end of a load."""
        self._loads -= 1
