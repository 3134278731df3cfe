"""Hosts that follow a store in memory, with messages that may be lost.

The store client, mirror, synchronizer, registration, election, handler of
entries and table of targets are the real ones; the connections to the store
and the messages between hosts are replaced.
"""

import asyncio
import collections
import math
import random
import types

import msgspec

from apricotseam.coordination import Election
from apricotseam.coordination import HostRecord
from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorSynchronizer
from apricotseam.coordination import PackedPush
from apricotseam.coordination import PeerChanges
from apricotseam.coordination import Registration
from apricotseam.fleet import Fleet
from apricotseam.http1 import Connection
from apricotseam.http1 import LostConnectionError
from apricotseam.http1 import ResponseHead
from apricotseam.http1 import TransportTimeoutError
from apricotseam.node._store_items import HOSTS_PREFIX
from apricotseam.node._store_items import StoreItemHandler
from apricotseam.peers._transport import MAX_MESSAGE_BYTES
from apricotseam.peers import PeerAnswerLostError
from apricotseam.platform import CONFIGURATION_KEY
from apricotseam.platform.standins import StoreStandIn
from apricotseam.platform import StoreClient
from apricotseam.platform import target_identity
from apricotseam.platform import TARGETS_PREFIX
from apricotseam.positions import decode_hook
from apricotseam.positions import encode_hook

DUTY_KEY = "apricotseam/placer"
MAX_SMALL_FLEET = 25
READERS_PER_ZONE = 2
MAINTENANCE_SECONDS = 0.25
SAMPLE_SECONDS = 0.05
# Longest time for which an answer or message is usually under way.
MAX_DELAY_SECONDS = 0.03
# The same for one of which the shares below are late.
LATE_SECONDS = 1.5
LATE_SHARE = 0.03
# Longer than any call.
SILENCE_SECONDS = 60.0
# Bytes that a link carries at once; those of several messages take turns.
SEGMENT_BYTES = 16 << 10


class Link:
    """One direction of a host's link.

    Parameters
    ----------
    bytes_per_second : float
        Its bandwidth, may be infinite.
    """

    def __init__(self, bytes_per_second):
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0

    async def carry(self, size_bytes):
        """Return when a number of bytes have passed."""
        loop = asyncio.get_running_loop()
        while size_bytes > 0:
            segment = min(SEGMENT_BYTES, size_bytes)
            size_bytes -= segment
            seconds = segment / self._bytes_per_second
            self._free_at = max(self._free_at, loop.time()) + seconds
            await asyncio.sleep(self._free_at - loop.time())


class _Exchange:
    """Answer of the store stand-in."""

    def __init__(self):
        self.answered = None

    def answer(self, status, body=b"", headers=()):
        """Record the answer."""
        self.answered = (ResponseHead(status, b"", list(headers)), body)

    def abort_response(self):
        """Answer nothing."""


class _Connection(Connection):
    """Connection of one host to the store."""

    def __init__(self, fleet, address):
        super().__init__(address)
        self._fleet = fleet
        self._address = address
        self._request = None
        self._body = b""

    def send(self, method, target, headers, body=b""):
        """Send a call."""
        self._request = types.SimpleNamespace(target=target, body=body)

    async def head(self, deadline):
        """Wait for the answer; return its head."""
        exchange = _Exchange()
        try:
            async with asyncio.timeout_at(deadline):
                await self._cross_link()
                await asyncio.sleep(self._fleet.slowness_seconds)
                await self._fleet.store.handle(
                    self._address, self._request, exchange
                )
                await self._cross_link()
        except TimeoutError:
            raise TransportTimeoutError("no answer", "wait") from None
        if exchange.answered is None:
            raise LostConnectionError("no answer", "call again")
        head, self._body = exchange.answered
        length = (b"Content-Length", str(len(self._body)).encode())
        return ResponseHead(head.status, b"", [*head.headers, length])

    async def _cross_link(self):
        """Wait as long as a message to or from the store takes."""
        if self._address in self._fleet.silenced:
            await asyncio.sleep(SILENCE_SECONDS)
        await asyncio.sleep(self._fleet.delay())

    async def read(self, deadline):
        """Return the next part of the answer's body."""
        part = self._body[:SEGMENT_BYTES]
        try:
            async with asyncio.timeout_at(deadline):
                await self._fleet.downlinks[self._address].carry(len(part))
        except TimeoutError:
            raise TransportTimeoutError("no answer", "wait") from None
        self._body = self._body[SEGMENT_BYTES:]
        return part

    def close(self):
        """Close the connection."""


class _Pool:
    def __init__(self, fleet):
        self._fleet = fleet

    async def acquire(self, key, address, deadline, max_idle):
        """Return a connection."""
        return _Connection(self._fleet, address)

    def release(self, key, connection, response):
        """Do not keep connections."""


class _Peers:
    """Other hosts and the requests to them, in place of `Hosts`."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host

    @property
    def transport(self):
        """Sender of requests, which is this object."""
        return self

    def handle(self, record_type, handler, *answer_types):
        """Accept a handler, which the fleet calls directly."""

    def choose_peers(self, count, readers_first=False, must_pack=False):
        """Return the names of other hosts."""
        others = [h for h in self._fleet.hosts if h is not self._host]
        chosen = []
        if readers_first and self._fleet.is_large:
            readers = [
                h for h in others if h.is_reader and h.zone == self._host.zone
            ]
            chosen = random.sample(readers, min(1, len(readers)))
        rest = [h for h in others if h not in chosen]
        chosen += random.sample(rest, min(count - len(chosen), len(rest)))
        return [host.name for host in chosen]

    async def ask_async(self, address, record):
        """Return the answer of a host."""
        fleet, name = self._fleet, self._host.name
        await asyncio.sleep(fleet.delay())
        peer = next(h for h in fleet.hosts if h.name == address)
        answer = peer.peer_changes.answer(name, record)
        body = msgspec.msgpack.encode(answer, enc_hook=encode_hook)
        if len(body) > MAX_MESSAGE_BYTES:
            raise PeerAnswerLostError("too large", "ask again")
        await fleet.uplinks[address].carry(len(body))
        await fleet.downlinks[name].carry(len(body))
        await asyncio.sleep(fleet.delay())
        return msgspec.msgpack.decode(
            body, type=type(answer), dec_hook=decode_hook
        )


class MemoryHost:
    """One host of a `MemoryFleet`."""

    def __init__(self, fleet, number):
        loop = asyncio.get_running_loop()
        self.name = f"h{number:03}"
        self.zone = number % fleet.zones
        self.rank = number
        self.fleet = fleet
        self.targets = Fleet()
        self.context = types.SimpleNamespace(table=None, fleet=self.targets)
        self.store = StoreClient(self.name)
        self.store._pool = _Pool(fleet)
        self.mirror = Mirror(lambda item: self.handler.apply(item))
        self.peer_changes = PeerChanges(_Peers(fleet, self), self.mirror)
        self.synchronizer = MirrorSynchronizer(
            self.store,
            self.mirror,
            self.peer_changes.ask,
            loop.time,
            lambda: self.is_reader,
            self._push,
            None,
            None,
            self._record_era_change,
        )
        self.handler = StoreItemHandler(
            self.context,
            lambda: self.synchronizer.was_store_unreachable,
            loop.time,
            self.synchronizer.era_events,
        )
        record = HostRecord(
            peers_address=self.name,
            callers_address=self.name,
            zone=str(self.zone),
            started_ms=1,
        )
        self.registration = Registration(
            self.store,
            self.mirror,
            HOSTS_PREFIX + self.name,
            record,
            lambda: self.is_reader,
        )
        self.election = Election(
            self.store, self.mirror, DUTY_KEY, self.name, lambda: self.rank
        )
        self.era_changes = []

    @property
    def is_reader(self):
        """Whether the host reads the store for its zone."""
        if not self.fleet.is_large:
            return True
        return self.rank // self.fleet.zones < READERS_PER_ZONE

    @property
    def version(self):
        """Version of the configuration in force, 0 if there is none."""
        return self.context.table.version if self.context.table else 0

    def children(self):
        """Return the coroutines that run the host."""
        return [
            self.synchronizer.run(),
            self.synchronizer.run_heartbeats(),
            self.registration.run(),
            self.election.run(),
            self._maintain(),
        ]

    def receive(self, kind, body):
        """Decode and apply a push."""
        message = msgspec.msgpack.decode(body, type=kind, dec_hook=decode_hook)
        if kind is PackedPush:
            self.synchronizer.receive_packed_push(message)
        else:
            self.synchronizer.receive_push(message)

    async def _maintain(self):
        while True:
            await asyncio.sleep(MAINTENANCE_SECONDS)
            self.handler.expire()
            self.targets.expire(asyncio.get_running_loop().time())

    def _record_era_change(self, change):
        self.era_changes.append(change)
        self.handler.log_era_change(change)

    def _push(self, message):
        if self.fleet.is_large:
            self.fleet.push(self, message)


class MemoryFleet:
    """A store and the hosts that follow it.

    Parameters
    ----------
    hosts, zones : int
        Numbers of hosts and of availability zones.
    lost_share : float
        Share of the pushes that are lost or come twice.
    is_large : bool, optional
        Whether only the readers of a zone read the store; by default this
        depends on the number of hosts.
    link_mbps : float, optional
        Bandwidth of each host's link in each direction, in 10**6 bits a
        second; unlimited by default.

    Attributes
    ----------
    downlinks, uplinks : dict of str to Link
        Links of the hosts by name.
    slowness_seconds : float
        Time that the store takes for an answer, beside what usually passes.
    silenced : set of str
        Hosts whose calls to the store are not answered.
    violations : list of str
        What went back, and duties that two hosts held at once.
    ended : set
        Incarnations of targets whose processes have ended.
    """

    def __init__(
        self,
        hosts,
        zones=1,
        lost_share=0.0,
        is_large=None,
        link_mbps=math.inf,
    ):
        self.zones = zones
        self.lost_share = lost_share
        if is_large is None:
            is_large = hosts > MAX_SMALL_FLEET
        self.is_large = is_large
        self.store = StoreStandIn([])
        self.silenced = set()
        self.violations = []
        self.highest_fence = 0
        self.ended = set()
        self._versions = {}
        self._known = collections.defaultdict(set)
        self._left = collections.defaultdict(set)
        self._tasks = []
        self._deliveries = set()
        self.slowness_seconds = 0.0
        self.hosts = [MemoryHost(self, number) for number in range(hosts)]
        bytes_per_second = link_mbps * 1e6 / 8
        names = [host.name for host in self.hosts]
        self.downlinks = {name: Link(bytes_per_second) for name in names}
        self.uplinks = {name: Link(bytes_per_second) for name in names}

    def start(self):
        """Start all hosts and the checks."""
        loop = asyncio.get_running_loop()
        runs = [run for host in self.hosts for run in host.children()]
        runs.append(self._check_always())
        self._tasks = [loop.create_task(run) for run in runs]

    async def stop(self):
        """Stop all hosts; raise what a task raised."""
        failures = [t.exception() for t in self._tasks if t.done()]
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        assert failures == []

    def delay(self):
        """Return a random delay in seconds of an answer or a message."""
        if self.lost_share and random.random() < LATE_SHARE:
            return random.uniform(0, LATE_SECONDS)
        return random.uniform(0, MAX_DELAY_SECONDS)

    def push(self, sender, message):
        """Send a push to the other hosts of the sender's zone."""
        body = msgspec.msgpack.encode(message, enc_hook=encode_hook)
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            if host is sender or host.zone != sender.zone:
                continue
            copies = 1
            if random.random() < self.lost_share:
                copies = random.choice([0, 2])
            for _ in range(copies):
                task = loop.create_task(
                    self._deliver(sender, host, type(message), body)
                )
                self._deliveries.add(task)
                task.add_done_callback(self._deliveries.discard)

    async def _deliver(self, sender, host, kind, body):
        await self.uplinks[sender.name].carry(len(body))
        await asyncio.sleep(self.delay())
        await self.downlinks[host.name].carry(len(body))
        host.receive(kind, body)

    def disagreements(self):
        """Return what hosts believe that the store does not say."""
        keys = self.store.keys()
        values = {key: self.store.get(key) for key in keys}
        wrong = []
        for host in self.hosts:
            found = {
                item.key: item.value for item in host.mirror.with_prefix("")
            }
            if found != values:
                wrong.append(f"{host.name}: {host.mirror.position}")
            wrong += _differences(host, values)
        return wrong

    def holders(self):
        """Return the hosts that hold the duty."""
        return [host for host in self.hosts if host.election.is_holder]

    async def _check_always(self):
        while True:
            self.store.expire_leases()
            self._check()
            await asyncio.sleep(SAMPLE_SECONDS)

    def _check(self):
        holders = self.holders()
        if len(holders) > 1:
            names = [host.name for host in holders]
            self.violations.append(f"{names} hold the duty at once")
        for host in holders:
            if host.election.fence < self.highest_fence:
                self.violations.append(f"{host.name}: lower fence")
            self.highest_fence = int(host.election.fence)
        for host in self.hosts:
            self._check_configuration(host)
            self._check_targets(host)

    def _check_configuration(self, host):
        known = self._versions.get(host.name, 0)
        if host.version < known:
            self.violations.append(
                f"{host.name}: version {known} and then {host.version}"
            )
        self._versions[host.name] = host.version

    def _check_targets(self, host):
        """Check that no process gets work again that drained or has ended."""
        known, left = self._known[host.name], self._left[host.name]
        accepting = {t.incarnation for t in host.targets if t.accepts_requests}
        for incarnation in accepting & left:
            self.violations.append(f"{host.name}: {incarnation} came back")
        draining = {
            t.incarnation for t in host.targets if not t.accepts_requests
        }
        left |= draining | ((self.ended & known) - accepting)
        known |= accepting


def _differences(host, values):
    wrong = []
    value = values.get(CONFIGURATION_KEY)
    if value is not None:
        version = msgspec.json.decode(value)["Version"]
        if host.version != version:
            wrong.append(f"{host.name}: version {host.version}")
    expected = {
        target_identity(key): msgspec.json.decode(value)
        for key, value in values.items()
        if key.startswith(TARGETS_PREFIX)
    }
    found = {target.identity: target.record for target in host.targets}
    if set(found) != set(expected):
        wrong.append(f"{host.name}: targets {sorted(found)}")
        return wrong
    for identity, record in found.items():
        entry = expected[identity]
        if record.is_draining != (entry["State"] == "draining"):
            wrong.append(f"{host.name}: state of {identity}")
        if record.orders != entry["Sequence"]:
            wrong.append(f"{host.name}: orders of {identity}")
    return wrong
